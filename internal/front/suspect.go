package front

import (
	"context"
	"math"
	"slices"
	"time"

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

// suspectParts returns the digests of the parts of the prompt that other requests may share.
func (x *Exchange) suspectParts() []suspect.Digest {
	x.partsOnce.Do(func() {
		for _, id := range x.call.SharedParts {
			x.partDigests = append(x.partDigests, suspect.Part{Service: x.service, ID: id}.Digest())
		}
	})
	return x.partDigests
}

// subject returns what there may be evidence against in the request. Digests that nobody suspects
// are not computed.
func (x *Exchange) subject(registry *suspect.Registry) (s suspect.Subject) {
	s.Account, s.BodySize = suspect.AccountKey(x.account), len(x.body)
	if registry.HasBodySize(len(x.body)) {
		s.Request = x.suspectDigest()
	}
	if registry.SuspectsParts() {
		s.Parts = x.suspectParts()
	}
	return s
}

// verdict returns how the request may run.
func (x *Exchange) verdict(registry *suspect.Registry) suspect.Verdict {
	return registry.Assess(x.subject(registry))
}

// cancelRefused cancels all running tries of requests that have just become refused. A target that
// has not prefilled them yet may then survive.
func (s *Server) cancelRefused() {
	for _, x := range s.active.oldest(math.MaxInt) {
		if phase, _, _ := x.progress.snapshot(); phase != PhaseReading && x.verdict(s.Balancer.Suspects).Status == suspect.Refused {
			x.abort(balance.ErrSuspectRefused)
		}
	}
}

// checkSuspect marks the job to run in isolation if targets have terminated while they ran the
// request, or others with a part of its prompt, and returns balance.ErrSuspectRefused if it must
// not run any more.
func (d *deliver) checkSuspect(x *Exchange, job *balance.Job) error {
	v := x.verdict(d.balancer.Suspects)
	if v.Status == suspect.Refused {
		return balance.ErrSuspectRefused
	}
	job.Suspect, job.EndedTargets = v.Digest, v.Ended
	return nil
}

// becameSuspect reports whether a request must not run as it was placed, because of what has become
// known since.
func (d *deliver) becameSuspect(x *Exchange, job *balance.Job) bool {
	switch x.verdict(d.balancer.Suspects).Status {
	case suspect.Refused:
		return true
	case suspect.Isolated:
		return job.Suspect == (suspect.Digest{})
	default:
		return false
	}
}

// clearedTime is how long a box waits to hear that a suspect is cleared before it asks again.
const clearedTime = 50 * time.Millisecond

// awaitCleared waits until this box knows too that the suspect is cleared, for which the lead has not
// placed it.
func (d *deliver) awaitCleared(ctx context.Context, x *Exchange, job *balance.Job) {
	if x.verdict(d.balancer.Suspects).Digest == job.Suspect {
		clock.Sleep(ctx, d.clock, clearedTime)
	}
}

// suspectRefusal returns the refusal of a request that targets terminated under. Its Retry-After is
// the time for which the request stays refused.
func (d *deliver) suspectRefusal(x *Exchange, outcome barleystep.Outcome) *barleystep.Refusal {
	const message = "Targets have ended each time that they ran this request, or others with a part of its prompt. It is not sent to others for now."
	return barleystep.NewRefusal(barleystep.ReasonEndsTargets, outcome, message).WithRetryAfter(x.verdict(d.balancer.Suspects).Left)
}

// clear records that a target has run the request and survived.
func (t *try) clear() {
	registry := t.stage.balancer.Suspects
	registry.RecordSuccessOf(t.exchange.subject(registry))
}

// recordBegun records that a target has begun its answer to the request and is alive.
func (t *try) recordBegun() {
	registry := t.stage.balancer.Suspects
	registry.RecordAnswerStartOf(t.exchange.subject(registry))
}

// recordEnds records each target of a failed try that has terminated as evidence against the
// request. A target that seems to be alive, but has given nothing of the answer, is looked at again.
func (t *try) recordEnds(ctx context.Context, res result) {
	if t.stage.balancer.Suspects == nil || ctx.Err() != nil {
		return
	}
	brokenAt := t.stage.clock.Now()
	candidates := t.possiblyEnded(res)
	ended := t.endedTargets(ctx, candidates)
	isOwn := func(target fleet.Target) bool { return target.ID == t.placement.Target.ID }
	own := max(slices.IndexFunc(ended, isOwn), 0)
	for i, target := range ended {
		t.recordEnd(target, brokenAt, i == own)
	}
	if res == resultBroken && !t.begun && slices.ContainsFunc(candidates, isOwn) && !slices.ContainsFunc(ended, isOwn) {
		t.stage.pendingChecks.Add(1)
		go t.recordLateEnd(context.WithoutCancel(ctx), brokenAt)
	}
}

// lateEndChecks are the pauses before a target that seemed to be alive is looked at again: a process
// that ends may accept connections for a moment longer, and the news of one that is back at once
// comes with the catalogue.
var lateEndChecks = [...]time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}

