package peer

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	"github.com/barleystep/barleystep/internal/capacity"
)

// talk is the stream of reports and notices to one dispenser. Streams cost far
// fewer bytes than calls, which is what the limit on control traffic asks for.
type talk struct {
	stream *connect.BidiStreamForClient[peerv1.TalkRequest, peerv1.TalkResponse]
	cancel context.CancelFunc

	sending sync.Mutex // sending keeps messages in the order of waiting.
	names   names
	mu      sync.Mutex // mu guards what follows; it is never held while sending.
	waiting []chan<- answer
	err     error
}

// answer is what a report brought.
type answer struct {
	resp  *peerv1.TalkResponse
	names known
	err   error
}

var errTalkEnded = eris.New("peer: the stream to the dispenser has ended")

// talkTo returns the stream to the address and opens it if there is none.
func (c *Client) talkTo(addr string) *talk {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.talks[addr]; ok {
		return t
	}
	ctx, cancel := context.WithCancel(c.BaseContext)
	t := &talk{stream: c.at(addr).Talk(ctx), cancel: cancel}
	c.talks[addr] = t
	go func() {
		t.receive()
		c.endTalk(addr, t)
	}()
	return t
}

func (c *Client) endTalk(addr string, t *talk) {
	t.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.talks[addr] == t {
		delete(c.talks, addr)
	}
}

// send sends one message. The build function is given the names of the stream.
// A message that wants an answer gets it on the channel.
func (t *talk) send(pool string, build func(n *names, m *peerv1.TalkRequest), want chan<- answer) error {
	t.sending.Lock()
	defer t.sending.Unlock()
	if err := t.await(want); err != nil {
		return err
	}
	m := &peerv1.TalkRequest{Pool: t.names.number(pool)}
	build(&t.names, m)
	m.Names = t.names.take()
	if err := t.stream.Send(m); err != nil {
		return t.end(err)
	}
	return nil
}

// await lines up for an answer, if one is wanted.
func (t *talk) await(want chan<- answer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil && want != nil {
		t.waiting = append(t.waiting, want)
	}
	return t.err
}

// receive hands answers to those that wait, in order, until the stream ends.
func (t *talk) receive() {
	var in known
	for {
		resp, err := t.stream.Receive()
		if err != nil {
			_ = t.end(err)
			return
		}
		in = append(in, resp.GetNames()...)
		t.deliver(answer{resp: resp, names: in})
	}
}

func (t *talk) deliver(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		t.waiting[0] <- a
		t.waiting = t.waiting[1:]
	}
}

// end fails all that wait, and returns the error with which the stream ended.
func (t *talk) end(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return t.err
	}
	t.err = eris.Wrap(errTalkEnded, err.Error())
	for _, w := range t.waiting {
		w <- answer{err: t.err}
	}
	t.waiting = nil
	t.cancel()
	return t.err
}

// First notes a first token.
func (d *remoteEndpoint) First(_ context.Context, pool string, id barleystep.AttemptID) error {
	return d.client.talkTo(d.addr).send(pool, func(_ *names, m *peerv1.TalkRequest) {
		m.Kind = &peerv1.TalkRequest_First{First: &peerv1.First{Attempt: toAttempt(id)}}
	}, nil)
}

// Release gives a grant back.
func (d *remoteEndpoint) Release(_ context.Context, pool string, id barleystep.AttemptID, u barleystep.Usage) error {
	return d.client.talkTo(d.addr).send(pool, func(_ *names, m *peerv1.TalkRequest) {
		m.Kind = &peerv1.TalkRequest_Release{Release: toRelease(id, u)}
	}, nil)
}

// Report sends a report and waits for the credits.
func (d *remoteEndpoint) Report(ctx context.Context, pool string, r capacity.Report) (capacity.Credits, error) {
	now := d.client.Clock.Now()
	got := make(chan answer, 1)
	err := d.client.talkTo(d.addr).send(pool, func(n *names, m *peerv1.TalkRequest) {
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
