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
		case eris.Is(err, io.EOF) && len(buffer) == 0 && t.mayBeEmpty(resp):
			t.begin()
			return resultDone, nil
		case eris.Is(err, io.EOF):
			return resultBroken, errCutEvent
		case err != nil:
			return resultBroken, err
		}
	}
}

// mayBeEmpty reports whether the stream may be whole as far as its events go. One that
// ends with its connection looks the same if the target broke off after the head; then
// it is whole only if the caller has events, after which there may be no more.
func (t *try) mayBeEmpty(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	x := t.exchange
	return framed || x.answer.HeadSent() || x.call.LastEventID != ""
}

// forward sends the whole events of data and returns what is left.
func (t *try) forward(data []byte, w *watch) (rest []byte, err error) {
	end := eventEnd(data)
	if end == 0 {
		return data, nil
	}
	w.progress()
	t.placement.NoteEvent()
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
	if err := x.answer.Write(fresh); err != nil {
		return nil, eris.Wrap(errCaller, err.Error())
	}
	return data[end:], nil
}

// begin sends the head of the try's answer, unless that of an earlier try went out.
func (t *try) begin() {
	x := t.exchange
	if t.first == 0 {
		t.first = t.stage.clock.Now().Sub(t.started)
		t.placement.NoteFirstEvent()
		t.showBegun()
	}
	if x.answer.HeadSent() {
		return
	}
	x.first = t.stage.clock.Now().Sub(x.started)
	t.stage.meter.FirstToken(x.route.Kind.String(), x.first)
	x.answer.WriteHead(t.head)
}

// notePause notes that events go out now.
func (x *Exchange) notePause(now time.Time) {
	if !x.written.IsZero() {
		x.pause = max(x.pause, now.Sub(x.written))
	}
	x.written = now
}
