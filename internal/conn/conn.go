// Package conn pools connections to targets and sends requests over them. Unlike general HTTP
// clients, it writes a request at most once and never repeats it, so the caller of this package
// controls every send.
package conn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// Conn is one connection to a target, used for one request at a time.
type Conn struct {
	pool        *Pool
	addr        string
	generation  uint64 // generation is that of the address when the connection was made.
	raw         net.Conn
	input       *input
	reader      *bufio.Reader // reader reads from input.
	idle        time.Time     // idle is when the connection became idle.
	idleTimeout time.Duration // idleTimeout is how long the target keeps it open while idle; zero if unknown.
	// writeDone is closed when the request has been written; writeErr is set before.
	writeDone chan struct{}
	writeErr  error
	broken    bool
	// skipped counts the interim answers and answers to other requests read before the last answer.
	skipped int
}

const (
	readerSize = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the answer is read. It
	// fits the smallest socket buffers, so that a target that does not read it cannot block the
	// writer.
	maxInlineBody = 4 << 10
)

// Send writes the request and reads the head of the first answer that accept reports true for,
// skipping interim answers and answers to earlier requests. It returns barleystep.ErrNotStarted if
// nothing of the request was written.
//
// The context bounds the exchange, including the reading of the body.
func (c *Conn) Send(ctx context.Context, req *http.Request, body []byte, accept func(http.Header) bool) (resp *http.Response, err error) {
	stop := context.AfterFunc(ctx, c.Interrupt)
	defer func() {
		if err != nil {
			stop()
			c.broken = true
		}
	}()
	if err := c.write(req, body); err != nil {
		return nil, err
	}
	for c.skipped = 0; c.skipped < maxSkipped; c.skipped++ {
		if resp, err = c.readHead(req); err != nil {
			return nil, eris.Wrap(err, "conn: read answer")
		}
		if isInterim(resp) {
			continue
		}
		if accept(resp.Header) {
			resp.Body = &answerBody{conn: c, body: resp.Body, stop: stop, isUnframed: IsUnframed(resp)}
			return resp, nil
		}
		if err := c.skipBody(resp); err != nil {
			return nil, eris.Wrap(err, "conn: read surplus answer")
		}
	}
	return nil, eris.Wrap(barleystep.ErrWrongAttempt, "conn: no answer to this request")
}

const (
	// maxSkipped bounds the interim answers and answers to other requests that are skipped.
	maxSkipped = 4
	// maxSkippedBytes bounds the body of a skipped answer, in bytes.
	maxSkippedBytes = 1 << 20
)

// errSurplusTooLong means that an answer to another request is too long to be skipped.
var errSurplusTooLong = eris.New("conn: a surplus answer is too long")

// readHead reads the head of an answer, final or interim.
func (c *Conn) readHead(req *http.Request) (resp *http.Response, err error) {
	c.input.beginHead()
	resp, err = http.ReadResponse(c.reader, req) //nolint:forbidigo // The input bounds the head.
	c.input.endHead()
	if err != nil {
		return nil, c.input.readError(err)
	}
	c.pool.noteHeard(c)
	if !isInterim(resp) && !IsFinalStatus(resp.StatusCode) {
		return nil, errMalformed
	}
	return resp, nil
}

