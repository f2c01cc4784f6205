package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
)

const (
	// maxAnswerBytes bounds a buffered answer, in bytes. Longer ones do not occur on routes without
	// streams.
	maxAnswerBytes = 8 << 20
	// maxBufferedBytes bounds all buffered answers, in bytes, an eighth of the memory of a box.
	maxBufferedBytes = 32 << 20
	// bufferStep is how much of an answer is read at a time, in bytes.
	bufferStep = 16 << 10
	// maxRefusalBytes bounds the body that is read of an answer that says that the request has not run,
	// in bytes, and refusalTimeout for how long.
	maxRefusalBytes = 64 << 10
	refusalTimeout  = 200 * time.Millisecond
)

// quota bounds a sum over all requests.
type quota struct {
	used atomic.Int64
}

// take adds n to the sum unless that exceeds the limit.
func (q *quota) take(n, limit int64) bool {
	if q.used.Add(n) > limit {
		q.used.Add(-n)
		return false
	}
	return true
}

// give takes n off the sum.
func (q *quota) give(n int64) { q.used.Add(-n) }

// readBody reads the whole body of an answer. Its memory counts until the request ends.
func (t *try) readBody(body io.Reader) ([]byte, error) {
	x, buffered := t.exchange, &t.stage.buffered
	var buffer bytes.Buffer
	for {
		if !buffered.take(bufferStep, maxBufferedBytes) {
			return nil, errTooManyAnswers
		}
		x.buffered += bufferStep
		if !x.conn.Take(bufferStep) {
			return nil, errTooManyAnswers
		}
		_, err := io.CopyN(&buffer, body, bufferStep)
		switch {
		case buffer.Len() > maxAnswerBytes:
			return nil, errAnswerTooLong
		case eris.Is(err, io.EOF):
			return buffer.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}

// skipRefusal reads the body of an answer that says that the request has not run, so that its
// connection can be used again. One that is long or slow is left alone: the request moves on.
func (t *try) skipRefusal(resp *http.Response) error {
	ctx, cancel := clock.WithDeadline(context.Background(), t.stage.clock, t.stage.clock.Now().Add(refusalTimeout))
	defer cancel()
	stop := context.AfterFunc(ctx, t.conn.Interrupt)
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
	if !stop() {
		resp.Close = true // The connection was interrupted.
	}
	return err
}
