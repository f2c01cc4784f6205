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

// suspectDigest returns the digest that identifies the request across the caller's attempts.
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

// cancelRefused cancels all running tries of a request that has just become refused. A target that
// has not prefilled it yet may then survive.
func (s *Server) cancelRefused(d suspect.Digest, size int) {
	for _, x := range s.active.oldest(math.MaxInt) {
		if phase, _, _ := x.progress.snapshot(); phase != PhaseReading && len(x.body) == size && x.suspectDigest() == d {
			x.abort(balance.ErrSuspectRefused)
		}
	}
}

// checkSuspect marks the job to run in isolation if targets have terminated while they ran the
// request, and returns balance.ErrSuspectRefused if it must not run any more.
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

// suspectRefusal returns the refusal of a request that targets terminated under. Its Retry-After is
// the time for which the request stays refused.
func (d *deliver) suspectRefusal(x *Exchange, outcome barleystep.Outcome) *barleystep.Refusal {
	_, left := d.balancer.Suspects.Status(x.suspectDigest())
	const message = "Targets have ended each time that they ran this request. It is not sent to others for now."
	return barleystep.NewRefusal(barleystep.ReasonEndsTargets, outcome, message).WithRetryAfter(left)
}

// clear records that a target has run the request and survived.
func (t *try) clear() {
	x := t.exchange
	if registry := t.stage.balancer.Suspects; registry.HasBodySize(len(x.body)) {
		registry.RecordSuccess(x.suspectDigest(), len(x.body))
	}
}

// recordBegun records that a target has begun its answer to the request and is alive.
func (t *try) recordBegun() {
	x := t.exchange
	if registry := t.stage.balancer.Suspects; registry.HasBodySize(len(x.body)) {
		registry.RecordAnswerStart(x.suspectDigest(), len(x.body))
	}
}

// recordEnds records each target of a failed try that has terminated as evidence against the
// request.
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
			Strs("parts", x.call.SharedParts).Bool("alone", endFlags&suspect.RanAlone != 0).Msg(logPrefix + "A target terminated while it had the request.")
		end := suspect.NewEnd(uint32(balance.KeyOfTarget(target)), t.stage.clock.Now(), endFlags)
		registry.RecordEnd(x.suspectDigest(), len(x.body), end)
	}
}

// endFlags returns the circumstances of the try for the evidence against its request.
func (t *try) endFlags() (endFlags suspect.EndFlags) {
	if t.timeToFirst == 0 {
		endFlags |= suspect.BeforeFirstEvent
	}
	if t.isolated {
		endFlags |= suspect.RanAlone
	}
	return endFlags
}

// endedTargets returns the targets of a failed try that have terminated: they restarted, or their
// address refuses connections. A closed or reset connection, silence and a lost connection are not
// evidence, and neither is the end of a target that was leaving. A refused connection is reported
// to other boxes.
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

// possiblyEnded returns the targets that may have terminated in the try: the target and all helpers
// if no complete answer arrived, or the blamed helper if the request did not run. Targets that are
// leaving are excluded.
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