// skipBody reads the body of an answer to another request. What is left of one that is too long, or that
// net/http does not read, could pass for the next answer.
func (c *Conn) skipBody(resp *http.Response) error {
	if hasHiddenBody(resp) {
		return errMalformed
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	switch {
	case err != nil:
		return c.input.readError(err)
	case n > maxSkippedBytes:
		return errSurplusTooLong
	}
	return resp.Body.Close()
}

// write sends the head and, unless it is long, the body. A long body is written concurrently with
// reading the answer, since targets may answer before they have read it.
func (c *Conn) write(req *http.Request, body []byte) error {
	c.writeDone = make(chan struct{})
	counter := &countingWriter{w: c.raw}
	send := func() {
		defer close(c.writeDone)
		w := bufio.NewWriterSize(counter, readerSize)
		c.writeErr = req.Write(w)
		if c.writeErr == nil {
			c.writeErr = w.Flush()
		}
	}
	if len(body) > maxInlineBody {
		go send()
		return nil
	}
	send()
	if c.writeErr == nil {
		return nil
	}
	if counter.n == 0 {
		return eris.Wrap(barleystep.ErrNotStarted, c.writeErr.Error())
	}
	// The answer may have arrived before the connection was reset.
	if _, err := c.reader.Peek(1); err == nil {
		return nil
	}
	return eris.Wrap(c.writeErr, "conn: write request")
}

type countingWriter struct {
	w io.Writer
	n int
}

// Write forwards p and counts the bytes written.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.n += n
	return n, err
}

// answerBody is the body of an answer. Closing it decides whether the connection can be reused.
type answerBody struct {
	conn   *Conn
	body   io.ReadCloser
	stop   func() bool
	closed bool
	sawEOF bool
	// isUnframed is set if the end of the connection is that of the body.
	isUnframed bool
}

// Read reads the body. It returns io.EOF only when the body is complete.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.conn.pool.noteHeard(b.conn)
	}
	if err == io.EOF && b.isUnframed && b.conn.writeFailed() {
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.sawEOF = true
	}
	return n, b.conn.input.readError(err)
}

// writeFailed reports whether the request was not written whole when the target closed the connection.
// If it was reset, that may only show in the write: a socket returns its pending error once.
func (c *Conn) writeFailed() bool {
	_ = c.raw.SetWriteDeadline(time.Unix(1, 0)) // The target reads no more.
	<-c.writeDone
	return c.writeErr != nil
}

// Close ends the use of the connection. The connection stays usable if the request was fully
// written, the answer was read to its end and the context did not end before.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	inTime := b.stop()
	c := b.conn
	written := false
	select {
	case <-c.writeDone:
		written = c.writeErr == nil
	default:
	}
	if !b.sawEOF || !inTime || !written {
		c.broken = true
	}
	return nil
}

// Release returns the connection to its pool. The answer's body must be closed before; resp is nil
// if there was no answer.
func (c *Conn) Release(resp *http.Response) {
	if c.broken || resp == nil || resp.Close || c.reader.Buffered() > 0 {
		c.pool.discard(c)
		return
	}
	c.idleTimeout = keepAlive(resp.Header.Get("Keep-Alive"))
	c.pool.put(c, c.pool.Clock.Now())
}

// keepAlive parses the time after which a target closes an idle connection, zero if there is none.
func keepAlive(header string) time.Duration {
	_, after, found := strings.Cut(header, "timeout=")
	if !found {
		return 0
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// isClean reports whether the connection is open and has received nothing since its last answer.
func (c *Conn) isClean() bool {
	_, err := Peek(c.raw)
	return eris.Is(err, syscall.EAGAIN) || eris.Is(err, errNoSocket)
}

// Interrupt makes reads and writes fail from now on. It may be called from other goroutines.
func (c *Conn) Interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// Discard closes the connection instead of returning it to its pool.
func (c *Conn) Discard() {
	c.broken = true
	c.Release(nil)
}

// Skipped returns the number of interim answers and answers to other requests before the last
// answer.
func (c *Conn) Skipped() int { return c.skipped }

// IsStranded reports whether the connection takes a path on which new connections fail, and no such
// connection has delivered anything for a while.
func (c *Conn) IsStranded() bool {
	p := c.pool
	if p.Paths == nil || !p.Paths.IsStranded(c.raw, c.addr) {
		return false
	}
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.strandedHeard) > strandedSilence
}

// Relay returns the address of the box through which the connection goes, empty for a direct one.
func (c *Conn) Relay() string {
	if r, ok := c.raw.(interface{ Relay() string }); ok {
		return r.Relay()
	}
	return ""
}

// Reused reports whether the connection has been idle in its pool.
func (c *Conn) Reused() bool { return !c.idle.IsZero() }
