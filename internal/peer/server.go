package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	"github.com/barleystep/barleystep/api/peer/v1/peerv1connect"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/version"
)

// Receiver processes heartbeats and knows the members of the hall.
type Receiver interface {
	// Receive processes one heartbeat.
	Receive(b member.Heartbeat)
	// Members returns the latest updates about the boxes of the hall.
	Members() []member.Update
}

// Server serves the calls of other boxes. Its exported fields are set before Handler is called.
type Server struct {
	Auth     Auth
	Clock    barleystep.Clock
	Endpoint capacity.Endpoint
	Receiver Receiver
	Follower *version.Follower
	// Table commits transactions for other boxes.
	Table barleystep.Table
	// Forwarded serves requests that boxes of other halls forward; may be nil.
	Forwarded http.Handler
}

// confirmInterval is the time between messages of Follow that only confirm the current version.
const confirmInterval = time.Second

// maxMessageBytes bounds one message of a peer, in bytes. The longest are snapshots of configurations.
const maxMessageBytes = 16 << 20

// Handler returns the handler for peers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(handler{s}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(s.Auth)))
	if s.Forwarded != nil {
		mux.Handle("/v1/", s.Auth.RequireBox(s.Forwarded))
	}
	return mux
}

type handler struct{ *Server }

// Beats receives heartbeats until the stream ends.
func (h handler) Beats(_ context.Context, stream *connect.ClientStream[peerv1.Beat]) (*connect.Response[peerv1.BeatsResponse], error) {
	for stream.Receive() {
		h.Receiver.Receive(fromHeartbeat(stream.Msg()))
	}
	return connect.NewResponse(&peerv1.BeatsResponse{}), stream.Err()
}

// Members returns the latest updates about the boxes of the hall.
func (h handler) Members(context.Context, *connect.Request[peerv1.MembersRequest]) (*connect.Response[peerv1.MembersResponse], error) {
	return connect.NewResponse(&peerv1.MembersResponse{Members: convert(h.Receiver.Members(), toMemberUpdate)}), nil
}

// Ask waits for a grant. A refusal is sent as a response, not as an error.
func (h handler) Ask(ctx context.Context, req *connect.Request[peerv1.AskRequest]) (*connect.Response[peerv1.AskResponse], error) {
	now := h.Clock.Now()
	g, err := h.Endpoint.Ask(ctx, req.Msg.GetPool(), fromGrantRequest(req.Msg, now))
	var refusal *barleystep.Refusal
	switch {
	case eris.As(err, &refusal):
		return connect.NewResponse(&peerv1.AskResponse{Refusal: toRefusal(refusal)}), nil
	case err != nil:
		return nil, err
	}
	return connect.NewResponse(&peerv1.AskResponse{Targets: toTargets(g.Targets), Priority: int32(g.Priority)}), nil
}

// Talk receives reports and notices until the stream ends and answers each report with credits.
func (h handler) Talk(ctx context.Context, stream *connect.BidiStream[peerv1.TalkRequest, peerv1.TalkResponse]) error {
	var in receivedNames
	var out names
	for {
		m, err := stream.Receive()
		if err != nil {
			return ignoreEOF(err)
		}
		in = append(in, m.GetNames()...)
		resp, err := h.handleControl(ctx, in, &out, m)
		if err != nil {
			return err
		}
		if resp == nil {
			continue
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

// ignoreEOF returns nil for io.EOF, the regular end of a stream, and other errors unchanged.
func ignoreEOF(err error) error {
	if eris.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (h handler) handleControl(ctx context.Context, in receivedNames, out *names, m *peerv1.TalkRequest) (*peerv1.TalkResponse, error) {
	pool := in.name(m.GetPool())
	switch kind := m.GetKind().(type) {
	case *peerv1.TalkRequest_First:
		return nil, h.Endpoint.FirstToken(ctx, pool, fromAttempt(kind.First.GetAttempt()))
	case *peerv1.TalkRequest_Release:
		return nil, h.Endpoint.Release(ctx, pool, fromAttempt(kind.Release.GetAttempt()), fromRelease(kind.Release))
	case *peerv1.TalkRequest_Report:
		now := h.Clock.Now()
		c, err := h.Endpoint.Report(ctx, pool, fromReport(in, kind.Report, now))
		if err != nil {
			return nil, err
		}
		return toCredits(out, c, now), nil
	default:
		return nil, nil // A kind added by a newer version of the program.
	}
}

// Follow streams versions and confirmations until the peer disconnects.
func (h handler) Follow(ctx context.Context, req *connect.Request[peerv1.FollowRequest], stream *connect.ServerStream[peerv1.FollowResponse]) error {
	sent := req.Msg.GetVersion()
	for {
		changed := h.Follower.Changed()
		list, snapshot := h.Follower.Since(sent)
		newest := h.Follower.Version()
		if err := stream.Send(toUpdate(list, snapshot, newest, h.confirmationAge())); err != nil {
			return err
		}
		sent = max(sent, newest)
		if !h.waitForChange(ctx, changed) {
			return eris.Wrap(ctx.Err(), "peer: follow")
		}
	}
}

// confirmationAge returns the time since the current version was confirmed, or a negative value if
// it never was.
func (h handler) confirmationAge() time.Duration {
	at := h.Follower.ConfirmedAt()
	if at.IsZero() {
		return -time.Second
	}
	return h.Clock.Now().Sub(at)
}

func (h handler) waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	t := h.Clock.NewTimer(confirmInterval)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C():
		return true
	case <-ctx.Done():
		return false
	}
}
