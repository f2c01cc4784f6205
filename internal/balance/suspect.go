package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/suspect"
)

// trial is the last run of a suspect that was placed here.
type trial struct {
	request string
	target  barleystep.TargetID
	since   time.Time
	// ended is how many targets had ended under it when it was placed.
	ended int
}

const (
	// trialExclusiveTime is how long the target of a suspect gets nothing else: a request that ends
	// its target mostly does so during the prefill, within some tenths of a second.
	trialExclusiveTime = 600 * time.Millisecond
	// trialTimeout is how long after a suspect was placed the same request may be placed again if
	// no outcome is known: its box may be gone.
	trialTimeout = 3 * time.Second
	// trialTargetsDivisor is the divisor for the part of the targets that run suspects at the same
	// time.
	trialTargetsDivisor = 6
)

// isSuspect reports whether the job must run alone.
func (j Job) isSuspect() bool { return j.Suspect != (suspect.Digest{}) }

// isRefused reports whether the job is known to end targets.
func (b *Balancer) isRefused(j Job) bool {
	if !j.isSuspect() {
		return false
	}
	subject := suspect.Subject{Account: suspect.AccountKey(j.Account), Request: j.Suspect}
	return b.Suspects.Assess(subject).Status == suspect.Refused
}

// placeSuspect places a suspect where as little as possible is lost with it: at the target with the
// fewest requests, which gets no others for a while. One run of each suspect is in progress at a
// time over all boxes, since the lead places them; a box without a lead refuses it.
func (b *Balancer) placeSuspect(j Job, candidates []fleet.Target) (p *Placement, h holdReason, err error) {
	trialTargets := len(b.trialTargets())
	switch {
	case !b.isLead():
		return nil, holdSuspect, ErrFull
	case b.isRefused(j):
		return nil, holdSuspect, ErrSuspectRefused
	case b.hasTrialRunning(j), trialTargets >= max((len(candidates)+trialTargets)/trialTargetsDivisor, 1):
		return nil, holdSuspect, nil
	}
	if isOversized(j) { // Its KV cache needs many engines.
		b.timelines = nil // Planned prompts give way to the trial.
		p, h = b.placeLongNow(j, candidates)
	} else {
		p = b.placeLeastBusy(j, candidates)
	}
	if p == nil {
		return nil, h, nil
	}
	evidence := b.Suspects.Evidence(j.Suspect)
	if b.trials == nil {
		b.trials = make(map[suspect.Digest]trial)
	}
	b.trials[j.Suspect] = trial{request: j.RequestID, target: p.Target.ID, since: b.Clock.Now(), ended: max(len(evidence.Ends()), j.EndedTargets)}
	return p, holdNone, nil
}

// releaseCleared ends the wait of queued suspects that have been cleared. One trial clears a part of
// many prompts, which need no trials of their own.
func (b *Balancer) releaseCleared() {
	b.trialQueue = slices.DeleteFunc(b.trialQueue, func(w *QueuedJob) bool {
		if w.cancelled {
			return true
		}
		if status, _ := b.Suspects.Status(w.job.Suspect); status != suspect.Allowed {
			return false
		}
		w.fail(ErrSuspectCleared)
		return true
	})
}

// placeLeastBusy takes the target with the fewest requests.
func (b *Balancer) placeLeastBusy(j Job, candidates []fleet.Target) *Placement {
	best, least := 0, 0.0
	for i, t := range candidates {
		w := b.totalWork(t.ID)
		if score := float64(w.Short+w.Long) + b.randFloat(); i == 0 || score < least {
			best, least = i, score
		}
	}
	t := candidates[best]
	switch {
	case j.Cost == nil:
		return plainPlacement(t)
	case IsLongPrompt(j):
		return b.longPlacement(j, t, nil, 0, j.Cost.Prefill(j.PromptTokens)+j.Cost.Pass())
	default:
		return b.shortPlacement(j, t, j.Cost.Prefill(j.PromptTokens)+j.Cost.Pass())
	}
}

// isOpen reports whether the trial may still run: no outcome has become known since it was placed.
func (b *Balancer) isOpen(d suspect.Digest, t trial) bool {
	evidence := b.Suspects.Evidence(d)
	hasOutcome := len(evidence.Ends()) > t.ended || evidence.LastSuccess().After(t.since)
	return !hasOutcome && b.Clock.Now().Sub(t.since) < trialTimeout
}

// hasTrialRunning reports whether another run of the suspect may be in progress. A request that
// asks again has reached no target, or has left it.
func (b *Balancer) hasTrialRunning(j Job) bool {
	t, ok := b.trials[j.Suspect]
	return ok && t.request != j.RequestID && b.isOpen(j.Suspect, t)
}

// trialTargets returns the targets that currently get nothing besides the suspects that they were
// given.
func (b *Balancer) trialTargets() []barleystep.TargetID {
	now := b.Clock.Now()
	var list []barleystep.TargetID
	for d, t := range b.trials {
		if now.Sub(t.since) < trialExclusiveTime && b.isOpen(d, t) {
			list = append(list, t.target)
		}
	}
	return list
}

// pruneTrials drops the trials that have timed out.
func (b *Balancer) pruneTrials() {
	now := b.Clock.Now()
	maps.DeleteFunc(b.trials, func(_ suspect.Digest, t trial) bool { return now.Sub(t.since) >= trialTimeout })
}
