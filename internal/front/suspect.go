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
func (x *Exchange) suspectDigest() suspect.Digest {
	x.digestOnce.Do(func() {
		x.digestValue = suspect.Request{
			Account:    x.account,
			Method:     x.r.Method,
			Host:       x.r.Host,
			RequestURI: x.r.URL.RequestURI(),
			Body:       x.body,
		}.Digest()
	})
	return x.digestValue
}

// cutRefused ends the attempts at a request that is refused from now on, wherever they stand:
// a target that has not read it yet need not end too.
func (s *Server) cancelRefused(d suspect.Digest, size int) {
	for _, x := range s.active.oldest(math.MaxInt) {
		if phase, _, _ := x.progress.snapshot(); phase != PhaseReading && len(x.body) == size && x.suspectDigest() == d {
			x.abort(balance.ErrSuspectRefused)
		}
	}
}

// judge has the request run alone if targets have ended under it, and returns
// balance.ErrRefused if it is to run no more.
func (d *deliver) checkSuspect(x *Exchange, job *balance.Job) error {
	registry := d.balancer.Suspects
	if !registry.HasBodySize(len(x.body)) {
		return nil
	}
	job.Suspect, job.EndedTargets = suspect.Digest{}, 0
	switch status, _ := registry.Status(x.suspectDigest()); status {
	case suspect.Refused:
		return balance.ErrSuspectRefused
	case suspect.Isolated:
		job.Suspect, job.EndedTargets = x.suspectDigest(), len(registry.Evidence(x.suspectDigest()).Ends())
	}
	return nil
}

// endsTargets returns the refusal of a request under which targets have ended. Who comes back
// soon finds it refused still.
func (d *deliver) suspectRefusal(x *Exchange, outcome barleystep.Outcome) *barleystep.Refusal {
	_, left := d.balancer.Suspects.Status(x.suspectDigest())
	const message = "Targets have ended each time that they ran this request. It is not sent to others for now."
	return barleystep.NewRefusal(barleystep.ReasonEndsTargets, outcome, message).WithRetryAfter(left)
}

// clear notes that a target has run the request and lives.
func (t *try) clear() {
	x := t.exchange
	if registry := t.stage.balancer.Suspects; registry.HasBodySize(len(x.body)) {
		registry.RecordSuccess(x.suspectDigest(), len(x.body))
	}
}

// showBegun notes that a target has begun its answer to the request and lives.
func (t *try) recordBegun() {
	x := t.exchange
	if registry := t.stage.balancer.Suspects; registry.HasBodySize(len(x.body)) {
		registry.RecordAnswerStart(x.suspectDigest(), len(x.body))
	}
}

// accuse holds against the request each target of a failed try that has ended.
func (t *try) recordEnds(ctx context.Context, res result) {
	registry := t.stage.balancer.Suspects
	if registry == nil || ctx.Err() != nil {
		return
	}
	x := t.exchange
	endFlags := t.endFlags()
	for _, target := range t.endedTargets(ctx, res) {
		t.stage.log.Warn().Str("request", x.call.RequestID).Str("digest", x.suspectDigest().String()).Str("account", x.account).
			Str("target", string(target.ID)).Bool("unread", endFlags&suspect.BeforeFirstEvent != 0).
			Bool("alone", endFlags&suspect.RanAlone != 0).Msg(logPrefix + "A target has ended while it had the request.")
		end := suspect.NewEnd(uint32(balance.KeyOfTarget(target)), t.stage.clock.Now(), endFlags)
		registry.RecordEnd(x.suspectDigest(), len(x.body), end)
	}
}

// marks tells how the request ran at the target.
func (t *try) endFlags() (endFlags suspect.EndFlags) {
	if t.timeToFirst == 0 {
		endFlags |= suspect.BeforeFirstEvent
	}
	if t.alone {
		endFlags |= suspect.RanAlone
	}
	return endFlags
}

// ended returns the targets of a failed try that have ended: they started anew, or nothing
// listens at their address. One that closes or resets a connection, falls silent or is cut off
// has not, nor has one that was about to leave. Other boxes hear that nobody listens there.
func (t *try) endedTargets(ctx context.Context, res result) []fleet.Target {
	candidates := t.possiblyEnded(res)
	dialCtx, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(helperDialTimeout))
	defer cancel()
	ended := make([]bool, len(candidates))
	var wait sync.WaitGroup
	for i, target := range candidates {
		wait.Go(func() {
			refused := t.stage.pool.ConnRefused(dialCtx, target.Addr)
			if refused {
				t.placement.NoteUnreachable(target.ID)
			}
			ended[i] = refused || t.placement.HasRestarted(target.ID)
		})
	}
	wait.Wait()
	var list []fleet.Target
	for i, target := range candidates {
		if ended[i] {
			list = append(list, target)
		}
	}
	return list
}

// doubtful returns the targets that may have ended, by how the try failed: its own, if no whole
// answer came, and the helpers then, or the one that is to blame.
func (t *try) possiblyEnded(res result) []fleet.Target {
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
