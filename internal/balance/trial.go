package balance

import (
	"maps"
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
	// ended is how many targets had ended under it then.
	ended int
}

const (
	// trialSpan is for how long the target of a suspect gets nothing else: what ends a target
	// mostly does so while it reads the prompt, within some tenths of a second.
	trialSpan = 600 * time.Millisecond
	// trialLife is how long after a suspect was placed the next of its kind is, if nothing is
	// heard of what became of it: its box may be gone.
	trialLife = 3 * time.Second
	// trialPart is the part of the targets, as a divisor, that run suspects at the same time.
	trialPart = 6
)

// suspect reports whether the job is one that runs alone.
func (j Job) suspect() bool { return j.Suspect != (suspect.Digest{}) }

// endsTargets reports whether the job is known to end targets.
func (b *Balancer) endsTargets(j Job) bool {
	if !j.suspect() {
		return false
	}
	standing, _ := b.Suspects.Status(j.Suspect)
	return standing == suspect.Refused
}

// tryAlone places a suspect where nothing else is lost with it, or as little as can be: at the
// target with the fewest requests, which gets no others for a while. Of its kind one runs at a
// time over all boxes, as the lead places them; a box without one refuses it.
func (b *Balancer) tryAlone(j Job, candidates []fleet.Target) (p *Placement, h hold, err error) {
	tried := len(b.tried())
	switch {
	case !b.leads():
		return nil, holdTrial, ErrFull
	case b.endsTargets(j):
		return nil, holdTrial, ErrSuspectRefused
	case b.trialRuns(j), tried >= max((len(candidates)+tried)/trialPart, 1):
		return nil, holdTrial, nil
	}
	if giant(j) { // Its memory needs many engines.
		p, h = b.placeGiant(j, candidates)
	} else {
		p = b.placeAlone(j, candidates)
	}
	if p == nil {
		return nil, h, nil
	}
	known := b.Suspects.Evidence(j.Suspect)
	if b.trials == nil {
		b.trials = make(map[suspect.Digest]trial)
	}
	b.trials[j.Suspect] = trial{request: j.RequestID, target: p.Target.ID, since: b.Clock.Now(), ended: max(len(known.Ends()), j.EndedTargets)}
	return p, holdNone, nil
}

// placeAlone takes the target that has the fewest requests.
func (b *Balancer) placeAlone(j Job, candidates []fleet.Target) *Placement {
	best, least := 0, 0.0
	for i, t := range candidates {
		w := b.work(t.ID)
		if score := float64(w.Short+w.Long) + b.chance(); i == 0 || score < least {
			best, least = i, score
		}
	}
	t := candidates[best]
	switch {
	case j.Cost == nil:
		return plainPlacement(t)
	case IsLongPrompt(j):
		return b.placement(j, t, nil, 0, j.Cost.Prefill(j.PromptTokens)+j.Cost.Pass())
	default:
		return lightPlacement(j, t, j.Cost.Prefill(j.PromptTokens)+j.Cost.Pass())
	}
}

// open reports whether a request of the kind may still run: nothing has been learnt of it since
// it was placed.
func (b *Balancer) open(d suspect.Digest, t trial) bool {
	known := b.Suspects.Evidence(d)
	learnt := len(known.Ends()) > t.ended || known.LastSuccess().After(t.since)
	return !learnt && b.Clock.Now().Sub(t.since) < trialLife
}

// trialRuns reports whether another request of the kind may still run. One that asks again has
// come to no target, or has left it.
func (b *Balancer) trialRuns(j Job) bool {
	t, ok := b.trials[j.Suspect]
	return ok && t.request != j.RequestID && b.open(j.Suspect, t)
}

// tried returns the targets that get nothing besides the suspects which they were given a
// moment ago.
func (b *Balancer) tried() []barleystep.TargetID {
	now := b.Clock.Now()
	var list []barleystep.TargetID
	for d, t := range b.trials {
		if now.Sub(t.since) < trialSpan && b.open(d, t) {
			list = append(list, t.target)
		}
	}
	return list
}

// forgetTrials drops the trials that count no longer.
func (b *Balancer) forgetTrials() {
	now := b.Clock.Now()
	maps.DeleteFunc(b.trials, func(_ suspect.Digest, t trial) bool { return now.Sub(t.since) >= trialLife })
}
