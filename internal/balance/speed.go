package balance

import (
	"math"
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// speedDecay is the mean age of the observations that count. fastSpeedDecay is that of a slow
	// target, which gets few probes: old observations would hide its recovery for many seconds. It is
	// also that of a target whose ratio is at least changedFrom, as long as more than enoughExpected
	// remains: with old observations, a change by a factor of four shows after 3 s only.
	speedDecay     = 4 * time.Second
	fastSpeedDecay = 300 * time.Millisecond
	changedFrom    = 1.15
	enoughExpected = 400 * time.Millisecond
	// minRatio and maxRatio bound the ratio of one observation, and outlierRatio bounds it as a
	// multiple of the usual ratio. Ratios are heavy-tailed, since short prompts may wait for the
	// prefill of a long one. With slowFrom, a target is slow if most of its answers are late, not if
	// a few are very late: with maxRatio alone, one answer 18 times as late as expected was enough.
	minRatio     = 0.2
	maxRatio     = 20
	outlierRatio = 4
	// maxWeight bounds the expected time with which an observation counts, so that one prompt behind
	// a long queue does not outweigh many others.
	maxWeight = 100 * time.Millisecond
	// speedPrior is the expected time, at the usual ratio, that is added to the observations of a
	// target that is not slow: about six short prompts. slowSpeedPrior is that of a slow one.
	speedPrior     = 450 * time.Millisecond
	slowSpeedPrior = 30 * time.Millisecond
	// maxMeasuredBacklog is the prefill backlog above which observations are left out: the target is
	// prefilling long prompts, and by how much these delay a short one is not known.
	maxMeasuredBacklog = 100 * time.Millisecond
	// slowFrom is the slowness from which a target counts as slow and slowUntil the one below which
	// it no longer does. The median ratios of healthy targets differ by less than 1.5.
	slowFrom  = 1.8
	slowUntil = 1.5
	// slowProbeInterval is the time between two short prompts that a slow target gets whatever
	// its score: two or three of them at the usual speed end its slowness.
	slowProbeInterval = 300 * time.Millisecond
	// minEvidence is the expected time below which observations are dropped: gossip carries whole
	// milliseconds.
	minEvidence = time.Millisecond / 2
	// minFastPart is the part of the engines that must be left for long prompts without the slow
	// ones. With fewer, slow engines take their parts too.
	minFastPart = 0.5
)

// speed is what this box has observed of the speed of one incarnation of a target: decaying sums
// over short prompts.
type speed struct {
	// observed and expected are the times to the first event in seconds, as measured and as the cost
	// model predicts them. samples is their number.
	observed float64
	expected float64
	samples  float64
	at       time.Time
	// shared is what peers are told, normalised by the median ratio of this box.
	shared speedSums
	// usual is the median ratio of this box, zero if unknown.
	usual float64
	// isFast is set while old observations are dropped after fastSpeedDecay.
	isFast bool
	// prefillingAt is when the target was last known to prefill long prompts.
	prefillingAt time.Time
	// nextProbe is when the target may get a probe while it is slow.
	nextProbe time.Time
}

// speedSums are sums of observed and expected times to the first event.
type speedSums struct {
	observed time.Duration
	expected time.Duration
}

// add adds an observation.
func (s *speed) add(now time.Time, observed, expected time.Duration) {
	s.decay(now)
	ratio := min(max(observed.Seconds()/expected.Seconds(), minRatio), maxRatio)
	usual := 1.0
	if s.usual > 0 {
		usual = s.usual
	}
	weight := min(expected, maxWeight).Seconds()
	s.observed += min(ratio, outlierRatio*usual) * weight
	s.expected += weight
	s.samples++
}

// decay decays the sums to now.
func (s *speed) decay(now time.Time) {
	if s.expected > 0 {
		age := speedDecay
		if s.isFast {
			age = fastSpeedDecay
		}
		keep := math.Exp(-float64(now.Sub(s.at)) / float64(age))
		s.observed, s.expected, s.samples = s.observed*keep, s.expected*keep, s.samples*keep
		if s.expected < minEvidence.Seconds() {
			s.observed, s.expected, s.samples = 0, 0, 0
		}
	}
	s.at = now
}

// share sets what peers are told, in whole milliseconds as gossip carries it, so that this box can
// subtract it from a sum without a remainder.
func (s *speed) share(median float64) {
	s.usual = median
	s.shared = speedSums{
		observed: seconds(min(s.observed/median, outlierRatio*s.expected)).Round(time.Millisecond),
		expected: seconds(s.expected).Round(time.Millisecond),
	}
}

// seconds returns the duration of some seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// isSet reports whether there is any evidence. Where an older box passes on the sums of others but
// not these, the subtraction of this box's own leaves negative ones, which say nothing.
func (s speedSums) isSet() bool { return s.observed > 0 && s.expected > 0 }

