package reply

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Writer sends one answer to one caller. It is made by NewWriter and used by one
// goroutine.
type Writer struct {
	w         http.ResponseWriter
	head      Head
	headSent  bool
	closeConn bool
}

// NewWriter returns a writer whose answer has not begun.
func NewWriter(w http.ResponseWriter) *Writer { return &Writer{w: w} }

// CloseAfter has the answer end the caller's connection. It has no effect once the
// answer has begun.
func (w *Writer) SetConnectionClose() { w.closeConn = true }

// Begun reports whether the head went out, after which no other can.
func (w *Writer) HeadSent() bool { return w.headSent }

// Head returns the head that went out.
func (w *Writer) Head() Head { return w.head }

// LimitBody returns the caller's body, cut off with *http.MaxBytesError after limit
// bytes.
func (w *Writer) LimitBody(body io.ReadCloser, limit int64) io.ReadCloser {
	return http.MaxBytesReader(w.w, body, limit)
}

// Whole sends a whole answer. It does nothing if one has begun.
func (w *Writer) WriteFull(h Head, body []byte) {
	if w.headSent {
		return
	}
	h.header = maps.Clone(h.header)
	h.header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHead(h)
	_, _ = w.w.Write(body) // The caller may have gone away.
}

// EndBody has the reading of the caller's body fail from now on; the answer can still be
// sent. Other goroutines may call it.
func (w *Writer) AbortRequestBody() {
	_ = http.NewResponseController(w.w).SetReadDeadline(time.Unix(1, 0)) // Recorders in tests have none.
}

// Begin sends the head of an answer whose body follows in parts. Only the first head
// is sent: a stream that another target goes on with keeps its own.
func (w *Writer) WriteHead(h Head) {
	if w.headSent {
		return
	}
	w.headSent = true
	w.head = h
	header := w.w.Header()
	clear(header)
	maps.Copy(header, h.header)
	if w.closeConn {
		header.Set("Connection", "close")
	}
	w.w.WriteHeader(h.status)
}

// Write sends a part of the body at once. The head must have gone out.
func (w *Writer) Write(part []byte) (err error) {
	defer func() { err = eris.Wrap(err, "reply: write to the caller") }()
	if _, err := w.w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(w.w).Flush()
}
