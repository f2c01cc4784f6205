package capacity

import "time"

// health is a circuit breaker for one target, driven by the progress of real answers: an engine that
// has stopped generating may still answer health checks.
type health struct {
	average        float64 // average is the smoothed ratio of measured to expected time; 0 before the first.
	failures       int     // failures counts consecutive attempts without a token.
	suspendedUntil time.Time
}

const (
	slowdownSmoothing = 0.1
	maxSlowdown       = 16.0
	suspendAfter      = 2
	minSuspension     = 2 * time.Second
	maxSuspension     = 60 * time.Second
	// maxOverdue is how long an answer may be overdue before the target counts as hung.
	maxOverdue = 10 * time.Second
)

// noteAnswer records an answer's first token, which ends a suspension.
func (h *health) noteAnswer(ratio float64) {
	h.failures = 0
	h.suspendedUntil = time.Time{}
	h.average = h.slowdown() + slowdownSmoothing*(min(max(ratio, 0), maxSlowdown)-h.slowdown())
}

// noteFailure records an attempt that got no token.
func (h *health) noteFailure(now time.Time) {
	h.failures++
	if h.failures >= suspendAfter {
		h.suspend(now)
	}
}

// noteOverdue suspends the target if an answer is overdue for too long.
func (h *health) noteOverdue(now time.Time, overdue time.Duration) {
	if overdue > maxOverdue {
		h.failures = max(h.failures, suspendAfter)
		h.suspend(now)
	}
}

// suspend stops new work for a backoff that doubles with each failure. After the backoff, the next
// attempt is the probe.
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
