package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// initialEventBuffer is the initial size of the event buffer in bytes; it grows for longer
	// events.
	initialEventBuffer = 4 << 10
	// maxEventBytes bounds one event in bytes, against a target that never ends one.
	maxEventBytes = 1 << 20
)

var errEventTooLong = eris.New("front: an event is too long")

// relay forwards a stream in whole events, so that a broken stream can be resumed at an event
// boundary.
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

// mayBeComplete reports whether a stream that ends without a pending event may be complete. An
// unframed answer that the target broke off after the head looks the same as one without events. It
// counts as complete only if the caller already has events, since there may be none after those.
func (t *try) mayBeComplete(resp *http.Response) bool {
	x := t.exchange
	return !isUnframed(resp) || x.answer.HeadSent() || x.call.LastEventID != ""
}

// isUnframed reports whether the end of the answer is that of its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// forward sends the complete events of data and returns the remaining bytes.
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
		// Drop an event that the caller already has.
		first := firstEventEnd(fresh)
		id := lastEventID(fresh[:first])
		if id == "" || !isAtOrBefore(id, x.lastEvent) {
			break
		}
		fresh = fresh[first:]
		x.droppedEvents++
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

// startAnswer sends the head of the answer, unless an earlier try has sent one.
func (t *try) startAnswer() {
	x := t.exchange
	if !t.begun {
		t.begun = true
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

// recordPause records that events are being sent now.
func (x *Exchange) recordPause(now time.Time) {
	if !x.lastWrite.IsZero() {
		x.maxPause = max(x.maxPause, now.Sub(x.lastWrite))
	}
	x.lastWrite = now
}
