package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// A target has a limit if it states one, or while it is cold. The limit holds over all boxes because
// one of them, the lead, places all requests of a service with limited targets: what it places is
// taken from a token bucket that fills at the limit's rate. Boxes need no agreement, and callers use
// up the limit whichever box they reach. A part of a long prompt counts as a request to the target
// that prefills it, and so does each retry.
//
// In any window of w seconds, over all boxes that know a limit of l requests a second:
//
//   - The lead sends at most l*w and a full bucket, 1 + bucketBurst*l. One that takes over starts
//     with an empty bucket, so that successive leads send no more than one would.
//   - In a network partition each side has a lead, which sends its side's share of l by number of
//     boxes: the shares add up to l for as long as the boxes of the other sides are remembered.
//   - A box whose lead does not answer may send noLeadShare of its equal share of l, in whole
//     requests per limitWindow: all together at most noLeadShare*l*w.
//
// In four seconds that is 4.1*l + 1, and l from boxes without a lead. Two leads at a time, until
// boxes have heard of each other, add l a second. Boxes that have heard of no limit, from the
// target or from peers, send what their callers ask for: news takes some tens of milliseconds, and
// a box that starts hears of limits in the first message of the others.
//
// A cold target is one by its record, so that a box that starts knows of it before it serves. It
// may fall over within a second of too many requests: the requests of boxes without a lead count
// in that window, and all boxes together send at most 1.35*l + 1 in it.

const (
	// bucketBurst is the burst that the lead saves up besides one request, as a time at the limit's
	// rate: queued jobs are placed on news from peers, every 50 to 100 ms. Where callers ask for
	// twice the limit of targets that take 20 requests a second, 0.92 of the limit is used with
	// this burst and 0.80 without; at one request a second it makes no difference.
	bucketBurst = 100 * time.Millisecond
	// limitWindow is the window over which targets that state a limit count their requests, and
	// coldWindow that of cold targets.
	limitWindow = 4 * time.Second
	coldWindow  = time.Second
	// noLeadShare is the part of a limit that boxes without a lead share.
	noLeadShare = 0.25
	// minRate is the rate, in requests a second, at which targets with a lower limit, or a limit of
	// zero, are still asked: only an answer says that a limit is over.
	minRate = 0.1
)

// Role is a box's role among the boxes that it knows.
type Role struct {
	// IsLead is set if the box decides for all that it reaches.
	IsLead bool
	// Boxes is the number of boxes, including those that have been silent for some time, and
	// Reachable the number that the box hears from; both count the box itself.
	Boxes     int
	Reachable int
}

// SetRole sets the box's role among all boxes.
func (b *Balancer) SetRole(r Role) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.IsLead && !b.role.IsLead {
		b.resetReturns()
	}
	b.role = r
}

// isLead reports whether the box places jobs for its peers; a box without a Lead does so for
// itself.
func (b *Balancer) isLead() bool { return b.Lead == nil || b.role.IsLead }

// rateLimiter tracks what this box may send to a target that has named a limit.
type rateLimiter struct {
	// tokens is the number of requests that the lead may place, as of refilledAt, which is zero
	// while the box is not the lead.
	tokens     float64
	refilledAt time.Time
	// sentWithoutLead holds when the box placed requests there without a lead, within limitWindow.
	sentWithoutLead []time.Time
}

// requestLimit is the limit of a target for a job, and the window over which it holds.
type requestLimit struct {
	barleystep.RateLimit
	window time.Duration
}

// limitFor returns the limit of a target for the job: the lower of what it states and of what it
// accepts while it is cold.
func (b *Balancer) limitFor(j Job, s *targetState) requestLimit {
	stated := requestLimit{s.statement.Limit.Value, limitWindow}
	cold := requestLimit{j.ColdLimit, coldWindow}
	switch {
	case !cold.IsSet() || !b.Clock.Now().Before(s.coldUntil):
		return stated
	case stated.IsSet() && stated.PerSecond() < cold.PerSecond():
		return stated
	default:
		return cold
	}
}

// allowedRate returns the requests a second that all boxes together may send.
func allowedRate(l requestLimit) float64 { return max(l.PerSecond(), minRate) }