// ratio returns the ratio of the sums, with a prior at the ratio 1 and for observations that are
// divided by the usual ratio of all targets.
func (s speedSums) ratio(usual float64, prior time.Duration) float64 {
	r := (s.observed.Seconds()/usual + prior.Seconds()) / (s.expected + prior).Seconds()
	return min(max(r, minRatio), maxRatio)
}

// noteSpeed adds the time to the first event of a short prompt to what is known of its target. An
// answer in no time measures nothing.
func (p *Placement) noteSpeed() {
	now := p.balancer.Clock.Now()
	observed, own := now.Sub(p.sent), p.parts[0]
	if p.prefilled || p.modelTTFT <= 0 || observed <= 0 || own.hasRestarted {
		return
	}
	if s := &own.state.speed; s.prefillingAt.Before(p.sent) {
		s.add(now, observed, p.modelTTFT)
	}
}

// modelTTFT returns the time to the first event of a short prompt that the cost model predicts,
// zero where it depends on long prompts or on when a slot becomes free. It leaves out the speed of the engine, which is measured
// against it.
func (b *Balancer) modelTTFT(j Job, t fleet.Target) time.Duration {
	w := b.totalWork(t.ID)
	if w.PendingPrefills > 0 || w.Backlog > maxMeasuredBacklog || (t.Slots > 0 && w.Short+w.Long >= t.Slots) {
		return 0
	}
	return w.Backlog + time.Duration(w.Short)*streamCost + j.Cost.Prefill(j.PromptTokens) + j.Cost.Pass()
}

// slowness returns the factor by which the target is slower than others, 1 unless it counts as slow.
// Smaller differences are not told from noise and must not change any choice.
func (b *Balancer) slowness(id barleystep.TargetID) float64 {
	if len(b.slow) == 0 {
		return 1
	}
	if factor, ok := b.slow[id]; ok {
		return factor
	}
	return 1
}

// isSlow reports whether the target is much slower than others.
func (b *Balancer) isSlow(id barleystep.TargetID) bool {
	_, ok := b.slow[id]
	return ok
}

// slowed returns the expected time to the first event of a prompt on these engines, of which the
// slowest decides.
func (b *Balancer) slowed(ttft time.Duration, first fleet.Target, helpers []fleet.Target) time.Duration {
	if len(b.slow) == 0 {
		return ttft
	}
	factor := b.slowness(first.ID)
	for _, t := range helpers {
		factor = max(factor, b.slowness(t.ID))
	}
	return time.Duration(factor * float64(ttft))
}

// withoutSlow returns the engines without the slow ones if enough are left for a long prompt.
func (b *Balancer) withoutSlow(j Job, engines []fleet.Target) []fleet.Target {
	if len(b.slow) == 0 {
		return engines
	}
	fast := make([]fleet.Target, 0, len(engines))
	for _, t := range engines {
		if !b.isSlow(t.ID) {
			fast = append(fast, t)
		}
	}
	isEnough := len(fast) > 0 && float64(len(fast)) >= minFastPart*float64(len(engines))
	if !isEnough || (isOversized(j) && !fitsEngines(j, len(fast))) {
		return engines
	}
	return fast
}

// dueProbe returns a slow engine with a free slot that is to get a short prompt now, whatever its
// score: only answers say that it is as fast as others again.
func (b *Balancer) dueProbe(j Job, engines []fleet.Target) (t fleet.Target, due bool) {
	if len(b.slow) == 0 {
		return fleet.Target{}, false
	}
	now := b.Clock.Now()
	for _, t := range engines {
		if !b.isSlow(t.ID) {
			continue
		}
		s, w := b.targetState(t.ID), b.totalWork(t.ID)
		hasSlot := t.Slots == 0 || w.Short+w.Long < t.Slots-j.reservedSlots
		if hasSlot && !now.Before(s.speed.nextProbe) {
			s.speed.nextProbe = now.Add(b.probeInterval())
			return t, true
		}
	}
	return fleet.Target{}, false
}

// probeInterval returns the time between two probes that this box sends to a slow target. The lead
// sends those of all boxes; without one, they share the probes.
func (b *Balancer) probeInterval() time.Duration {
	if b.role.IsLead {
		return slowProbeInterval
	}
	return slowProbeInterval * time.Duration(max(b.role.Boxes, 1))
}

// serviceSpeeds collects the speeds of the targets of one service.
type serviceSpeeds struct {
	ids    []barleystep.TargetID
	states []*targetState
}

