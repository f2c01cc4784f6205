package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/api/placement/v1/placementv1connect"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/lead"
)

// longField is a field of 1 MiB that no message has.
var longField = protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), make([]byte, 1<<20))

// TestLongRequest guards against a box that makes the lead hold calls of any length.
func TestLongRequest(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	_, handler := (&lead.Server{Clock: clk, Balancer: newBalancer(clk, engines...), View: view}).Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	m := &placementv1.PlaceRequest{Service: "s", Prompt: 210_000, ObjectiveMs: 3_000}
	m.ProtoReflect().SetUnknown(longField)
	client := placementv1connect.NewPlacementServiceClient(http.DefaultClient, server.URL)
	_, err := client.Place(context.Background(), connect.NewRequest(m))
	c.Check(connect.CodeOf(err), quicktest.Equals, connect.CodeResourceExhausted)
}

// longAnswers is a lead whose answers are too long.
type longAnswers struct {
	placementv1connect.UnimplementedPlacementServiceHandler
}

// Place places everything on target a.
func (longAnswers) Place(context.Context, *connect.Request[placementv1.PlaceRequest]) (*connect.Response[placementv1.PlaceResponse], error) {
	m := &placementv1.PlaceResponse{Number: 1, Target: "a"}
	m.ProtoReflect().SetUnknown(longField)
	return connect.NewResponse(m), nil
}

// TestLongAnswer guards against a lead that makes a box hold answers of any length. Such an answer is a
// failed call, not a refusal because of load.
func TestLongAnswer(t *testing.T) {
	c := quicktest.New(t)
	_, handler := placementv1connect.NewPlacementServiceHandler(longAnswers{})
	server := httptest.NewServer(handler)
	defer server.Close()
	client := &lead.Client{
		Clock: clock.NewManual(time.Unix(1000, 0)), HTTP: server.Client(), Log: quiet,
		Addr: func() (string, bool) { return server.Listener.Addr().String(), true },
	}
	_, err := client.Place(context.Background(), job(210_000))
	c.Check(err, quicktest.IsNotNil)
	c.Check(eris.Is(err, balance.ErrFull), quicktest.IsFalse)
}
