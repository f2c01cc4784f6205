package reply

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/conn"
)

// Writer sends one answer to one caller. Use NewWriter to create one. It must be used by one
// goroutine, except for AbortRequestBody and SetConnectionClose.
type Writer struct {
	w         http.ResponseWriter
	head      Head
	headSent  bool
	closeConn atomic.Bool
}

// NewWriter returns a writer for an answer that has not begun.
func NewWriter(w http.ResponseWriter) *Writer { return &Writer{w: w} }

// SetConnectionClose makes the answer close the caller's connection. It has no effect once the head
// has been sent. It may be called from other goroutines.
func (w *Writer) SetConnectionClose() { w.closeConn.Store(true) }

// HeadSent reports whether the head has been sent. Only one head can be sent.
func (w *Writer) HeadSent() bool { return w.headSent }

// Head returns the head that was sent.
func (w *Writer) Head() Head { return w.head }

// LimitBody returns the caller's body, which fails with *http.MaxBytesError after limit bytes.
func (w *Writer) LimitBody(body io.ReadCloser, limit int64) io.ReadCloser {
	return http.MaxBytesReader(w.w, body, limit)
}

// WriteFull sends a complete answer. It does nothing if an answer has begun.
func (w *Writer) WriteFull(h Head, body []byte) {
	if w.headSent {
		return
	}
	h.header = maps.Clone(h.header)
	h.header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHead(h)
	_, _ = w.w.Write(body) // The caller may have disconnected.
}

// AbortRequestBody makes reading the caller's body fail from now on; the answer can still be sent.
// It may be called from other goroutines.
func (w *Writer) AbortRequestBody() {
	w.SetBodyDeadline(time.Unix(1, 0))
}

// SetBodyDeadline makes reading the caller's body fail after the time of the operating system's clock.
func (w *Writer) SetBodyDeadline(t time.Time) {
	_ = http.NewResponseController(w.w).SetReadDeadline(t) // Test recorders do not support deadlines.
}

// Reset resets the caller's connection. To callers of HTTP/1.0, the end of a connection that is closed is
// the end of the answer.
func (w *Writer) Reset() {
	c, _, err := http.NewResponseController(w.w).Hijack()
	if err != nil {
		return // The connection is closed otherwise.
	}
	conn.Reset(c)
}

// WriteHead sends the head of an answer whose body follows in parts. Only the first head is sent: a
// stream that is resumed on another target keeps the head of the first one.
func (w *Writer) WriteHead(h Head) {
	if w.headSent {
		return
	}
	w.headSent = true
	w.head = h
	header := w.w.Header()
	clear(header)
	maps.Copy(header, h.header)
	if w.closeConn.Load() {
		header.Set("Connection", "close")
	}
	w.w.WriteHeader(h.status)
}

// Write sends a part of the body immediately. The head must have been sent before.
func (w *Writer) Write(part []byte) (err error) {
	defer func() { err = eris.Wrap(err, "reply: write to the caller") }()
	if _, err := w.w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(w.w).Flush()
}
