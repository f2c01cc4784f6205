package capacity

import "time"

// health judges a target by the progress of real answers: a health check that
// answers says little of an engine that has stopped to generate.
type health struct {
	slow     float64 // slow is the smoothed ratio of measured to expected time.
	failures int     // failures counts attempts in a row that got no token.
	until    time.Time
}

const (
	slowLearning    = 0.1
	slowMost        = 16.0
	failuresAllowed = 2
	firstSuspension = 2 * time.Second
	lastSuspension  = 60 * time.Second
	// silenceAllowed is how long an answer may be overdue before the target
	// counts as hung.
	silenceAllowed = 10 * time.Second
)

// answered notes an answer's first token. It ends a suspension: the target
// does work.
func (h *health) answered(ratio float64) {
	h.failures = 0
	h.until = time.Time{}
	h.slow = h.slowness() + slowLearning*(min(max(ratio, 0), slowMost)-h.slowness())
}

// failed notes an attempt that got no token.
func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures >= failuresAllowed {
		h.suspend(now)
	}
}

// silent notes that an answer is overdue.
func (h *health) silent(now time.Time, overdue time.Duration) {
	if overdue > silenceAllowed {
		h.failures = max(h.failures, failuresAllowed)
		h.suspend(now)
	}
}

// suspend keeps work away for a time that doubles with each failure. When it
// has passed, the next attempt is the trial.
func (h *health) suspend(now time.Time) {
	if h.suspended(now) {
		return
	}
	d := firstSuspension << min(h.failures-failuresAllowed, 8)
	h.until = now.Add(min(d, lastSuspension))
}

func (h *health) suspended(now time.Time) bool { return now.Before(h.until) }

func (h *health) slowness() float64 {
	if h.slow == 0 {
		return 1
	}
	return h.slow
}