// recordLateEnd looks at the target again and records its end, unless it goes on or was leaving.
func (t *try) recordLateEnd(ctx context.Context, brokenAt time.Time) {
	defer t.stage.pendingChecks.Add(-1)
	target := t.placement.Target
	for _, pause := range lateEndChecks {
		if !clock.Sleep(ctx, t.stage.clock, pause) || t.stage.balancer.IsLeaving(target.ID) {
			return
		}
		if t.stage.balancer.HasSuccessor(target) || len(t.endedTargets(ctx, []fleet.Target{target})) > 0 {
			t.recordEnd(target, brokenAt, true)
			return
		}
	}
}

// recordEnd records that a target has terminated while it had the request. Of several that did, one
// counts against the parts of the prompt: one request alone is not to make its parts suspect.
func (t *try) recordEnd(target fleet.Target, at time.Time, countsForParts bool) {
	x := t.exchange
	endFlags := t.endFlags(target.ID)
	t.stage.log.Warn().Str("request", x.call.RequestID).Str("digest", x.suspectDigest().String()).Str("account", x.account).
		Str("target", string(target.ID)).Bool("unread", endFlags&suspect.BeforeFirstEvent != 0).
		Strs("parts", x.call.SharedParts).Bool("alone", endFlags&suspect.RanAlone != 0).Msg(logPrefix + "A target terminated while it had the request.")
	subject := suspect.Subject{Account: suspect.AccountKey(x.account), Request: x.suspectDigest(), BodySize: len(x.body)}
	if countsForParts {
		subject.Parts = x.suspectParts()
	}
	t.stage.balancer.Suspects.RecordEndOf(subject, suspect.NewEnd(uint32(balance.KeyOfTarget(target)), at, endFlags))
}

// endFlags returns the circumstances of the try for the evidence against its request, where the
// target has ended. Helpers of a request that runs alone have other requests.
func (t *try) endFlags(target barleystep.TargetID) (endFlags suspect.EndFlags) {
	if !t.begun {
		endFlags |= suspect.BeforeFirstEvent
	}
	if t.isolated && target == t.placement.Target.ID {
		endFlags |= suspect.RanAlone
	}
	return endFlags
}

// endedTargets returns the targets of a failed try that have terminated: they restarted, or their
// address refuses connections. A closed or reset connection, silence and a lost connection are not
// evidence. A refused connection is reported to other boxes.
func (t *try) endedTargets(ctx context.Context, candidates []fleet.Target) []fleet.Target {
	dialCtx, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(helperDialTimeout))
	defer cancel()
	ended := each(len(candidates), func(i int) bool {
		target := candidates[i]
		refused := t.stage.pool.ConnRefused(dialCtx, target.Addr)
		if refused {
			t.placement.NoteUnreachable(target.ID)
		}
		return refused || t.placement.HasRestarted(target.ID)
	})
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
