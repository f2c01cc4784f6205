package peer

import (
	"context"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/member"
)

// heartbeatStream sends heartbeats to one address over one long-lived stream.
type heartbeatStream struct {
	queue  chan member.Heartbeat
	cancel context.CancelFunc
}

// heartbeatQueueSize is the number of heartbeats queued per stream. In a longer queue they would
// be outdated when sent.
const heartbeatQueueSize = 2

// SendHeartbeat queues a heartbeat. It does not block: if the queue is full, the heartbeat is
// dropped, and its absence tells the other box that this one is slow or cut off.
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

// sendHeartbeats sends from the queue until the stream breaks. The next heartbeat opens a new
// stream.
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

// CloseExcept closes the heartbeat streams to all but the given addresses. The neighbours of a box
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
