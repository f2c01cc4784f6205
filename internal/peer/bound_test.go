package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	"github.com/barleystep/barleystep/api/peer/v1/peerv1connect"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/peer"
	"github.com/barleystep/barleystep/internal/signature"
)

// longField returns a field of 40 MiB that no message has.
func longField() []byte {
	return protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), make([]byte, 40<<20))
}

// TestLongMessageToServer guards against a peer that fills a box's memory with one message.
func TestLongMessageToServer(t *testing.T) {
	e := newTestBox(t, "secret", "secret")
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	auth := peer.Auth{Key: signature.Key{Secret: "secret", Box: "b2", Clock: clock.System{}}}
	client := peerv1connect.NewPeerClient(&http.Client{Transport: &http.Transport{Protocols: protocols}}, "http://"+e.listener.Addr().String(), connect.WithInterceptors(auth))
	m := &peerv1.MembersRequest{}
	m.ProtoReflect().SetUnknown(longField())
	_, err := client.Members(context.Background(), connect.NewRequest(m))
	quicktest.Check(t, connect.CodeOf(err), quicktest.Equals, connect.CodeResourceExhausted)
}

// longAnswers is a box whose answers are too long.
type longAnswers struct {
	peerv1connect.UnimplementedPeerHandler
}

// Members returns no members in 40 MiB.
func (longAnswers) Members(context.Context, *connect.Request[peerv1.MembersRequest]) (*connect.Response[peerv1.MembersResponse], error) {
	m := &peerv1.MembersResponse{}
	m.ProtoReflect().SetUnknown(longField())
	return connect.NewResponse(m), nil
}

// TestLongAnswerOfPeer guards against a peer that fills a box's memory with one answer.
func TestLongAnswerOfPeer(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(longAnswers{}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	client := &peer.Client{
		Auth:        peer.Auth{Key: signature.Key{Secret: "secret", Box: "b2", Clock: clock.System{}}},
		Clock:       clock.System{},
		Addr:        func(barleystep.BoxID) (string, bool) { return server.Listener.Addr().String(), true },
		BaseContext: context.Background(),
	}
	_, err := client.Members(context.Background(), server.Listener.Addr().String())
	quicktest.Check(t, connect.CodeOf(err), quicktest.Equals, connect.CodeResourceExhausted)
}
