package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// A target's limit is kept over all boxes by having one of them, the lead, place all requests
// of a service with limited targets: what it places there it takes from a bucket that fills
// at the named rate. So nothing needs to be agreed, and callers' requests use up the limit
// whichever box they come to. A part of a long prompt counts as a request to the target that
// reads it, and so does each resend.
//
// In any window of w seconds, over all boxes that know a limit of l requests a second:
//
//   - The lead gives l*w and a full bucket, 1 + bucketSpan*l. One that takes over begins with
//     an empty bucket, so that leads that follow each other give no more than one.
//   - Where boxes are cut off from each other, each side has a lead, which gives the part of
//     l that its side is of all boxes: the parts add up to l, for as long as the boxes of the
//     other sides are remembered.
//   - A box whose lead does not answer may send strayPart of its equal share of l, in whole
//     requests in each limitWindow: all together strayPart*l*w at most.
//
// In four seconds that is 4.1*l + 1, and l from boxes without a lead; two leads at a time,
// for as long as it takes boxes to hear of each other, add l a second. Boxes that were not
// told, by the target or by others, send what their callers ask for: news take some tens of
// milliseconds, and a box that starts hears of limits with the first word of the others.

const (
	// bucketSpan is the time whose rate the lead saves up, besides one request: what waits is
	// placed at the news of the others, every 50 to 100 ms. Where callers ask for twice what
	// targets of twenty a second take, 0.92 of it is used with it and 0.80 without; with
	// limits of one a second it makes no difference.
	bucketBurst = 100 * time.Millisecond
	// limitWindow is the time over which targets count what they get.
	limitWindow = 4 * time.Second
	// strayPart is the part of a limit that boxes without a lead share.
	noLeadShare = 0.25
	// leastRate is the rate, in requests a second, at which targets are asked that take less,
	// or nothing: only an answer says that a limit is over.
	minRate = 0.1
)

// Role is a box's part among the boxes that it knows.
type Role struct {
	// Leads is set if the box decides for all that it reaches.
	IsLead bool
	// Boxes is how many boxes there are, with those that were silent for some time, and
	// Reached how many of them the box hears of; both count the box itself.
	Boxes     int
	Reachable int
}

// SetRole takes in the box's part among all boxes.
func (b *Balancer) SetRole(r Role) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.role = r
}

// leads reports whether the box places what others ask for; one without a lead does so for
// itself.
func (b *Balancer) isLead() bool { return b.Lead == nil || b.role.IsLead }

// allowance is what this box may send to a target that has named a limit.
type rateLimiter struct {
	// tokens are the requests that the lead may place, as of filled, which is zero while the
	// box does not lead.
	tokens     float64
	refilledAt time.Time
	// strays are when the box placed requests there without a lead, in the last limitWindow.
	sentWithoutLead []time.Time
}

// rate returns how many requests a second all boxes may send.
func allowedRate(l barleystep.RateLimit) float64 { return max(l.PerSecond(), minRate) }

// leadRate returns how many requests a second this box may place as the lead: its side's part
// of the limit.
func (b *Balancer) leadRate(l barleystep.RateLimit) float64 {
	if b.role.Boxes == 0 {
		return allowedRate(l)
	}
	return allowedRate(l) * min(float64(b.role.Reachable)/float64(b.role.Boxes), 1)
}

// strayRequests returns how many requests this box may place without a lead in each
// limitWindow.
func (b *Balancer) requestsWithoutLead(l barleystep.RateLimit) int {
	all := noLeadShare * allowedRate(l) * limitWindow.Seconds()
	return int(all / float64(max(b.role.Boxes, 1)))
}

// admits reports whether the target may get the job, by what it says that it takes. It has
// asked this box for rest, not the one that the job is placed for.
func (b *Balancer) accepts(j Job, s *targetState) bool {
	return (j.ForPeer || !s.isRestingOrProbing(b.Clock.Now())) && b.withinLimit(s)
}

// withinLimit reports whether the target may get one more request from this box.
func (b *Balancer) withinLimit(s *targetState) bool {
	if !s.limit().IsSet() {
		return true
	}
	now := b.Clock.Now()
	if b.isLead() {
		s.rateLimiter.refill(b.leadRate(s.limit()), now)
		return s.rateLimiter.tokens >= 1
	}
	s.rateLimiter.refilledAt = time.Time{}
	s.rateLimiter.expire(now)
	return len(s.rateLimiter.sentWithoutLead) < b.requestsWithoutLead(s.limit())
}

// fill adds what the rate has given since the last time.
func (a *rateLimiter) refill(rate float64, now time.Time) {
	if a.refilledAt.IsZero() {
		a.tokens, a.refilledAt = 0, now
	}
	most := 1 + rate*bucketBurst.Seconds()
	a.tokens = min(a.tokens+rate*now.Sub(a.refilledAt).Seconds(), most)
	a.refilledAt = now
}

// expire forgets the requests that count no longer.
func (a *rateLimiter) expire(now time.Time) {
	a.sentWithoutLead = slices.DeleteFunc(a.sentWithoutLead, func(at time.Time) bool { return now.Sub(at) >= limitWindow })
}

// spend takes a placement that was made here from what its targets take.
func (b *Balancer) chargeLimits(p *Placement) {
	for _, part := range p.parts {
		s := b.targetState(part.target)
		switch {
		case !s.limit().IsSet():
		case b.isLead():
			s.rateLimiter.tokens--
		default:
			s.rateLimiter.sentWithoutLead = append(s.rateLimiter.sentWithoutLead, b.Clock.Now())
		}
	}
}

// admitting returns those of the targets that may get the job, in the room of the list that is
// given.
func (b *Balancer) accepting(j Job, targets []fleet.Target) []fleet.Target {
	return slices.DeleteFunc(targets, func(t fleet.Target) bool { return !b.accepts(j, b.targetState(t.ID)) })
}

// limitDelay returns how long it takes until the limits of all targets of the job have room
// for it and for those that wait before it, and whether they ever have; where all of them rest,
// until the first of them has rested. It is a bound from below, as if each bucket were about to
// have room for the first of them.
func (b *Balancer) minLimitDelay(j Job) (delay time.Duration, ever bool) {
	perSecond := 0.0
	candidates := b.candidates(j)
	if rest := b.restRemaining(candidates); rest > 0 && !j.ForPeer {
		return rest, true
	}
	for _, t := range candidates {
		l := b.targetState(t.ID).limit()
		if b.isLead() {
			perSecond += b.leadRate(l)
		} else {
			perSecond += float64(b.requestsWithoutLead(l)) / limitWindow.Seconds()
		}
	}
	if perSecond == 0 {
		return 0, false
	}
	before := 0
	for _, w := range b.limitQueue {
		if !w.cancelled && w.job.Service == j.Service {
			before++
		}
	}
	return time.Duration(float64(before) / perSecond * float64(time.Second)), true
}
