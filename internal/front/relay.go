package front

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/event"
	"github.com/barleystep/barleystep/internal/reply"
)

// streamReadBytes is how much of a stream is read at a time, in bytes.
const streamReadBytes = 4 << 10

// relay forwards the events of an answer that the caller lacks, so that a broken stream can be resumed
// at an event boundary.
func (t *try) relay(ctx context.Context, resp *http.Response, w *stallWatch) (result, error) {
	buffer := make([]byte, streamReadBytes)
	scanner := &event.Scanner{Cursor: &t.exchange.cursor, Framed: !conn.IsUnframed(resp)}
	defer func() { t.exchange.droppedEvents += scanner.Dropped() }()
	for {
		n, err := resp.Body.Read(buffer)
		dropped := scanner.Dropped()
		events, count, scanErr := scanner.Scan(buffer[:n])
		if count > 0 || scanner.Dropped() > dropped {
			w.recordActivity()
			t.placement.NoteEvent()
		}
		if writeErr := t.forward(events, count); writeErr != nil {
			return resultBroken, writeErr
		}
		switch {
		case scanErr != nil:
			if scanner.HasEvents() && conn.IsUnframed(resp) && eris.Is(scanErr, event.ErrNextAnswer) && t.isWhole(ctx, resp) {
				t.exchange.endedWhole = true
			}
			return resultBroken, scanErr
		case eris.Is(err, io.EOF):
			return t.endStream(ctx, resp, scanner)
		case err != nil:
			return resultBroken, err
		}
	}
}

// endStream decides whether a stream that has ended is complete. The end of a connection tells less
// than a length: the target may have broken off the answer after its head, or its process may have
// ended between two events.
func (t *try) endStream(ctx context.Context, resp *http.Response, scanner *event.Scanner) (result, error) {
	switch {
	case scanner.IsInside():
		return resultBroken, errTruncatedEvent
	case scanner.IsBehind():
		return resultBroken, event.ErrGap
	case !conn.IsUnframed(resp):
	case !scanner.HasEvents():
		return resultBroken, errTruncatedEvent
	case !t.isWhole(ctx, resp):
		return resultBroken, errMayLackPart
	}
	t.startAnswer()
	return resultDone, nil
}

// continuesStream reports whether an answer is of the same kind as the one that the caller has begun to
// receive, if any.
func (t *try) continuesStream(resp *http.Response) bool {
	answer := t.exchange.answer
	if !answer.HeadSent() {
		return true
	}
	if resp.StatusCode != answer.Head().Status() {
		return false
	}
	begun, own := mediaType(answer.Head()), mediaType(t.head)
	return begun == own || begun == "" || own == ""
}

// mediaType returns the type of an answer's body without parameters, empty if it is not stated.
func mediaType(h reply.Head) string {
	name, _, err := mime.ParseMediaType(h.ContentType())
	if err != nil {
		return h.ContentType()
	}
	return name
}

// forward sends events that the caller lacks.
func (t *try) forward(events []byte, count int) error {
	if count == 0 {
		return nil
	}
	x := t.exchange
	t.startAnswer()
	x.endedWhole = false
	x.events += count
	x.recordPause(t.stage.clock.Now())
	if err := x.answer.Write(events); err != nil {
		return eris.Wrap(errCallerWrite, err.Error())
	}
	return nil
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
