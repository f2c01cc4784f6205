package front

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// limitHistory tracks the time limits that the callers of each route usually set. A caller that
// retries after a refusal sets a shorter limit, and the difference is the time since its first
// attempt. The zero value is ready to use; it is safe for concurrent use.
type limitHistory struct {
	mu     mutex.Mutex
	routes map[string]*longestLimit
}

// longestLimit is the longest time limit of a route in the current and the previous period.
type longestLimit struct {
	periodStart time.Time
	current     time.Duration
	previous    time.Duration
}

const (
	// limitPeriod is the minimum time for which a limit is remembered. Callers of one route mostly
	// share a limit, which changes when their programs change.
	limitPeriod = 30 * time.Second
	// minSinceFirstTry is the shortest difference that counts as a retry; smaller ones come from
	// network delay or rounding.
	minSinceFirstTry = 50 * time.Millisecond
)

// sinceFirstTry records a request's time limit and returns the estimated time since its caller's
// first attempt, 0 if this is the first.
func (h *limitHistory) sinceFirstTry(now time.Time, route string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.routes == nil {
		h.routes = make(map[string]*longestLimit)
	}
	l, ok := h.routes[route]
	if !ok {
		l = &longestLimit{periodStart: now}
		h.routes[route] = l
	}
	if now.Sub(l.periodStart) > limitPeriod {
		l.periodStart, l.previous, l.current = now, l.current, 0
	}
	l.current = max(l.current, limit)
	if sinceFirstTry := max(l.current, l.previous) - limit; sinceFirstTry >= minSinceFirstTry {
		return sinceFirstTry
	}
	return 0
}

// firstTry returns the estimated time of the caller's first attempt.
func (h *limitHistory) firstTry(clk barleystep.Clock, x *Exchange) time.Time {
	return x.started.Add(-h.sinceFirstTry(clk.Now(), x.route.Name, x.call.TimeLimit))
}
