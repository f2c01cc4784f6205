package guard

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
)

// phase is what a connection is doing.
type phase uint8

const (
	// phaseIdle is a connection on which nothing of a further request has arrived.
	phaseIdle phase = iota
	// phaseHead has a part of a head, and phaseWaiting a whole one that waits for memory.
	phaseHead
	phaseWaiting
	// phaseBody has a request whose body is not complete, and phaseServed one that is.
	phaseBody
	phaseServed
	// phaseTaken is a connection that its handler has taken over from the HTTP server.
	phaseTaken
)

const (
	// connBytes is what an open connection holds besides its request, in bytes: the stacks of its
	// goroutines and the buffers of the HTTP server.
	connBytes = 16 << 10
	// lineBytes is what a header line takes in addition to its text, in bytes: its entries in the maps of
	// the request that came and of the one that is sent on.
	lineBytes = 512
	// textCopies is how often the text of a head is held at the same time.
	textCopies = 2
	// writeBytes is how much of an answer is written at a time, in bytes.
	writeBytes = 64 << 10
	// maxStall bounds the time in which a client must send a further byte of a body or read a further
	// part of an answer.
	maxStall = 10 * time.Second
	// slowWrite is how long a client may not read its answer until its connection may be evicted.
	slowWrite = time.Second
)

// Conn is the connection of a client. The HTTP server gets the head of a request only once it is whole
// and its memory is granted.
type Conn struct {
	net.Conn
	listener *Listener

	// These fields are guarded by the lock of the budget.
	phase         phase
	since         time.Time // since is when the phase began, or when a part of a body came last.
	held          int64
	evicted       bool
	writeDeadline time.Time // writeDeadline is the deadline of the handler.

	opened time.Time // opened is when the connection was accepted.
	// writing is when the write in progress began, as the time since the connection was accepted, zero if
	// there is none.
	writing atomic.Int64

	// These fields are used by the goroutine that reads only.
	scan headScan
	// head is the part that has come of a head, and rest what the HTTP server has not taken of the last one.
	head []byte
	rest []byte
	// reads counts the reads of the current request.
	reads int
}

// errLongHead means that a head is over the limit.
var errLongHead = eris.New("guard: the head is over the limit")

// Read reads for the HTTP server, or for the handler that has taken the connection over.
func (c *Conn) Read(p []byte) (n int, err error) {
	if len(c.rest) > 0 {
		n = copy(p, c.rest)
		c.keep(c.rest[n:])
		return n, nil
	}
	if c.listener.Opaque {
		return c.Conn.Read(p)
	}
	if c.awaitsHead() {
		return c.readHead(p)
	}
	c.yield()
	n, err = c.Conn.Read(p)
	c.progress()
	c.scan.skip(p[:n])
	return n, err
}

// From returns the connection of a request with the context; nil, which holds nothing, if it has none.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// contextKey is the key of the connection in contexts.
type contextKey struct{}

// Take lets the current request hold n more bytes until it ends. It returns false if the memory is not to
// be had; the request must be refused then.
func (c *Conn) Take(n int64) bool {
	return c == nil || c.listener.Budget.take(c, n)
}

// Give takes back n bytes of those that the current request holds.
func (c *Conn) Give(n int64) {
	if c != nil {
		c.listener.Budget.give(c, n)
	}
}

// RequestRead records that the current request has been read whole.
func (c *Conn) RequestRead() {
	if c != nil {
		c.enter(phaseServed)
	}
}

// IsEvicted reports whether the client's request must be refused since others need its memory or place.
func (c *Conn) IsEvicted() bool { return c != nil && c.isEvicted() }

// yield lets other goroutines run. A client that sends without a pause would otherwise keep the processor for
// whole time slices, and many of them would delay the control of the process by seconds.
func (c *Conn) yield() {
	if c.reads++; c.reads > 1 {
		runtime.Gosched()
	}
}

// readHead reads a head. One that comes in parts is kept here until it is whole.
func (c *Conn) readHead(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 || err != nil {
		return n, err
	}
	if c.scan.add(p[:n]) {
		if err = c.admit(); err != nil {
			return 0, c.refuse(err, p)
		}
		return n, nil
	}
	c.enter(phaseHead)
	err = c.readRest(p[:n])
	head := c.head
	c.head = nil
	if err != nil {
		return 0, c.refuse(err, p)
	}
	n = copy(p, head)
	c.keep(head[n:])
	return n, nil
}

// keep keeps what the HTTP server has not taken of a head.
func (c *Conn) keep(rest []byte) {
	if len(rest) == 0 {
		rest = nil // Frees the head.
	}
	c.rest = rest
}

