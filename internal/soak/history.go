package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests: not idempotent, idempotent, a stream that may be resumed on another target
// and one that may not.
const (
	KindNonIdempotent   Kind = "once"
	KindIdempotent      Kind = "again"
	KindResumableStream Kind = "stream"
	KindPlainStream     Kind = "streamplain"
)

// Call is one request of a caller and the outcome that the caller observed.
type Call struct {
	ID          string
	Kind        Kind
	Box         string
	Incarnation int // Incarnation numbers the starts of the box's process, from 1.
	Key         string
	Path        string
	Body        string
	// DeadlyPart is set if the prompt has a part that crashes each target which begins to answer it.
	DeadlyPart bool
	// SlowBody is set if the body is sent in parts with pauses.
	SlowBody bool
	// Oversized is set if the prompt exceeds the KV cache of an engine.
	Oversized bool
	// TimeLimit is how long the caller waits.
	TimeLimit time.Duration
	Started   time.Time
	// Sent is when the last byte of the request was written to the connection, or zero if it was
	// not.
	Sent  time.Time
	Ended time.Time
	// Reused is set if the connection had carried a request before.
	Reused bool
	// ConnectFailed is set if no connection was established.
	ConnectFailed bool
	// TimedOut is set if the time limit passed before the answer was complete.
	TimedOut bool
	// Closes is set if the answer says that the connection is closed after it.
	Closes bool
	// Status is 0 if no response header arrived. Truncated is set if the body is incomplete.
	Status    int
	Header    http.Header
	Answer    string
	Truncated bool
}

// History records everything that callers and targets observed. It is safe for concurrent use.
type History struct {
	mu       mutex.Mutex
	calls    []Call
	arrivals []platformtest.Arrival
	// bodies holds one copy of each body of the calls and arrivals: there are few distinct ones,
	// and they are long.
	bodies map[string]string
	// killed holds the time at which each process of a box was first killed, and stopping that at
	// which it was first told to stop, by incarnationID.
	killed   map[string]time.Time
	stopping map[string]time.Time
	// started holds the time at which each process of a box was started.
	started map[string]time.Time
	// frozen holds the intervals in which each incarnation was frozen by SIGSTOP.
	frozen map[string][]interval
	// storeDown holds the intervals in which the store failed, overwritten those in which another
	// writer's record replaced that of a target, by the target's id.
	storeDown   []interval
	overwritten map[string][]interval
	// silenced holds the intervals in which the connections to each target were stalled, and
	// evacuated those in which each hall was evacuated in the store. halls maps targets to halls.
	silenced  map[string][]interval
	evacuated map[string][]interval
	halls     map[string]string
	// slots maps targets to their slots, and troubled holds the intervals of faults at each slot.
	slots    map[string]int
	troubled map[int][]interval
	// left holds when targets left the list, by their ids.
	left map[string]time.Time
	// cut holds the intervals in which each box had no links to targets.
	cut map[string][]interval
	// revoked holds the time at which each key was revoked in the store.
	revoked map[string]time.Time
	// accounts maps API keys to client accounts.
	accounts   map[string]string
	violations []string
}

// interval is a period of time. A zero end means that it has not ended.
type interval struct{ from, to time.Time }

// overlaps reports whether the interval has a moment in common with a closed one.
func (s interval) overlaps(from, to time.Time) bool {
	return !to.Before(s.from) && (s.to.IsZero() || !from.After(s.to))
}

// closeIntervals closes the open intervals of the list.
func closeIntervals(list []interval, at time.Time) {
	for i := range list {
		if list[i].to.IsZero() {
			list[i].to = at
		}
	}
}

// NewHistory returns an empty history. accounts maps API keys to client accounts.
func NewHistory(accounts map[string]string) *History {
	return &History{
		bodies:      make(map[string]string),
		killed:      make(map[string]time.Time),
		stopping:    make(map[string]time.Time),
		started:     make(map[string]time.Time),
		frozen:      make(map[string][]interval),
		overwritten: make(map[string][]interval),
		silenced:    make(map[string][]interval),
		evacuated:   make(map[string][]interval),
		halls:       make(map[string]string),
		slots:       make(map[string]int),
		troubled:    make(map[int][]interval),
		left:        make(map[string]time.Time),
		cut:         make(map[string][]interval),
		revoked:     make(map[string]time.Time),
		accounts:    accounts,
	}
}

