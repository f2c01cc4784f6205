package engine

import (
	"io"
	"iter"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/conn"
)

// eventStream reads a streamed answer. The id of each event is the attempt id, a slash and the
// event's number.
type eventStream struct {
	resp       *http.Response
	next       func() (sse.Event, error, bool)
	stop       func()
	attempt    string
	nextNumber uint64
	ended      bool
}

func newEventStream(resp *http.Response, a barleystep.Attempt, maxSize int) *eventStream {
	events := sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxSize})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &eventStream{
		resp:       resp,
		next:       next,
		stop:       stop,
		attempt:    a.ID.String(),
		nextNumber: max(a.ResumeFrom, 1),
	}
}

// Status returns the HTTP status.
func (s *eventStream) Status() int { return s.resp.StatusCode }

// ContentType returns the content type.
func (s *eventStream) ContentType() string { return s.resp.Header.Get("Content-Type") }

// Next returns the next event of the attempt. It skips events that were already returned, since a
// resumed stream may repeat them.
func (s *eventStream) Next() (barleystep.Event, error) {
	if s.ended {
		return barleystep.Event{}, io.EOF
	}
	for {
		e, err, ok := s.next()
		if err != nil {
			return barleystep.Event{}, eris.Wrap(barleystep.ErrBrokenStream, err.Error())
		}
		if !ok {
			return barleystep.Event{}, eris.Wrap(barleystep.ErrBrokenStream, "stream ended early")
		}
		number, err := s.number(e.LastEventID)
		if err != nil {
			return barleystep.Event{}, err
		}
		if number < s.nextNumber {
			continue
		}
		if number > s.nextNumber {
			return barleystep.Event{}, eris.Wrapf(barleystep.ErrBrokenStream, "event %d came in place of %d", number, s.nextNumber)
		}
		s.nextNumber++
		s.ended = e.Data == DoneData
		return barleystep.NewEvent(number, []byte(e.Data), s.ended), nil
	}
}

func (s *eventStream) number(id string) (uint64, error) {
	text, ok := strings.CutPrefix(id, s.attempt)
	if !ok || !strings.HasPrefix(text, "/") {
		return 0, eris.Wrapf(barleystep.ErrWrongAttempt, "event has id %q", id)
	}
	n, err := strconv.ParseUint(text[1:], 10, 64)
	if err != nil {
		return 0, eris.Wrapf(barleystep.ErrBrokenStream, "event has id %q", id)
	}
	return n, nil
}

// Close closes the response body.
func (s *eventStream) Close() error {
	err := s.resp.Body.Close()
	s.stop()
	return err
}

// maxBody bounds an answer that is not streamed, in bytes.
const maxBody = 8 << 20

// bodyStream returns an answer that is not streamed as a single event.
type bodyStream struct {
	resp *http.Response
	read bool
}

// Status returns the HTTP status.
func (s *bodyStream) Status() int { return s.resp.StatusCode }

// ContentType returns the content type.
func (s *bodyStream) ContentType() string { return s.resp.Header.Get("Content-Type") }

// Next returns the whole body as one event. A body without a declared length or chunked encoding
// is rejected, since a truncated one could not be detected.
func (s *bodyStream) Next() (barleystep.Event, error) {
	if s.read {
		return barleystep.Event{}, io.EOF
	}
	if conn.IsUnframed(s.resp) {
		return barleystep.Event{}, eris.Wrap(barleystep.ErrBrokenStream, "body has no end mark")
	}
	data, err := io.ReadAll(io.LimitReader(s.resp.Body, maxBody+1))
	if err != nil {
		return barleystep.Event{}, eris.Wrap(barleystep.ErrBrokenStream, err.Error())
	}
	if len(data) > maxBody {
		return barleystep.Event{}, eris.Wrap(barleystep.ErrBrokenStream, "the body is too long")
	}
	s.read = true
	return barleystep.NewEvent(1, data, true), nil
}

// Close closes the response body.
func (s *bodyStream) Close() error { return s.resp.Body.Close() }
