package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
	"github.com/barleystep/barleystep/api/admin/v1/adminv1connect"
)

// longText is longer than any configuration.
func longText() string { return strings.Repeat("#", 40<<20) }

// TestLongSubmission guards against a caller without a token who fills a box's memory with one request:
// it is read before the token is checked.
func TestLongSubmission(t *testing.T) {
	s := newServer(t)
	client := adminv1connect.NewAdminClient(http.DefaultClient, s.url)
	_, err := client.Check(context.Background(), connect.NewRequest(&adminv1.CheckRequest{Toml: longText()}))
	quicktest.Check(t, connect.CodeOf(err), quicktest.Equals, connect.CodeResourceExhausted)
}

// longAnswers is an administration API whose answers are too long.
type longAnswers struct {
	adminv1connect.UnimplementedAdminHandler
}

// Get returns a configuration of 40 MiB.
func (longAnswers) Get(context.Context, *connect.Request[adminv1.GetRequest]) (*connect.Response[adminv1.GetResponse], error) {
	return connect.NewResponse(&adminv1.GetResponse{Version: 1, Toml: longText()}), nil
}

// TestLongConfiguration guards against a server that fills the memory of the command line.
func TestLongConfiguration(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(adminv1connect.NewAdminHandler(longAnswers{}))
	h := httptest.NewServer(mux)
	defer h.Close()
	s := &server{url: h.URL}
	code, _ := s.run("admin", "config", "get")
	quicktest.Check(t, code, quicktest.Not(quicktest.Equals), 0)
}
