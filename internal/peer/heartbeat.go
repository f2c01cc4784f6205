package peer

import (
	"context"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/member"
)

// beatStream sends heartbeats to one address over one long-lived stream.
type heartbeatStream struct {
	queue  chan member.Heartbeat
	cancel context.CancelFunc
}

// beatQueue is how many heartbeats wait for a stream. More would only be old
// news.
const heartbeatQueueSize = 2

// Beat sends a heartbeat. It does not wait: a heartbeat that can't be sent at
// once is dropped, which is what its absence has to tell.
func (c *Client) SendHeartbeat(_ barleystep.BoxID, addr string, b member.Heartbeat) {
	if addr == "" {
		return
	}
	s := c.heartbeatStreamTo(addr)
	select {
	case s.queue <- b:
	default:
	}
}

func (c *Client) heartbeatStreamTo(addr string) *heartbeatStream {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.heartbeatStreams[addr]; ok {
		return s
	}
	ctx, cancel := context.WithCancel(c.BaseContext)
	s := &heartbeatStream{queue: make(chan member.Heartbeat, heartbeatQueueSize), cancel: cancel}
	c.heartbeatStreams[addr] = s
	go c.sendHeartbeats(ctx, addr, s)
	return s
}

// run sends until the stream breaks; the next heartbeat opens another.
func (c *Client) sendHeartbeats(ctx context.Context, addr string, s *heartbeatStream) {
	defer c.removeHeartbeatStream(addr, s)
	stream := c.rpcClient(addr).Beats(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-s.queue:
			if stream.Send(toHeartbeat(b)) != nil {
				_, _ = stream.CloseAndReceive()
				return
			}
		}
	}
}

func (c *Client) removeHeartbeatStream(addr string, s *heartbeatStream) {
	s.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heartbeatStreams[addr] == s {
		delete(c.heartbeatStreams, addr)
	}
}

// Keep closes the heartbeat streams to all but the given addresses. Neighbours
// change as boxes come and go.
func (c *Client) CloseExcept(addrs map[string]bool) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, s := range c.heartbeatStreams {
		if !addrs[addr] {
			s.cancel()
			delete(c.heartbeatStreams, addr)
		}
	}
}
