package gossip

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/api/gossip/v1/gossipv1connect"
	"github.com/barleystep/barleystep/internal/clock"
)

// unknownField returns a field of the given length that no message has.
func unknownField(length int) []byte {
	return protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), make([]byte, length))
}

// TestLongChangesRequest guards against a box that makes others hold requests of any length.
func TestLongChangesRequest(t *testing.T) {
	url, httpClient := serveChanges(t)
	m := &gossipv1.GetChangesRequest{Topic: gossipv1.Topic_TOPIC_CONFIGURATION}
	m.ProtoReflect().SetUnknown(unknownField(1 << 20))
	_, err := gossipv1connect.NewChangeServiceClient(httpClient, url).GetChanges(context.Background(), connect.NewRequest(m))
	quicktest.Check(t, connect.CodeOf(err), quicktest.Equals, connect.CodeResourceExhausted)
}

// longChanges is a box whose changes are too long.
type longChanges struct{}

// GetChanges returns no records in 40 MiB.
func (longChanges) GetChanges(context.Context, *connect.Request[gossipv1.GetChangesRequest]) (*connect.Response[gossipv1.GetChangesResponse], error) {
	m := &gossipv1.GetChangesResponse{Whole: true, Revision: 3, Format: formatEvacuations}
	m.ProtoReflect().SetUnknown(unknownField(40 << 20))
	return connect.NewResponse(m), nil
}

// TestLongChanges guards against a box that fills the memory of another one with its answer.
func TestLongChanges(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(gossipv1connect.NewChangeServiceHandler(longChanges{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := &Client{Clock: clock.System{}, HTTP: server.Client()}
	_, err := client.Changes(context.Background(), server.Listener.Addr().String(), barleystep.TopicConfiguration, 0)
	quicktest.Check(t, connect.CodeOf(err), quicktest.Equals, connect.CodeResourceExhausted)
}
