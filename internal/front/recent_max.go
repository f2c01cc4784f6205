package front

import "time"

// recentMax is the longest of the durations noted in the current and the previous period. The zero
// value is ready to use.
type recentMax struct {
	periodStart time.Time
	current     time.Duration
	previous    time.Duration
}

// recentPeriod is the minimum time for which a duration is remembered.
const recentPeriod = 30 * time.Second

// note records a duration.
func (m *recentMax) note(now time.Time, d time.Duration) {
	m.advance(now)
	m.current = max(m.current, d)
}

// value returns the longest recent duration, zero if there is none.
func (m *recentMax) value(now time.Time) time.Duration {
	m.advance(now)
	return max(m.current, m.previous)
}

// advance begins a new period if the current one is over.
func (m *recentMax) advance(now time.Time) {
	switch age := now.Sub(m.periodStart); {
	case age > 2*recentPeriod:
		m.periodStart, m.previous, m.current = now, 0, 0
	case age > recentPeriod:
		m.periodStart, m.previous, m.current = now, m.current, 0
	}
}
