package capacity

import "time"

// health judges a target by the progress of real answers: a health check that
// answers says little of an engine that has stopped to generate.
type health struct {
	average        float64 // slow is the smoothed ratio of measured to expected time.
	failures       int     // failures counts attempts in a row that got no token.
	suspendedUntil time.Time
}

const (
	slowdownSmoothing = 0.1
	maxSlowdown       = 16.0
	suspendAfter      = 2
	minSuspension     = 2 * time.Second
	maxSuspension     = 60 * time.Second
	// silenceAllowed is how long an answer may be overdue before the target
	// counts as hung.
	maxOverdue = 10 * time.Second
)

// answered notes an answer's first token. It ends a suspension: the target
// does work.
func (h *health) noteAnswer(ratio float64) {
	h.failures = 0
	h.suspendedUntil = time.Time{}
	h.average = h.slowdown() + slowdownSmoothing*(min(max(ratio, 0), maxSlowdown)-h.slowdown())
}

// failed notes an attempt that got no token.
func (h *health) noteFailure(now time.Time) {
	h.failures++
	if h.failures >= suspendAfter {
		h.suspend(now)
	}
}

// silent notes that an answer is overdue.
func (h *health) noteOverdue(now time.Time, overdue time.Duration) {
	if overdue > maxOverdue {
		h.failures = max(h.failures, suspendAfter)
		h.suspend(now)
	}
}

// suspend keeps work away for a time that doubles with each failure. When it
// has passed, the next attempt is the trial.
func (h *health) suspend(now time.Time) {
	if h.isSuspended(now) {
		return
	}
	d := minSuspension << min(h.failures-suspendAfter, 8)
	h.suspendedUntil = now.Add(min(d, maxSuspension))
}

func (h *health) isSuspended(now time.Time) bool { return now.Before(h.suspendedUntil) }

func (h *health) slowdown() float64 {
	if h.average == 0 {
		return 1
	}
	return h.average
}
