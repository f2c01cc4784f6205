package guard

import (
	"net/http"
	"runtime"
	"time"
)

// enter records that the connection has entered a phase.
func (c *Conn) enter(p phase) {
	b := c.listener.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase != p && c.phase != phaseTaken {
		c.phase, c.since = p, b.Clock.Now()
	}
}

// progress records that a further part of a body has come.
func (c *Conn) progress() {
	b := c.listener.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase == phaseBody {
		c.since = b.Clock.Now()
	}
}

// awaitsHead reports whether what is read next is of a head.
func (c *Conn) awaitsHead() bool {
	b := c.listener.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.phase < phaseBody
}

func (c *Conn) isServed() bool {
	b := c.listener.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.phase >= phaseServed
}

func (c *Conn) isEvicted() bool {
	b := c.listener.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.evicted
}

// claim is the claim of a connection to its place. Those with the lowest lose it first.
type claim uint8

const (
	// claimIdle is that of a connection without a request, and claimUnfinished that of a client that has not
	// sent its request whole or does not read its answer.
	claimIdle claim = iota
	claimUnfinished
	// claimWaiting is that of a whole request that waits for memory.
	claimWaiting
	// claimKept is that of a connection that cannot lose its place.
	claimKept
)

// claim returns the connection's claim. The lock of the budget is held.
func (c *Conn) claim(now time.Time) claim {
	switch {
	case c.evicted:
		return claimKept // It has lost its place already.
	case c.phase == phaseIdle:
		return claimIdle
	case c.phase == phaseHead, c.phase == phaseBody:
		return claimUnfinished
	case c.phase == phaseWaiting:
		return claimWaiting
	case c.writesSlowly(now):
		return claimUnfinished
	default:
		return claimKept
	}
}

// leavesBefore orders the connections that may lose their places: of those with the same claim, the one that
// has done the same for the longest is first.
func (c *Conn) leavesBefore(other *Conn, now time.Time) bool {
	if a, b := c.claim(now), other.claim(now); a != b {
		return a < b
	}
	return c.since.Before(other.since)
}

// isStalled reports whether the client has sent nothing for too long. The lock of the budget is held.
func (c *Conn) isStalled(now time.Time, headerTimeout time.Duration) bool {
	switch c.phase {
	case phaseHead:
		return now.Sub(c.since) > headerTimeout+sweepMargin
	case phaseBody:
		return now.Sub(c.since) > maxStall
	default:
		return false
	}
}

// endRequest gives back what the last request held. What the HTTP server has read of a further one is
// charged before it is parsed.
func (c *Conn) endRequest() {
	b := c.listener.Budget
	b.mu.Lock()
	b.takeBack(c, max(0, c.held-connBytes))
	b.grantWaiting()
	b.mu.Unlock()
	c.reads = 0
	c.scan.begin()
	if c.scan.lines > 0 {
		runtime.Gosched() // As yield does, since the next request may need no read.
		if c.awaitMemory() != nil {
			c.abort()
		}
	}
	c.enter(phaseIdle)
}

// connState returns the phase of a connection in a state of the HTTP server.
func connState(s http.ConnState) phase {
	switch s {
	case http.StateActive:
		return phaseBody
	case http.StateHijacked:
		return phaseTaken
	default:
		return phaseIdle
	}
}
