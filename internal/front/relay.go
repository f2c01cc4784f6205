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
	initialEventBuffer = 4 << 10
	// longestEvent bounds one event in bytes, against a target that never ends
	// one.
	maxEventBytes = 1 << 20
)

var errEventTooLong = eris.New("front: an event is too long")

// relay passes a stream on, whole events at a time, so that a stream that
// breaks can be taken up elsewhere at the border of an event.
func (t *try) relay(resp *http.Response, w *stallWatch) (result, error) {
	buffer := make([]byte, 0, initialEventBuffer)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxEventBytes {
				return resultBroken, errEventTooLong
			}
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		rest, writeErr := t.forward(buffer, w)
		if writeErr != nil {
			return resultBroken, writeErr
		}
		buffer = append(buffer[:0], rest...)
		switch {
		case eris.Is(err, io.EOF) && len(buffer) == 0 && t.mayBeComplete(resp):
			t.startAnswer()
			return resultDone, nil
		case eris.Is(err, io.EOF):
			return resultBroken, errTruncatedEvent
		case err != nil:
			return resultBroken, err
		}
	}
}

// mayBeEmpty reports whether the stream may be whole as far as its events go. One that
// ends with its connection looks the same if the target broke off after the head; then
// it is whole only if the caller has events, after which there may be no more.
func (t *try) mayBeComplete(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	x := t.exchange
	return framed || x.answer.HeadSent() || x.call.LastEventID != ""
}

// forward sends the whole events of data and returns what is left.
func (t *try) forward(data []byte, w *stallWatch) (rest []byte, err error) {
	end := lastEventEnd(data)
	if end == 0 {
		return data, nil
	}
	w.recordActivity()
	t.placement.NoteEvent()
	x := t.exchange
	fresh := data[:end]
	for x.lastEvent != "" && len(fresh) > 0 {
		// An event that the caller already has is left out.
		first := firstEventEnd(fresh)
		id := lastEventID(fresh[:first])
		if id == "" || !isAtOrBefore(id, x.lastEvent) {
			break
		}
		fresh = fresh[first:]
	}
	if len(fresh) == 0 {
		return data[end:], nil
	}
	t.startAnswer()
	if id := lastEventID(fresh); id != "" {
		x.lastEvent = id
	}
	x.events += bytes.Count(fresh, eventDelimiter)
	x.recordPause(t.stage.clock.Now())
	if err := x.answer.Write(fresh); err != nil {
		return nil, eris.Wrap(errCallerWrite, err.Error())
	}
	return data[end:], nil
}

// begin sends the head of the try's answer, unless that of an earlier try went out.
func (t *try) startAnswer() {
	x := t.exchange
	if t.timeToFirst == 0 {
		t.timeToFirst = t.stage.clock.Now().Sub(t.started)
		t.placement.NoteFirstEvent()
		t.recordBegun()
	}
	if x.answer.HeadSent() {
		return
	}
	x.timeToFirst = t.stage.clock.Now().Sub(x.started)
	t.stage.meter.FirstToken(x.route.Kind.String(), x.timeToFirst)
	x.answer.WriteHead(t.head)
}

// notePause notes that events go out now.
func (x *Exchange) recordPause(now time.Time) {
	if !x.lastWrite.IsZero() {
		x.maxPause = max(x.maxPause, now.Sub(x.lastWrite))
	}
	x.lastWrite = now
}
