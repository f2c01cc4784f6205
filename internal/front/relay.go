package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// eventBuffer is the first size of the buffer for events; a longer event
	// makes it grow.
	eventBuffer = 4 << 10
	// longestEvent bounds one event in bytes, against a target that never ends
	// one.
	longestEvent = 1 << 20
)

var errLongEvent = eris.New("front: an event is too long")

// relay passes a stream on, whole events at a time, so that a stream that
// breaks can be taken up elsewhere at the border of an event.
func (t *try) relay(resp *http.Response, w *watch) (result, error) {
	x := t.exchange
	resumed := x.begun
	if !resumed {
		t.head(resp.Header)
		x.status = resp.StatusCode
	}
	buffer := make([]byte, 0, eventBuffer)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= longestEvent {
				return resultBroken, errLongEvent
			}
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		rest, sent := t.forward(buffer, w)
		if sent != nil {
			return resultBroken, sent
		}
		buffer = append(buffer[:0], rest...)
		switch {
		case eris.Is(err, io.EOF) && len(buffer) == 0:
			t.begin()
			return resultDone, nil
		case eris.Is(err, io.EOF):
			return resultBroken, errCutEvent
		case err != nil:
			return resultBroken, err
		}
	}
}

// forward sends the whole events of data and returns what is left.
func (t *try) forward(data []byte, w *watch) (rest []byte, err error) {
	end := eventEnd(data)
	if end == 0 {
		return data, nil
	}
	w.progress()
	t.placement.Heard()
	x := t.exchange
	fresh := data[:end]
	for x.last != "" && len(fresh) > 0 {
		// An event that the caller already has is left out.
		first := firstEvent(fresh)
		id := lastID(fresh[:first])
		if id == "" || !notAfter(id, x.last) {
			break
		}
		fresh = fresh[first:]
	}
	if len(fresh) == 0 {
		return data[end:], nil
	}
	t.begin()
	if id := lastID(fresh); id != "" {
		x.last = id
	}
	x.events += bytes.Count(fresh, eventBorder)
	x.notePause(t.stage.clock.Now())
	if _, err := x.w.Write(fresh); err != nil {
		return nil, eris.Wrap(errCaller, err.Error())
	}
	if err := x.control.Flush(); err != nil {
		return nil, eris.Wrap(errCaller, err.Error())
	}
	return data[end:], nil
}

// begin sends the head of the answer, once.
func (t *try) begin() {
	x := t.exchange
	if t.first == 0 {
		t.first = t.stage.clock.Now().Sub(t.started)
		t.placement.First()
	}
	if x.begun {
		return
	}
	x.begun = true
	x.first = t.stage.clock.Now().Sub(x.started)
	t.stage.meter.FirstToken(x.route.Kind.String(), x.first)
	x.noteHead(t.stage.protocol, t.placement.Target.ID)
	x.w.WriteHeader(x.status)
}

// notePause notes that events go out now.
func (x *Exchange) notePause(now time.Time) {
	if !x.written.IsZero() {
		x.pause = max(x.pause, now.Sub(x.written))
	}
	x.written = now
}
