package clock

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Manual is a clock that moves only when advanced. Its zero value stands at the zero time. It is
// safe for concurrent use.
type Manual struct {
	mu     mutex.Mutex
	now    time.Time
	timers map[*manualTimer]struct{}
}

// NewManual returns a clock that stands at the given time.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the clock's current time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d and fires the timers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.timers {
		m.fireIfDue(t)
	}
}

// NewTimer returns a timer that fires when Advance reaches its time.
func (m *Manual) NewTimer(d time.Duration) barleystep.Timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{clock: m, due: m.now.Add(d), c: make(chan time.Time, 1)}
	if m.timers == nil {
		m.timers = make(map[*manualTimer]struct{})
	}
	m.timers[t] = struct{}{}
	m.fireIfDue(t)
	return t
}

// PendingTimers returns the number of timers that have not fired.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}

func (m *Manual) fireIfDue(t *manualTimer) {
	if t.due.After(m.now) {
		return
	}
	delete(m.timers, t)
	t.c <- m.now
}

type manualTimer struct {
	clock *Manual
	due   time.Time
	c     chan time.Time
}

// C returns the channel on which the timer fires.
func (t *manualTimer) C() <-chan time.Time { return t.c }

// Stop removes the timer from the clock.
func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, waiting := t.clock.timers[t]
	delete(t.clock.timers, t)
	return waiting
}
