package front

import (
	"context"
	"math"
	"sync"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/suspect"
)

// identity returns the digest by which the request is known, whichever attempt carries it.
func (x *Exchange) identity() suspect.Digest {
	x.digest.Do(func() {
		x.known = suspect.Request{
			Account:    x.account,
			Method:     x.r.Method,
			Host:       x.r.Host,
			RequestURI: x.r.URL.RequestURI(),
			Body:       x.body,
		}.Digest()
	})
	return x.known
}

// cutRefused ends the attempts at a request that is refused from now on, wherever they stand:
// a target that has not read it yet need not end too.
func (s *Server) cutRefused(d suspect.Digest, size int) {
	for _, x := range s.running.oldest(math.MaxInt) {
		if phase, _, _ := x.progress.look(); phase != PhaseReading && len(x.body) == size && x.identity() == d {
			x.cut(balance.ErrSuspectRefused)
		}
	}
}

// judge has the request run alone if targets have ended under it, and returns
// balance.ErrRefused if it is to run no more.
func (d *deliver) judge(x *Exchange, job *balance.Job) error {
	book := d.balancer.Suspects
	if !book.HasBodySize(len(x.body)) {
		return nil
	}
	job.Suspect, job.EndedTargets = suspect.Digest{}, 0
	switch standing, _ := book.Status(x.identity()); standing {
	case suspect.Refused:
		return balance.ErrSuspectRefused
	case suspect.Isolated:
		job.Suspect, job.EndedTargets = x.identity(), len(book.Evidence(x.identity()).Ends())
	}
	return nil
}

// endsTargets returns the refusal of a request under which targets have ended. Who comes back
// soon finds it refused still.
func (d *deliver) endsTargets(x *Exchange, outcome barleystep.Outcome) *barleystep.Refusal {
	_, left := d.balancer.Suspects.Status(x.identity())
	const message = "Targets have ended each time that they ran this request. It is not sent to others for now."
	return barleystep.NewRefusal(barleystep.ReasonEndsTargets, outcome, message).WithRetryAfter(left)
}

// clear notes that a target has run the request and lives.
func (t *try) clear() {
	x := t.exchange
	if book := t.stage.balancer.Suspects; book.HasBodySize(len(x.body)) {
		book.RecordSuccess(x.identity(), len(x.body))
	}
}

// showBegun notes that a target has begun its answer to the request and lives.
func (t *try) showBegun() {
	x := t.exchange
	if book := t.stage.balancer.Suspects; book.HasBodySize(len(x.body)) {
		book.RecordAnswerStart(x.identity(), len(x.body))
	}
}

// accuse holds against the request each target of a failed try that has ended.
func (t *try) accuse(ctx context.Context, res result) {
	book := t.stage.balancer.Suspects
	if book == nil || ctx.Err() != nil {
		return
	}
	x := t.exchange
	marks := t.marks()
	for _, target := range t.ended(ctx, res) {
		t.stage.log.Warn().Str("request", x.call.RequestID).Str("digest", x.identity().String()).Str("account", x.account).
			Str("target", string(target.ID)).Bool("unread", marks&suspect.BeforeFirstEvent != 0).
			Bool("alone", marks&suspect.RanAlone != 0).Msg(logPrefix + "A target has ended while it had the request.")
		end := suspect.NewEnd(uint32(balance.KeyOfTarget(target)), t.stage.clock.Now(), marks)
		book.RecordEnd(x.identity(), len(x.body), end)
	}
}

// marks tells how the request ran at the target.
func (t *try) marks() (marks suspect.EndFlags) {
	if t.first == 0 {
		marks |= suspect.BeforeFirstEvent
	}
	if t.alone {
		marks |= suspect.RanAlone
	}
	return marks
}

// ended returns the targets of a failed try that have ended: they started anew, or nothing
// listens at their address. One that closes or resets a connection, falls silent or is cut off
// has not, nor has one that was about to leave. Other boxes hear that nobody listens there.
func (t *try) ended(ctx context.Context, res result) []fleet.Target {
	asked := t.doubtful(res)
	asking, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(helperTimeout))
	defer cancel()
	gone := make([]bool, len(asked))
	var wait sync.WaitGroup
	for i, target := range asked {
		wait.Go(func() {
			refuses := t.stage.pool.ConnRefused(asking, target.Addr)
			if refuses {
				t.placement.NoteUnreachable(target.ID)
			}
			gone[i] = refuses || t.placement.HasRestarted(target.ID)
		})
	}
	wait.Wait()
	var list []fleet.Target
	for i, target := range asked {
		if gone[i] {
			list = append(list, target)
		}
	}
	return list
}

// doubtful returns the targets that may have ended, by how the try failed: its own, if no whole
// answer came, and the helpers then, or the one that is to blame.
func (t *try) doubtful(res result) []fleet.Target {
	var ids []barleystep.TargetID
	if res == resultBroken {
		ids = append(ids, t.placement.Target.ID)
		for _, h := range t.placement.Helpers {
			ids = append(ids, h.ID)
		}
	}
	if res == resultNotRun && t.blamed != "" {
		ids = append(ids, t.blamed)
	}
	return t.stage.balancer.NotLeaving(ids)
}
