package conn

import (
	"bufio"
	"context"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Pool keeps connections to targets by address. Its exported fields must be set before use; it is
// safe for concurrent use. It calls neither Dialer nor Paths while it holds its lock, since they take
// locks under which the pool is called.
type Pool struct {
	Clock barleystep.Clock
	// Dialer opens the connections.
	Dialer barleystep.Dialer
	// Paths tells which connections take a path that works; nil means all.
	Paths barleystep.Paths

	mu   mutex.Mutex
	idle map[string][]*Conn
	open map[string]int
	// owners maps addresses to the targets that they belong to, as last set by SetTargets.
	// generations maps an address to the value of lastGeneration when it last got a new owner or
	// its owner restarted.
	owners         map[string]owner
	generations    map[string]uint64
	lastGeneration uint64
	// strandedHeard is when a connection that takes a path on which new ones fail last delivered
	// something.
	strandedHeard time.Time
}

const (
	// maxIdle is the maximum idle time of a connection. Targets close idle connections after some
	// seconds without announcing it.
	maxIdle = 4 * time.Second
	// idleMargin is how long before its target a connection is closed, so that a request does not
	// cross the target's close.
	idleMargin = 700 * time.Millisecond
	// recentIdle is the maximum idle time of a connection for requests that may not be repeated: one
	// that has been idle for longer may have lost its target without a sign.
	recentIdle = 250 * time.Millisecond
	// strandedSilence is how long no stranded connection may have delivered anything until none is
	// expected to.
	strandedSilence = 500 * time.Millisecond
)

// Get returns a connection to the address, preferably an idle one. If connecting fails, the request
// cannot have reached the target, and the error is barleystep.ErrNotStarted; it also is
// barleystep.ErrNoPath if it says nothing about the target.
func (p *Pool) Get(ctx context.Context, addr string) (c *Conn, err error) {
	return p.get(ctx, addr, maxIdle)
}

// GetRecent is Get for a request that may be sent only once: the target has shown a moment ago that
// it is reached over the connection.
func (p *Pool) GetRecent(ctx context.Context, addr string) (c *Conn, err error) {
	return p.get(ctx, addr, recentIdle)
}

// get returns a connection that has not been idle for longer than the limit, or a new one.
func (p *Pool) get(ctx context.Context, addr string, limit time.Duration) (c *Conn, err error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if p.usable(c, limit) {
			return c, nil
		}
		p.discard(c)
	}
	return p.Dial(ctx, addr)
}

// EnsureConn checks that the address is reachable, by an idle connection or by a new one, which is
// pooled. Its errors are those of Get.
func (p *Pool) EnsureConn(ctx context.Context, addr string) (err error) {
	c, err := p.Get(ctx, addr)
	if err != nil {
		return err
	}
	since := c.idle
	if since.IsZero() {
		since = p.Clock.Now()
	}
	p.put(c, since)
	return nil
}

func (p *Pool) usable(c *Conn, limit time.Duration) bool {
	idleFor := p.Clock.Now().Sub(c.idle)
	if c.idleTimeout > 0 {
		limit = min(limit, c.idleTimeout-idleMargin)
	}
	return idleFor < limit && p.isCurrent(c) && c.isClean()
}

func (p *Pool) isCurrent(c *Conn) bool { return p.Paths == nil || p.Paths.IsCurrent(c.raw, c.addr) }

// noteHeard records that a connection has delivered something.
func (p *Pool) noteHeard(c *Conn) {
	if p.Paths == nil || !p.Paths.IsStranded(c.raw, c.addr) {
		return
	}
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.strandedHeard = now
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// Dial returns a new connection to the address. Its errors are those of Get.
func (p *Pool) Dial(ctx context.Context, addr string) (c *Conn, err error) {
	generation := p.generationOf(addr) // Read before connecting, since it may change meanwhile.
	raw, err := p.Dialer.Dial(ctx, addr)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = make(map[string]int)
		p.idle = make(map[string][]*Conn)
	}
	p.open[addr]++
	in := &input{raw: raw}
	return &Conn{pool: p, addr: addr, generation: generation, raw: raw, input: in, reader: bufio.NewReaderSize(in, readerSize)}, nil
}

// ConnRefused reports whether the machine at the address refuses connections to the port. No answer
// does not count as a refusal, and neither does a refusal that only this box gets.
func (p *Pool) ConnRefused(ctx context.Context, addr string) bool {
	raw, err := p.Dialer.Dial(ctx, addr)
	if err == nil {
		_ = raw.Close() // Only the result of connecting matters.
	}
	return eris.Is(err, syscall.ECONNREFUSED)
}

func (p *Pool) generationOf(addr string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generations[addr]
}

// put pools a connection that is idle since the given time, unless its generation is over.
func (p *Pool) put(c *Conn, since time.Time) {
	if !p.addIdle(c, since) {
		p.discard(c)
	}
}

func (p *Pool) addIdle(c *Conn, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.generation != p.generations[c.addr] {
		return false
	}
	c.idle = since
	p.idle[c.addr] = append(p.idle[c.addr], c)
	return true
}

func (p *Pool) discard(c *Conn) {
	_ = c.raw.Close() // The connection is dropped either way.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c.addr]--
	if p.open[c.addr] <= 0 {
		delete(p.open, c.addr)
		delete(p.idle, c.addr)
	}
}

// OpenConns returns the number of open connections to the address.
func (p *Pool) OpenConns(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[addr]
}

// CloseExpired closes the connections that have been idle for too long, or whose path is not used any
// more. It must be called periodically.
func (p *Pool) CloseExpired() {
	now := p.Clock.Now()
	expired := make(map[*Conn]bool)
	for _, c := range p.idleConns() {
		if now.Sub(c.since) >= maxIdle || !p.isCurrent(c.conn) {
			expired[c.conn] = true
		}
	}
	for _, c := range p.removeIdle(expired, now) {
		p.discard(c)
	}
}

// idleConn is a connection that was idle since the given time.
type idleConn struct {
	conn  *Conn
	since time.Time
}

func (p *Pool) idleConns() []idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []idleConn
	for _, conns := range p.idle {
		for _, c := range conns {
			list = append(list, idleConn{c, c.idle})
		}
	}
	return list
}

// removeIdle removes those of the connections that are still idle, and returns them. Those that have
// been used after the given time are kept.
func (p *Pool) removeIdle(expired map[*Conn]bool, now time.Time) []*Conn {
	if len(expired) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*Conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if expired[c] && !c.idle.After(now) {
				removed = append(removed, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[addr] = kept
	}
	return removed
}