// RecordCall records a call that has ended.
func (h *History) RecordCall(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.Body = h.internBody(c.Body)
	h.calls = append(h.calls, c)
}

// RecordArrival records a request that reached a target.
func (h *History) RecordArrival(a platformtest.Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Body = h.internBody(a.Body)
	h.arrivals = append(h.arrivals, a)
}

// internBody returns the stored copy of a body.
func (h *History) internBody(text string) string {
	kept, ok := h.bodies[text]
	if !ok {
		h.bodies[text] = text
		return text
	}
	return kept
}

// RecordKill records that an incarnation of a box was killed. The first kill counts.
func (h *History) RecordKill(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.killed[incarnationID(box, incarnation)]; !known {
		h.killed[incarnationID(box, incarnation)] = at
	}
}

// RecordStop records that an incarnation of a box was told to stop. The first time counts.
func (h *History) RecordStop(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.stopping[incarnationID(box, incarnation)]; !known {
		h.stopping[incarnationID(box, incarnation)] = at
	}
}

// RecordFreeze records that an incarnation of a box is frozen from now on.
func (h *History) RecordFreeze(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := incarnationID(box, incarnation)
	h.frozen[id] = append(h.frozen[id], interval{from: at})
}

// RecordThaw records that an incarnation of a box runs again.
func (h *History) RecordThaw(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.frozen[incarnationID(box, incarnation)], at)
}

// RecordStoreDown records that the store fails from now on.
func (h *History) RecordStoreDown(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeDown = append(h.storeDown, interval{from: at})
}

// RecordStoreUp records that the store is available again.
func (h *History) RecordStoreUp(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.storeDown, at)
}

// RecordOverwrite records that another writer's record has replaced that of a target.
func (h *History) RecordOverwrite(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overwritten[target] = append(h.overwritten[target], interval{from: at})
}

// RecordRestore records that the target is about to write its record again.
func (h *History) RecordRestore(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.overwritten[target], at)
}

// RecordTarget records the hall of a target.
func (h *History) RecordTarget(target, hall string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.halls[target] = hall
}

// RecordSlot records the slot of a target.
func (h *History) RecordSlot(target string, slot int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slots[target] = slot
}

// RecordTrouble records that there was a fault at the target of a slot.
func (h *History) RecordTrouble(slot int, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubled[slot] = append(h.troubled[slot], interval{from, to})
}

// isStopping reports whether an incarnation of a box was told to stop.
func (h *History) isStopping(box string, incarnation int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, stopping := h.stopping[incarnationID(box, incarnation)]
	return stopping
}

// RecordSilence records that the connections to a target are stalled from now on.
func (h *History) RecordSilence(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silenced[target] = append(h.silenced[target], interval{from: at})
}

// RecordSilenceEnd records the end of the earliest stall of a target's connections that has not
// ended.
func (h *History) RecordSilenceEnd(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.silenced[target]
	if i := slices.IndexFunc(list, func(s interval) bool { return s.to.IsZero() }); i >= 0 {
		list[i].to = at
	}
}

// RecordEvacuation records that the store holds the evacuation of a hall.
func (h *History) RecordEvacuation(hall string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuated[hall] = append(h.evacuated[hall], interval{from: at})
}

// RecordEvacuationEnd records that the evacuation of a hall is about to be removed from the store.
func (h *History) RecordEvacuationEnd(hall string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.evacuated[hall], at)
}

// RecordStart records that a box's process was started.
func (h *History) RecordStart(box string, incarnation int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started[incarnationID(box, incarnation)] = at
}

// RecordCut records that a box has lost its links to all targets.
func (h *History) RecordCut(box string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[box] = append(h.cut[box], interval{from: at})
}

// RecordCutEnd records that a box has its links again.
func (h *History) RecordCutEnd(box string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closeIntervals(h.cut[box], at)
}

// RecordRevocation records that a key has been revoked in the store.
func (h *History) RecordRevocation(key string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revoked[key] = at
}

// RecordFinding records a violation detected during the run.
func (h *History) RecordFinding(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func incarnationID(box string, incarnation int) string { return fmt.Sprintf("%s/%d", box, incarnation) }
