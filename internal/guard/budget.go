package guard

import (
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

const (
	// DefaultMemory is the memory of a process, in bytes, if its settings do not state it.
	DefaultMemory = 256 * 1_000_000
	// memoryDivisor is the divisor of the memory of a process that gives the budget of its clients.
	memoryDivisor = 5
	// smallHolding is what an ordinary client holds at most, in bytes. A part of the budget, given by
	// reserveDivisor, is kept for those who hold no more.
	smallHolding   = 64 << 10
	reserveDivisor = 4
	// headDivisor is the divisor of the budget that gives what larger heads may take before their requests
	// begin, so that those that have begun get memory for their bodies and answers.
	headDivisor = 2
)

// Budget is the memory that the connections of a process may hold together. Its exported fields are set
// before use; it is safe for concurrent use.
type Budget struct {
	Clock barleystep.Clock
	// Memory is the memory that the process may use, in bytes; zero stands for DefaultMemory.
	Memory int64
	Log    *log.Logger

	mu      mutex.Mutex
	used    int64
	conns   map[*Conn]struct{}
	waiting []*waiter
	counts  Counts
	logged  Counts
}

// Counts counts since the start of the process what clients were denied.
type Counts struct {
	// Evicted counts connections that were closed so that others get their memory or place, and NoMemory
	// and NoPlace requests and connections that got none.
	Evicted  int64
	NoMemory int64
	NoPlace  int64
	// LongHeads counts heads over the limit, and Stalled connections that were closed since their clients
	// sent or read nothing for too long.
	LongHeads int64
	Stalled   int64
}

// waiter waits for n bytes.
type waiter struct {
	conn    *Conn
	n       int64
	granted bool
	// ended is closed once the wait is over.
	ended chan struct{}
}

// Limit returns the memory that all connections may hold, in bytes.
func (b *Budget) Limit() int64 {
	if b.Memory <= 0 {
		return DefaultMemory / memoryDivisor
	}
	return b.Memory / memoryDivisor
}

// Usage returns the memory that the connections hold, in bytes, and their number.
func (b *Budget) Usage() (used int64, conns int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.conns)
}

// Counts returns what clients were denied.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// take lets a connection hold n more bytes, at the cost of those that hold more if need be. It returns
// false if the memory is not to be had now.
func (b *Budget) take(c *Conn, n int64) bool {
	b.mu.Lock()
	ok, victims := b.tryTake(c, n, reserveLimit)
	if !ok {
		b.counts.NoMemory++
	}
	b.mu.Unlock()
	evict(victims)
	return ok
}

// tryTake is take with the lock held. The caller must evict the victims.
func (b *Budget) tryTake(c *Conn, n int64, limitOf func(limit int64) int64) (ok bool, victims []*Conn) {
	victims, ok = b.makeRoom(c, n, limitOf)
	if ok {
		b.grant(c, n)
	}
	return ok, victims
}

// await is take for a request that has arrived whole, which waits up to the limit for the memory.
func (b *Budget) await(c *Conn, n int64, limit time.Duration) bool {
	b.mu.Lock()
	n = min(n, headLimit(b.Limit())-c.held) // A single request is served however many lines it has.
	ok, victims := b.tryTake(c, n, headLimit)
	w := &waiter{conn: c, n: n, ended: make(chan struct{})}
	lost := c.evicted
	if !ok && !lost {
		b.waiting = append(b.waiting, w)
	}
	b.mu.Unlock()
	evict(victims)
	if ok || lost {
		return ok
	}
	timer := b.Clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C():
	}
	return b.withdraw(w)
}

// withdraw ends the wait and reports whether the memory was granted.
func (b *Budget) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	if !w.granted {
		b.counts.NoMemory++
	}
	return w.granted
}

// give takes back n bytes of what a connection holds.
func (b *Budget) give(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeBack(c, n)
	b.grantWaiting()
}

// add adds a connection that has a place and memory.
func (b *Budget) add(c *Conn) {
	if b.conns == nil {
		b.conns = make(map[*Conn]struct{})
	}
	b.conns[c] = struct{}{}
	c.listener.open++
	c.listener.total++
	b.grant(c, connBytes)
}

func (b *Budget) grant(c *Conn, n int64) {
	b.used += n
	c.held += n
}

func (b *Budget) takeBack(c *Conn, n int64) {
	n = min(n, c.held) // An evicted connection holds nothing any more.
	b.used -= n
	c.held -= n
}

// grantWaiting grants what fits to those who wait, in order, and ends the waits of closed connections.
func (b *Budget) grantWaiting() {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if w.granted = b.fits(w.conn, w.n, headLimit); w.granted {
			b.grant(w.conn, w.n)
		}
		ended := w.granted || w.conn.evicted
		if ended {
			close(w.ended)
		}
		return ended
	})
}

// reserveLimit and headLimit return what larger holders, and those whose requests begin, may take of a
// budget.
func reserveLimit(limit int64) int64 { return limit - limit/reserveDivisor }
func headLimit(limit int64) int64    { return limit / headDivisor }

// fits reports whether n more bytes for the connection are within the budget, or within what limitOf leaves
// of it if the connection then holds more than an ordinary one.
func (b *Budget) fits(c *Conn, n int64, limitOf func(limit int64) int64) bool {
	limit := b.Limit()
	if c.held+n > smallHolding {
		limit = limitOf(limit)
	}
	return !c.evicted && b.used+n <= limit
}

// makeRoom takes the memory of larger holders until n bytes fit, and returns them.
func (b *Budget) makeRoom(c *Conn, n int64, limitOf func(limit int64) int64) (victims []*Conn, ok bool) {
	if c.evicted || n > b.Limit() {
		return nil, false
	}
	for !b.fits(c, n, limitOf) {
		v := b.largest(c.held + n)
		if v == nil {
			return victims, false
		}
		b.expel(v)
		victims = append(victims, v)
	}
	return victims, true
}

// largest returns the connection that holds most and more than n bytes, of those that may be evicted.
func (b *Budget) largest(n int64) (found *Conn) {
	now := b.Clock.Now()
	for c := range b.conns {
		if c.held > n && c.claim(now) == claimUnfinished {
			found, n = c, c.held
		}
	}
	return found
}

// count counts something that a client was denied.
func (b *Budget) count(add func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	add(&b.counts)
}

// report logs what clients were denied since the last line.
func (b *Budget) report() {
	b.mu.Lock()
	counts, before := b.counts, b.logged
	b.logged = counts
	used, conns := b.used, len(b.conns)
	b.mu.Unlock()
	if b.Log == nil || counts == before {
		return
	}
	b.Log.Warn().Int64("evicted", counts.Evicted-before.Evicted).Int64("no_memory", counts.NoMemory-before.NoMemory).
		Int64("no_place", counts.NoPlace-before.NoPlace).Int64("long_heads", counts.LongHeads-before.LongHeads).
		Int64("stalled", counts.Stalled-before.Stalled).Int64("held", used).Int64("budget", b.Limit()).Int("connections", conns).
		Msg(logPrefix + "Clients exceed the limits.")
}

const logPrefix = "guard: "

// expel takes all that a connection holds. The caller must evict it.
func (b *Budget) expel(c *Conn) {
	c.evicted = true
	c.listener.open--
	b.takeBack(c, c.held)
	b.counts.Evicted++
}

// evict ends connections that were expelled.
func evict(victims []*Conn) {
	for _, c := range victims {
		c.abort()
	}
}
