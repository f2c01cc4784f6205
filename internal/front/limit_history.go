package front

import (
	"sync"
	"time"

	"github.com/barleystep/barleystep"
)

// habit knows for how long the callers of each route usually wait. A caller that comes
// back after a refusal has less time left, which tells when it first tried. Its zero
// value is ready for use; it is safe for concurrent use.
type limitHistory struct {
	mu     sync.Mutex
	routes map[string]*longestLimit
}

// longest is the longest time limit of a route in the current and the last period.
type longestLimit struct {
	since    time.Time
	current  time.Duration
	previous time.Duration
}

const (
	// habitPeriod is how long a time limit is remembered at least; callers of one route
	// mostly share one, which changes with their programs.
	limitPeriod = 30 * time.Second
	// leastAge is the shortest time since a first try that counts: less is the way of the
	// request, or a limit that was rounded.
	minSinceFirstTry = 50 * time.Millisecond
)

// age notes a request's time limit and returns how long ago its caller first tried, as
// far as the limit tells.
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
		l = &longestLimit{since: now}
		h.routes[route] = l
	}
	if now.Sub(l.since) > limitPeriod {
		l.since, l.previous, l.current = now, l.current, 0
	}
	l.current = max(l.current, limit)
	if sinceFirstTry := max(l.current, l.previous) - limit; sinceFirstTry >= minSinceFirstTry {
		return sinceFirstTry
	}
	return 0
}

// firstTry returns when the caller of the exchange first tried.
func (h *limitHistory) firstTry(clk barleystep.Clock, x *Exchange) time.Time {
	return x.started.Add(-h.sinceFirstTry(clk.Now(), x.route.Name, x.call.TimeLimit))
}
