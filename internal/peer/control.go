package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/mutex"
)

// controlStream is the stream of reports and notices to the box that allocates a pool's capacity.
// Control traffic is limited, and a stream takes far fewer bytes than separate calls.
type controlStream struct {
	stream *connect.BidiStreamForClient[peerv1.TalkRequest, peerv1.TalkResponse]
	cancel context.CancelFunc

	sendMu  mutex.Mutex // sendMu keeps messages in the order of pending.
	names   names
	mu      mutex.Mutex // mu guards the fields below; it is never held while sending.
	pending []chan<- reportReply
	err     error
}

// reportReply is the response to a report, or the error that ended the stream. Names resolves the
// numbers in resp.
type reportReply struct {
	resp  *peerv1.TalkResponse
	names receivedNames
	err   error
}

var errControlStreamEnded = eris.New("peer: the stream to the dispenser has ended")

// controlStreamTo returns the stream to the address and opens one if there is none.
func (c *Client) controlStreamTo(addr string) *controlStream {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.controlStreams[addr]; ok {
		return t
	}
	ctx, cancel := context.WithCancel(c.BaseContext)
	t := &controlStream{stream: c.rpcClient(addr).Talk(ctx), cancel: cancel}
	c.controlStreams[addr] = t
	go func() {
		t.receive()
		c.removeControlStream(addr, t)
	}()
	return t
}

func (c *Client) removeControlStream(addr string, t *controlStream) {
	t.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controlStreams[addr] == t {
		delete(c.controlStreams, addr)
	}
}

// send sends one message, whose kind build fills in with the names of the stream. If reply is not
// nil, it receives the response.
func (t *controlStream) send(pool string, build func(n *names, m *peerv1.TalkRequest), reply chan<- reportReply) error {
	t.sendMu.Lock()
	defer t.sendMu.Unlock()
	if err := t.enqueue(reply); err != nil {
		return err
	}
	m := &peerv1.TalkRequest{Pool: t.names.number(pool)}
	build(&t.names, m)
	m.Names = t.names.takeUnsent()
	if err := t.stream.Send(m); err != nil {
		return t.fail(err)
	}
	return nil
}

// enqueue adds reply, unless it is nil, to the channels that receive responses in order.
func (t *controlStream) enqueue(reply chan<- reportReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil && reply != nil {
		t.pending = append(t.pending, reply)
	}
	return t.err
}

// receive delivers responses in order until the stream ends.
func (t *controlStream) receive() {
	var in receivedNames
	for {
		resp, err := t.stream.Receive()
		if err != nil {
			_ = t.fail(err)
			return
		}
		in = append(in, resp.GetNames()...)
		t.deliver(reportReply{resp: resp, names: in})
	}
}

func (t *controlStream) deliver(a reportReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) > 0 {
		t.pending[0] <- a
		t.pending = t.pending[1:]
	}
}

// fail ends the stream, fails all pending reports and returns the error that ended the stream first.
func (t *controlStream) fail(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return t.err
	}
	t.err = eris.Wrap(errControlStreamEnded, err.Error())
	for _, w := range t.pending {
		w <- reportReply{err: t.err}
	}
	t.pending = nil
	t.cancel()
	return t.err
}

// FirstToken reports the first token of an attempt.
func (d *remoteEndpoint) FirstToken(_ context.Context, pool string, id barleystep.AttemptID) error {
	return d.client.controlStreamTo(d.addr).send(pool, func(_ *names, m *peerv1.TalkRequest) {
		m.Kind = &peerv1.TalkRequest_First{First: &peerv1.First{Attempt: toAttempt(id)}}
	}, nil)
}

// Release returns a grant.
func (d *remoteEndpoint) Release(_ context.Context, pool string, id barleystep.AttemptID, u barleystep.Usage) error {
	return d.client.controlStreamTo(d.addr).send(pool, func(_ *names, m *peerv1.TalkRequest) {
		m.Kind = &peerv1.TalkRequest_Release{Release: toRelease(id, u)}
	}, nil)
}

// Report sends a report and waits for the credits.
func (d *remoteEndpoint) Report(ctx context.Context, pool string, r capacity.Report) (capacity.Credits, error) {
	now := d.client.Clock.Now()
	got := make(chan reportReply, 1)
	err := d.client.controlStreamTo(d.addr).send(pool, func(n *names, m *peerv1.TalkRequest) {
		m.Kind = &peerv1.TalkRequest_Report{Report: toReport(n, r, now)}
	}, got)
	if err != nil {
		return capacity.Credits{}, err
	}
	select {
	case a := <-got:
		if a.err != nil {
			return capacity.Credits{}, a.err
		}
		return fromCredits(a.names, a.resp, now), nil
	case <-ctx.Done():
		return capacity.Credits{}, eris.Wrap(context.Cause(ctx), "peer: report")
	}
}