// leadRate returns the requests a second that this box may place as the lead: its partition's share
// of the limit.
func (b *Balancer) leadRate(l requestLimit) float64 {
	if b.role.Boxes == 0 {
		return allowedRate(l)
	}
	return allowedRate(l) * min(float64(b.role.Reachable)/float64(b.role.Boxes), 1)
}

// requestsWithoutLead returns the requests that this box may place without a lead in each window of
// the limit.
func (b *Balancer) requestsWithoutLead(l requestLimit) int {
	all := noLeadShare * allowedRate(l) * l.window.Seconds()
	return int(all / float64(max(b.role.Boxes, 1)))
}

// accepts reports whether the target may get the job by its own statement. Its rest was asked of
// this box, and so does not apply to a job placed for a peer.
func (b *Balancer) accepts(j Job, s *targetState) bool {
	return (j.ForPeer || !s.isRestingOrProbing(b.Clock.Now())) && b.withinLimit(j, s)
}

// withinLimit reports whether the target may get one more request from this box.
func (b *Balancer) withinLimit(j Job, s *targetState) bool {
	limit := b.limitFor(j, s)
	if !limit.IsSet() {
		return true
	}
	now := b.Clock.Now()
	if b.isLead() {
		s.rateLimiter.refill(b.leadRate(limit), now)
		return s.rateLimiter.tokens >= 1
	}
	s.rateLimiter.refilledAt = time.Time{}
	s.rateLimiter.dropExpired(now)
	return s.rateLimiter.sentWithin(limit.window, now) < b.requestsWithoutLead(limit)
}

// refill adds the tokens earned since the last refill.
func (a *rateLimiter) refill(rate float64, now time.Time) {
	if a.refilledAt.IsZero() {
		a.tokens, a.refilledAt = 0, now
	}
	most := 1 + rate*bucketBurst.Seconds()
	a.tokens = min(a.tokens+rate*now.Sub(a.refilledAt).Seconds(), most)
	a.refilledAt = now
}

// dropExpired drops the requests that have left the window.
func (a *rateLimiter) dropExpired(now time.Time) {
	a.sentWithoutLead = slices.DeleteFunc(a.sentWithoutLead, func(at time.Time) bool { return now.Sub(at) >= limitWindow })
}

// sentWithin returns how many requests the box placed there without a lead in the window, which is
// at most limitWindow.
func (a *rateLimiter) sentWithin(window time.Duration, now time.Time) (sent int) {
	for _, at := range a.sentWithoutLead {
		if now.Sub(at) < window {
			sent++
		}
	}
	return sent
}

// chargeLimits charges a placement that was made here to the limits of its targets.
func (b *Balancer) chargeLimits(j Job, p *Placement) {
	for _, part := range p.parts {
		s := b.targetState(part.target)
		switch {
		case !b.limitFor(j, s).IsSet():
		case b.isLead():
			s.rateLimiter.tokens--
		default:
			s.rateLimiter.sentWithoutLead = append(s.rateLimiter.sentWithoutLead, b.Clock.Now())
		}
	}
}

// accepting filters the targets, in place, to those that may get the job.
func (b *Balancer) accepting(j Job, targets []fleet.Target) []fleet.Target {
	return slices.DeleteFunc(targets, func(t fleet.Target) bool { return !b.accepts(j, b.targetState(t.ID)) })
}

// minLimitDelay returns a lower bound on the delay until the limits of the job's targets have room
// for it and for those queued before it, and whether that is possible at all. If all targets rest,
// it is the time until the first of them has rested. The bound assumes that each bucket is about to
// have room for its first job.
func (b *Balancer) minLimitDelay(j Job) (delay time.Duration, possible bool) {
	perSecond := 0.0
	candidates := b.candidates(j)
	if rest := b.restRemaining(candidates); rest > 0 && !j.ForPeer {
		return rest, true
	}
	for _, t := range candidates {
		l := b.limitFor(j, b.targetState(t.ID))
		if b.isLead() {
			perSecond += b.leadRate(l)
		} else {
			perSecond += float64(b.requestsWithoutLead(l)) / l.window.Seconds()
		}
	}
	if perSecond == 0 {
		return 0, false
	}
	ahead := 0
	for _, w := range b.limitQueue {
		if !w.cancelled && w.job.Service == j.Service {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}
