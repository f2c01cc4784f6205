package clock

import (
	"sync/atomic"
	"time"

	"github.com/barleystep/barleystep/internal/mutex"
)

// minAlarm is the shortest timer that is reset on waking; a shorter one is late by at most its own
// length.
const minAlarm = 250 * time.Millisecond

// alarms are the timers of this process that are reset on waking.
var alarms alarmSet

// alarmSet holds the timers that have neither fired nor been stopped.
type alarmSet struct {
	watchers atomic.Int32
	mu       mutex.Mutex
	set      map[*alarm]struct{}
}

// isWatched reports whether a Watcher resets the timers on waking.
func (s *alarmSet) isWatched() bool { return s.watchers.Load() > 0 }

// start starts a timer. The lock is held because the timer may fire before it is in the set.
func (s *alarmSet) start(a *alarm, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		s.set = make(map[*alarm]struct{})
	}
	s.set[a] = struct{}{}
	a.timer = time.AfterFunc(d, a.fire)
}

// remove removes a timer; it reports false if it was not in the set.
func (s *alarmSet) remove(a *alarm) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.set[a]
	delete(s.set, a)
	return ok
}

// wake resets all timers by the time that is left until they are due.
func (s *alarmSet) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := System{}.Now()
	for a := range s.set {
		a.timer.Reset(a.due.Sub(now))
	}
}

// alarm is a timer that counts suspensions.
type alarm struct {
	due   time.Time
	c     chan time.Time
	timer *time.Timer
}

func newAlarm(d time.Duration) *alarm {
	a := &alarm{due: System{}.Now().Add(d), c: make(chan time.Time, 1)}
	alarms.start(a, d)
	return a
}

// fire sends on the channel, once.
func (a *alarm) fire() {
	if alarms.remove(a) {
		a.c <- System{}.Now()
	}
}

// C returns the channel on which the timer fires.
func (a *alarm) C() <-chan time.Time { return a.c }

// Stop keeps the timer from firing.
func (a *alarm) Stop() bool {
	a.timer.Stop()
	return alarms.remove(a)
}