// updateSpeeds decides anew which targets are slow, from the observations of all boxes. It runs at
// each gossip tick, so that choices only look up the result.
func (b *Balancer) updateSpeeds(now time.Time) {
	services := make(map[string]*serviceSpeeds)
	var ordered []*serviceSpeeds // Random draws come in the same order in each run of a simulation.
	for _, t := range b.Targets() {
		s, ok := b.states[t.ID]
		if !ok {
			continue
		}
		s.speed.decay(now)
		w := s.ownWork(now)
		w.add(b.peers.Work[s.key])
		if w.PendingPrefills > 0 || w.Backlog+w.LeadBacklog > maxMeasuredBacklog {
			s.speed.prefillingAt = now
		}
		if s.speed.expected == 0 && b.peers.Work[s.key].ExpectedTTFT <= 0 && !b.isSlow(t.ID) {
			s.speed.shared = speedSums{}
			continue
		}
		v := services[t.Service]
		if v == nil {
			v = &serviceSpeeds{}
			services[t.Service] = v
			ordered = append(ordered, v)
		}
		v.ids, v.states = append(v.ids, t.ID), append(v.states, s)
	}
	for _, v := range ordered {
		v.normalise()
		b.judgeSpeeds(v)
	}
}

// normalise sets what peers are told of the targets of a service: this box's observations, divided by
// the median of its own ratios. Otherwise a slow box, or a wrong cost model, would make the targets
// that it uses look slow. A box that has observed a single target can't tell which of the two is slow.
func (v *serviceSpeeds) normalise() {
	var ratios []float64
	for _, s := range v.states {
		if s.speed.expected > 0 {
			ratios = append(ratios, s.speed.observed/s.speed.expected)
		}
	}
	if len(ratios) < minCompared {
		for _, s := range v.states {
			s.speed.shared = speedSums{}
		}
		return
	}
	median := lowerMedian(ratios)
	for _, s := range v.states {
		s.speed.share(median)
	}
}

// minCompared is the least number of targets with observations for which these are compared.
const minCompared = 2

// lowerMedian returns the median of a non-empty list, of an even number the lower of the two in the
// middle: of two targets, the slower one is slow.
func lowerMedian(list []float64) float64 {
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// judgeSpeeds decides which targets of a service are slow.
func (b *Balancer) judgeSpeeds(v *serviceSpeeds) {
	totals := make([]speedSums, len(v.states))
	var ratios []float64
	for i, s := range v.states {
		totals[i] = s.speed.shared
		if w := b.peers.Work[s.key]; w.ObservedTTFT > 0 && w.ExpectedTTFT > 0 {
			totals[i].observed += w.ObservedTTFT
			totals[i].expected += w.ExpectedTTFT
		}
		if totals[i].isSet() {
			ratios = append(ratios, totals[i].observed.Seconds()/totals[i].expected.Seconds())
		}
	}
	usual := 1.0
	if len(ratios) > 0 {
		usual = max(usual, lowerMedian(ratios)) // Some late answers raise the means of all above the medians.
	}
	for i, s := range v.states {
		b.judgeSpeed(v.ids[i], s, totals[i], usual)
	}
}

// judgeSpeed decides whether a target is slow by the sums of all boxes.
func (b *Balancer) judgeSpeed(id barleystep.TargetID, s *targetState, total speedSums, usual float64) {
	was, prior, threshold := b.isSlow(id), speedPrior, slowFrom
	if was {
		prior, threshold = slowSpeedPrior, slowUntil
	}
	factor := 1.0
	if total.isSet() {
		factor = total.ratio(usual, prior)
	}
	switch {
	case factor >= threshold:
		if b.slow == nil {
			b.slow = make(map[barleystep.TargetID]float64)
		}
		b.slow[id] = max(factor, total.ratio(usual, 0)) // The prior is for the decision only.
	case was:
		delete(b.slow, id)
	}
	is := b.isSlow(id)
	s.speed.isFast = is || (factor >= changedFrom && total.expected > enoughExpected)
	if was == is {
		return
	}
	if is { // Boxes without a lead do not all send their first probe at once.
		s.speed.nextProbe = b.Clock.Now().Add(time.Duration(b.randFloat() * float64(b.probeInterval())))
	}
	b.logSpeed(id, s, total, factor)
}

// logSpeed logs that a target has become slow or is no longer.
func (b *Balancer) logSpeed(id barleystep.TargetID, s *targetState, total speedSums, factor float64) {
	if b.Log == nil {
		return
	}
	e, text := b.Log.Warn(), "A target is much slower than others. It gets little more than probes while others can take the work."
	if !b.isSlow(id) {
		e, text = b.Log.Info(), "A target is about as fast as others again."
	}
	e.Str("target", string(id)).Float64("factor", factor).Int("samples", int(math.Round(s.speed.samples))).
		Bool("told_here", 2*s.speed.shared.expected > total.expected).Dur("expected_total", total.expected).
		Msg(logPrefix + text)
}

// forgetSpeed drops the slowness of a target whose incarnation is over.
func (b *Balancer) forgetSpeed(id barleystep.TargetID) { delete(b.slow, id) }
