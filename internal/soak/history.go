package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// Kind is a kind of request.
type Kind string

// The kinds: what must run once, what may run again, a stream that may be taken up at
// another target and one that may not.
const (
	KindNonIdempotent   Kind = "once"
	KindIdempotent      Kind = "again"
	KindResumableStream Kind = "stream"
	KindPlainStream     Kind = "streamplain"
)

// Call is one request of a caller, and what it got.
type Call struct {
	ID          string
	Kind        Kind
	Box         string
	Incarnation int // Life counts the starts of the box's process.
	Key         string
	Path        string
	Body        string
	// Limit is how long the caller waits.
	TimeLimit time.Duration
	Started   time.Time
	// Sent is when the last byte of the request was given to the connection, zero if it
	// was not.
	Sent  time.Time
	Ended time.Time
	// Reused is set if the connection had served a request before.
	Reused bool
	// Unsent is set if no connection could be had.
	ConnectFailed bool
	// GaveUp is set if the caller stopped waiting.
	TimedOut bool
	// Status is 0 if no head came, and Broken is set if the body did not come whole.
	Status    int
	Header    http.Header
	Answer    string
	Truncated bool
}

// History is all that callers and targets saw. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	calls    []Call
	arrivals []platformtest.Arrival
	// bodies has each body of the calls and arrivals once: they are few, and long.
	bodies map[string]string
	// killed lists when processes of boxes were first killed, by box and life, and
	// stopping when they were first told to stop.
	killed   map[string]time.Time
	stopping map[string]time.Time
	// frozen lists when lives stood still.
	frozen map[string][]interval
	// away lists when the store failed, and overwritten when another writer's entry stood
	// in place of a target's.
	storeDown   []interval
	overwritten map[string][]interval
	// revoked is when the store had taken each key away.
	revoked map[string]time.Time
	// tenants are the client accounts by their keys.
	accounts   map[string]string
	violations []string
}

// span is a stretch of time, whose end is zero while it lasts.
type interval struct{ from, to time.Time }

// meets reports whether the span and one that has ended have a moment in common.
func (s interval) overlaps(from, to time.Time) bool {
	return !to.Before(s.from) && (s.to.IsZero() || !from.After(s.to))
}

// end ends the spans that last.
func closeIntervals(list []interval, at time.Time) {
	for i := range list {
		if list[i].to.IsZero() {
			list[i].to = at
		}
	}
}

// NewHistory returns an empty history.
func NewHistory(accounts map[string]string) *History {
	return &History{
		bodies:      make(map[string]string),
		killed:      make(map[string]time.Time),
		stopping:    make(map[string]time.Time),
		frozen:      make(map[string][]interval),
		overwritten: make(map[string][]interval),
		revoked:     make(map[string]time.Time),
		accounts:    accounts,
	}
}

// Called notes a call that has ended.
func (h *History) RecordCall(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.Body = h.internBody(c.Body)
	h.calls = append(h.calls, c)
}

// Arrived notes what reached a target.
func (h *History) RecordArrival(a platformtest.Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Body = h.internBody(a.Body)
	h.arrivals = append(h.arrivals, a)
}

// body returns the copy that is kept of a body.
func (h *History) internBody(text string) string {
	kept, ok := h.bodies[text]
	if !ok {
		h.bodies[text] = text
		return text
	}
	return kept
}

// Killed notes that a life of a box was killed.
func (h *History) RecordKill(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.killed[incarnationID(box, incarnation)]; !known {
		h.killed[incarnationID(box, incarnation)] = at
	}
}

// Stopping notes that a life of a box was told to stop.
func (h *History) RecordStop(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.stopping[incarnationID(box, incarnation)]; !known {
		h.stopping[incarnationID(box, incarnation)] = at
	}
}

// Frozen notes that a life of a box stands still from now on.
func (h *History) RecordFreeze(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := incarnationID(box, incarnation)
	h.frozen[id] = append(h.frozen[id], interval{from: at})
}

// Thawed notes that a life of a box goes on.
func (h *History) RecordThaw(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.frozen[incarnationID(box, incarnation)], at)
}

// StoreAway notes that the store fails from now on, and StoreBack that it serves again.
func (h *History) RecordStoreDown(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeDown = append(h.storeDown, interval{from: at})
}

// StoreBack notes that the store serves again.
func (h *History) RecordStoreUp(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.storeDown, at)
}

// Overwritten notes that the store has another writer's entry in place of a target's.
func (h *History) RecordOverwrite(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overwritten[target] = append(h.overwritten[target], interval{from: at})
}

// Healed notes that the target is about to write its entry again.
func (h *History) RecordRestore(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.overwritten[target], at)
}

// Revoked notes that the store has taken a key away.
func (h *History) RecordRevocation(key string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revoked[key] = at
}

// Find notes something wrong that was found while the run went on.
func (h *History) RecordFinding(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func incarnationID(box string, incarnation int) string { return fmt.Sprintf("%s/%d", box, incarnation) }
