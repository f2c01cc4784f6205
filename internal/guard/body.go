package guard

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// firstBodyBytes is how much memory a body gets at first, in bytes. More follows as it arrives, whatever
// its announced length.
const firstBodyBytes = 4 << 10

// ErrNoMemory is returned when there is no memory for a request.
var ErrNoMemory = eris.New("guard: there is no memory for the request")

// ReadBody reads a whole body, which the connection holds until its request ends. announced is the length
// that the client has announced, below zero if it has not.
func (c *Conn) ReadBody(body io.Reader, announced int64) (data []byte, err error) {
	for {
		if len(data) == cap(data) {
			if data, err = c.growBody(data, announced); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case eris.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// growBody returns a copy with more capacity: twice as much, but no more than what is announced and the
// read of its end.
func (c *Conn) growBody(data []byte, announced int64) ([]byte, error) {
	size := max(firstBodyBytes, 2*int64(cap(data)))
	if announced >= 0 {
		size = max(min(size, announced+1), int64(len(data))+1)
	}
	if !c.Take(size) {
		return nil, ErrNoMemory
	}
	larger := append(make([]byte, 0, size), data...)
	c.Give(int64(cap(data)))
	return larger, nil
}

// RecordReads returns a handler that records when the bodies of requests have been read.
func RecordReads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := From(r.Context())
		switch {
		case c == nil:
		case r.ContentLength == 0:
			c.RequestRead()
		default:
			r.Body = &recordedBody{r.Body, c}
		}
		next.ServeHTTP(w, r)
	})
}

// recordedBody records when it has been read.
type recordedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body.
func (b *recordedBody) Read(p []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(p); err != nil {
		b.conn.RequestRead()
	}
	return n, err
}
