package peer

import (
	"context"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/member"
)

// beatStream sends heartbeats to one address over one long-lived stream.
type beatStream struct {
	queue  chan member.Heartbeat
	cancel context.CancelFunc
}

// beatQueue is how many heartbeats wait for a stream. More would only be old
// news.
const beatQueue = 2

// Beat sends a heartbeat. It does not wait: a heartbeat that can't be sent at
// once is dropped, which is what its absence has to tell.
func (c *Client) SendHeartbeat(_ barleystep.BoxID, addr string, b member.Heartbeat) {
	if addr == "" {
		return
	}
	s := c.beats(addr)
	select {
	case s.queue <- b:
	default:
	}
}

func (c *Client) beats(addr string) *beatStream {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.streams[addr]; ok {
		return s
	}
	ctx, cancel := context.WithCancel(c.BaseContext)
	s := &beatStream{queue: make(chan member.Heartbeat, beatQueue), cancel: cancel}
	c.streams[addr] = s
	go c.run(ctx, addr, s)
	return s
}

// run sends until the stream breaks; the next heartbeat opens another.
func (c *Client) run(ctx context.Context, addr string, s *beatStream) {
	defer c.forget(addr, s)
	stream := c.at(addr).Beats(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-s.queue:
			if stream.Send(toBeat(b)) != nil {
				_, _ = stream.CloseAndReceive()
				return
			}
		}
	}
}

func (c *Client) forget(addr string, s *beatStream) {
	s.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[addr] == s {
		delete(c.streams, addr)
	}
}

// Keep closes the heartbeat streams to all but the given addresses. Neighbours
// change as boxes come and go.
func (c *Client) CloseExcept(addrs map[string]bool) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, s := range c.streams {
		if !addrs[addr] {
			s.cancel()
			delete(c.streams, addr)
		}
	}
}
