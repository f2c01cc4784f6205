package guard

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/barleystep/barleystep/internal/clock"
)

const (
	// defaultHeaderBytes bounds heads, in bytes, and defaultHeaderTimeout the time in which they come, if
	// nothing else is configured.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	// sweepMargin is how much longer than the limit a head may take, since it may still be on its way.
	sweepMargin = time.Second
	// socketBytes is the size of the kernel's buffers for what a client has sent and what it has not read,
	// in bytes. The kernel doubles it.
	socketBytes = 32 << 10
)

// Limits are the limits of a request. Zero values stand for the defaults.
type Limits struct {
	// HeaderBytes bounds a head, in bytes, and HeaderTimeout the time in which it comes.
	HeaderBytes   int
	HeaderTimeout time.Duration
}

func (l Limits) headerBytes() int {
	if l.HeaderBytes <= 0 {
		return defaultHeaderBytes
	}
	return l.HeaderBytes
}

func (l Limits) headerTimeout() time.Duration {
	if l.HeaderTimeout <= 0 {
		return defaultHeaderTimeout
	}
	return l.HeaderTimeout
}

// Listener accepts the connections of clients. Its exported fields are set before use.
type Listener struct {
	net.Listener
	Budget *Budget
	// MaxConns bounds the open connections; zero means no bound.
	MaxConns int
	// Limits returns the limits in force; nil stands for the defaults.
	Limits func() Limits
	// Opaque is set if the connections carry something else than HTTP/1 in clear text, so that only their
	// number and their writes are bounded.
	Opaque bool

	// open is the number of connections that have places, and total that of all, with those that are about
	// to close. They are guarded by the lock of the budget.
	open  int
	total int
	// fullSince is since when there has been no place, zero if there is one.
	fullSince time.Time
}

// Listen listens at the address with buffers of the kernel that are bounded.
func Listen(ctx context.Context, network, addr string) (net.Listener, error) {
	return (&net.ListenConfig{Control: boundBuffers}).Listen(ctx, network, addr)
}

// boundBuffers bounds the kernel's buffers of a socket and of those that are accepted from it. An idle
// client and one that does not read take no more than these.
func boundBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// On an error the defaults of the system hold.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
	})
}

func (l *Listener) limits() Limits {
	if l.Limits == nil {
		return Limits{}
	}
	return l.Limits()
}

// Accept waits for a connection that has a place.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.awaitPlace(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // Nothing was read from it.
	}
}

const (
	// placeWait is how long connections wait for a place from when there is none; until there is one again,
	// others are closed at once. placeInterval is how often it is looked for.
	placeWait     = time.Second
	placeInterval = 10 * time.Millisecond
)

// awaitPlace returns the guarded connection, nil if there is no place for it.
func (l *Listener) awaitPlace(raw net.Conn) *Conn {
	clk := l.Budget.Clock
	for {
		if c := l.admit(raw); c != nil {
			l.fullSince = time.Time{}
			return c
		}
		if l.fullSince.IsZero() {
			l.fullSince = clk.Now()
		}
		if clk.Now().Sub(l.fullSince) >= placeWait {
			l.Budget.count(func(n *Counts) { n.NoPlace++ })
			return nil
		}
		clock.Sleep(context.Background(), clk, placeInterval)
	}
}

// admit returns the guarded connection, nil if there is no place for it now.
func (l *Listener) admit(raw net.Conn) *Conn {
	b := l.Budget
	b.mu.Lock()
	now := b.Clock.Now()
	c := &Conn{Conn: raw, listener: l, opened: now, since: now}
	if l.Opaque {
		c.phase = phaseServed // Whether it is idle is not known.
	}
	victim, ok := l.makePlace()
	var victims []*Conn
	if ok {
		victims, ok = b.makeRoom(c, connBytes, reserveLimit)
	}
	if ok {
		b.add(c)
	}
	b.mu.Unlock()
	if victim != nil {
		victim.leave()
	}
	evict(victims)
	if !ok {
		return nil
	}
	return c
}

// makePlace reports whether a further connection has a place, at the cost of the one that it returns.
func (l *Listener) makePlace() (victim *Conn, ok bool) {
	if l.MaxConns <= 0 || l.open < l.MaxConns {
		return nil, true
	}
	now := l.Budget.Clock.Now()
	for c := range l.Budget.conns {
		if c.listener == l && c.claim(now) != claimKept && (victim == nil || c.leavesBefore(victim, now)) {
			victim = c
		}
	}
	if victim == nil {
		return nil, false
	}
	l.Budget.expel(victim)
	l.Budget.grantWaiting()
	return victim, true
}

// closingDivisor is the divisor of the places that gives how many more connections may be about to close.
const closingDivisor = 8

// leave closes a connection that has lost its place.
func (c *Conn) leave() {
	b := c.listener.Budget
	b.mu.Lock()
	idle := c.phase == phaseIdle
	l := c.listener
	crowded := l.total > l.MaxConns+l.MaxConns/closingDivisor
	b.mu.Unlock()
	r, ok := c.Conn.(interface{ Release() })
	switch {
	case crowded:
		_ = c.Close() // There is no descriptor left for an answer that closes the connection in good order.
	case idle && ok:
		r.Release()
	case idle:
		_ = c.Close() // The client may have closed it already.
	default:
		c.abort()
	}
}

// remove gives back what a closed connection holds.
func (l *Listener) remove(c *Conn) {
	b := l.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.conns[c]; !ok {
		return
	}
	delete(b.conns, c)
	l.total--
	if !c.evicted {
		l.open--
	}
	b.takeBack(c, c.held)
	c.evicted = true
	b.grantWaiting()
}

// ConnContext adds a connection to the context of its requests, where From finds it. One that carries several
// requests at a time holds none of them.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if g, ok := c.(*Conn); ok && !l.Opaque {
		return context.WithValue(ctx, contextKey{}, g)
	}
	return ctx
}

// Track follows the state of a connection for the HTTP server.
func (l *Listener) Track(c net.Conn, s http.ConnState) {
	g, ok := c.(*Conn)
	switch {
	case !ok, l.Opaque:
	case s == http.StateIdle:
		g.endRequest()
	case s != http.StateClosed:
		g.enter(connState(s))
	}
}

// Sweep closes the connections of clients that have stalled, and logs what clients were denied. It is to be
// called about once a second.
func (l *Listener) Sweep() {
	b := l.Budget
	timeout := l.limits().headerTimeout()
	b.mu.Lock()
	now := b.Clock.Now()
	var stalled []*Conn
	for c := range b.conns {
		if c.listener == l && !l.Opaque && c.isStalled(now, timeout) {
			stalled = append(stalled, c)
		}
	}
	b.counts.Stalled += int64(len(stalled))
	b.mu.Unlock()
	for _, c := range stalled {
		_ = c.Close() // The client may have closed it already.
	}
	b.report()
}
