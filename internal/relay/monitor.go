// Package relay connects a box that does not reach targets itself to them through other boxes.
package relay

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

const logPrefix = "relay: "

// Monitor judges whether this box reaches targets itself. A target that this box does not reach and
// other boxes do not either says nothing about the box; several targets that only this box does not
// reach do. Its exported fields are set before use; it is safe for concurrent use.
type Monitor struct {
	Clock barleystep.Clock
	Log   *log.Logger
	// OnCutOff is called when this box has found that it reaches no target itself. It may be nil.
	OnCutOff func()

	mu mutex.Mutex
	// failures holds when connecting directly to an address last failed. A direct connection to any
	// address clears it. relayed holds when another box last connected to an address.
	failures map[string]time.Time
	relayed  map[string]time.Time
	// successes counts the direct connections since the last failed one while cut off.
	successes   int
	cutOffSince time.Time
	// cutOff is set while this box reaches no target itself; active while it is, or while there are
	// entries in relayed.
	cutOff atomic.Bool
	active atomic.Bool
	// doubt receives a value when this box begins to be in doubt.
	doubt chan struct{}
}

const (
	// evidenceTime is how long a failed direct connection, or one through another box, counts.
	evidenceTime = 2 * time.Second
	// minTargets is how many targets must be reached by other boxes only until this box counts as
	// cut off.
	minTargets = 2
	// minSuccesses is how many direct connections must be made in a row until it no longer does.
	minSuccesses = 2
)

// Connected records that this box has connected to the address directly.
func (m *Monitor) Connected(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.relayed, addr)
	clear(m.failures)
	m.successes++
	if m.cutOff.Load() && m.successes >= minSuccesses {
		m.cutOff.Store(false)
		clear(m.relayed)
		m.Log.Info().Dur("lasted", m.Clock.Now().Sub(m.cutOffSince)).
			Msg(logPrefix + "This box reaches targets itself again.")
	}
	m.updateActive()
}

// Failed records that this box could not connect to the address directly.
func (m *Monitor) Failed(addr string) {
	m.mu.Lock()
	if m.failures == nil {
		m.failures = make(map[string]time.Time)
	}
	m.failures[addr] = m.Clock.Now()
	m.successes = 0
	if len(m.failures) == minTargets {
		select {
		case m.doubtChannel() <- struct{}{}:
		default:
		}
	}
	m.judge()
}

// Relayed records that another box has connected to the address for this one.
func (m *Monitor) Relayed(addr string) {
	m.mu.Lock()
	if m.relayed == nil {
		m.relayed = make(map[string]time.Time)
	}
	m.relayed[addr] = m.Clock.Now()
	m.judge()
}

// judge decides whether this box is cut off. It releases the lock.
func (m *Monitor) judge() {
	now := m.Clock.Now()
	prune(m.failures, now)
	prune(m.relayed, now)
	m.updateActive()
	targets := 0
	for addr := range m.failures {
		if _, ok := m.relayed[addr]; ok {
			targets++
		}
	}
	found := !m.cutOff.Load() && targets >= minTargets
	if found {
		m.cutOff.Store(true)
		m.cutOffSince = now
		m.updateActive()
	}
	m.mu.Unlock()
	if !found {
		return
	}
	m.Log.Warn().Int("targets", targets).Dur("within", evidenceTime).
		Msg(logPrefix + "Other boxes reach targets that this one does not. It connects through them.")
	if m.OnCutOff != nil {
		m.OnCutOff()
	}
}

func (m *Monitor) updateActive() { m.active.Store(m.cutOff.Load() || len(m.relayed) > 0) }

// prune drops the entries that no longer count.
func prune(times map[string]time.Time, now time.Time) {
	for addr, at := range times {
		if now.Sub(at) > evidenceTime {
			delete(times, addr)
		}
	}
}

// IsCutOff reports whether this box reaches no target itself while others do.
func (m *Monitor) IsCutOff() bool { return m.cutOff.Load() }

// IsDoubtful reports whether this box may be cut off: it is, or no direct connection has been made
// since those to several targets failed. Its word on whether a target can be reached then counts
// for nothing.
func (m *Monitor) IsDoubtful() bool {
	if m.cutOff.Load() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	prune(m.failures, m.Clock.Now())
	return len(m.failures) >= minTargets
}

// Doubt returns the channel that receives a value when this box begins to be in doubt.
func (m *Monitor) Doubt() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.doubtChannel()
}

func (m *Monitor) doubtChannel() chan struct{} {
	if m.doubt == nil {
		m.doubt = make(chan struct{}, 1)
	}
	return m.doubt
}

// UsesRelay reports whether a new connection to the address is made through another box first.
func (m *Monitor) UsesRelay(addr string) bool {
	if !m.active.Load() {
		return false
	}
	if m.cutOff.Load() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	prune(m.failures, now)
	prune(m.relayed, now)
	m.updateActive()
	_, failed := m.failures[addr]
	_, relayed := m.relayed[addr]
	return failed && relayed
}