// readRest reads the rest of a head that begins with part.
func (c *Conn) readRest(part []byte) error {
	if err := c.grow(len(part) + minHeadBytes); err != nil {
		return err
	}
	c.head = append(c.head, part...)
	for {
		if c.scan.bytes > c.listener.limits().headerBytes()+headSlack {
			return errLongHead
		}
		if len(c.head) == cap(c.head) {
			if err := c.grow(cap(c.head)); err != nil {
				return err
			}
		}
		c.yield()
		n, err := c.Conn.Read(c.head[len(c.head):cap(c.head)])
		read := c.head[len(c.head) : len(c.head)+n]
		c.head = c.head[:len(c.head)+n]
		if c.scan.add(read) {
			return c.admit()
		}
		if err != nil {
			return err
		}
	}
}

const (
	// minHeadBytes is how much memory a head that comes in parts gets at first, in bytes.
	minHeadBytes = 1 << 10
	// headSlack is how much longer than the limit a head may be, in bytes: the limit may be counted
	// without the ends of lines.
	headSlack = 4 << 10
)

// grow adds n bytes to the capacity of the head.
func (c *Conn) grow(n int) error {
	if !c.Take(int64(n)) {
		return ErrNoMemory
	}
	larger := make([]byte, len(c.head), cap(c.head)+n)
	copy(larger, c.head)
	c.head = larger
	return nil
}

// admit waits for the memory that the HTTP server and the handler need for the head.
func (c *Conn) admit() error {
	if c.scan.bytes > c.listener.limits().headerBytes()+headSlack {
		return errLongHead
	}
	return c.awaitMemory()
}

func (c *Conn) awaitMemory() error {
	cost := int64(c.scan.bytes*textCopies + c.scan.lines*lineBytes)
	c.enter(phaseWaiting)
	if !c.listener.Budget.await(c, cost, c.listener.limits().headerTimeout()) {
		return ErrNoMemory
	}
	return nil
}

// refuse answers a head that is not served, and returns the error for the HTTP server, which closes the
// connection.
func (c *Conn) refuse(err error, buffer []byte) error {
	switch {
	case eris.Is(err, errLongHead):
		c.listener.Budget.count(func(n *Counts) { n.LongHeads++ })
		c.answer("431 Request Header Fields Too Large", "The head is over the limit.", buffer)
	case eris.Is(err, ErrNoMemory), c.isEvicted():
		c.answer("503 Service Unavailable\r\nRetry-After: 1", "not run: The box has no memory for the request.", buffer)
	default:
		return err
	}
	return io.EOF
}

const (
	// lingerTime bounds how long, and lingerBytes how much is read of what a client still sends, so that
	// the refusal reaches it: the connection is reset if it is closed with unread bytes.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// answer sends a refusal and closes the connection for writing.
func (c *Conn) answer(status, text string, buffer []byte) {
	clk := c.listener.Budget.Clock
	_ = c.Conn.SetDeadline(clock.WallTime(clk, clk.Now().Add(lingerTime))) // It fails on a closed connection only.
	_, err := io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+text+"\n")
	if err != nil || c.CloseWrite() != nil {
		return
	}
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		left -= n
		runtime.Gosched()
	}
}

// Write writes a part of an answer. It fails if the client reads nothing for too long.
func (c *Conn) Write(p []byte) (n int, err error) {
	defer c.writing.Store(0)
	for first := true; first || len(p) > 0; first = false {
		part := p[:min(len(p), writeBytes)]
		_ = c.Conn.SetWriteDeadline(c.beginWrite()) // It fails on a closed connection only.
		written, err := c.Conn.Write(part)
		n += written
		if err != nil {
			return n, err
		}
		p = p[len(part):]
	}
	return n, nil
}

// beginWrite records that a write begins, and returns its deadline.
func (c *Conn) beginWrite() time.Time {
	b := c.listener.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	c.writing.Store(int64(max(now.Sub(c.opened), 1)))
	deadline := clock.WallTime(b.Clock, now.Add(maxStall))
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		return c.writeDeadline
	}
	return deadline
}

// writesSlowly reports whether the client has not read its answer for a while.
func (c *Conn) writesSlowly(now time.Time) bool {
	began := time.Duration(c.writing.Load())
	return began > 0 && now.Sub(c.opened)-began > slowWrite
}

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	b := c.listener.Budget
	b.mu.Lock()
	c.writeDeadline = t
	b.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite ends what is sent to the client.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return eris.New("guard: the connection cannot be closed for writing only")
}

// NetConn returns the connection that this one guards.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetLinger sets what closing does with data that was not sent.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return eris.New("guard: the connection has no linger time")
}

// SyscallConn returns the socket of the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, eris.New("guard: the connection has no socket")
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// abort ends what the client has not finished: reads of its request fail from now on, and a blocked write
// fails with the connection.
func (c *Conn) abort() {
	if c.isServed() {
		_ = c.Close() // The HTTP server may have closed it already.
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // It fails on a closed connection only.
}
