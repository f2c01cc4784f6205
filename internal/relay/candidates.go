package relay

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Candidates are the addresses of boxes that may connect to targets for this one, by preference.
type Candidates struct {
	// Near are boxes of the own hall, Far those of others, which cost bytes between halls. Stale
	// are boxes that have not been heard of for a while.
	Near, Far, Stale []string
}

// memory remembers what other boxes have told as relays. The zero value is ready to use; it is safe
// for concurrent use.
type memory struct {
	mu sync.Mutex
	// failedUntil holds until when boxes are passed over that did not connect, hintedUntil until when
	// boxes are used that another relay has named.
	failedUntil map[string]time.Time
	hintedUntil map[string]time.Time
}

const (
	// failedTime is how long a relay that did not serve is passed over.
	failedTime = time.Second
	// hintTime is how long a box that a relay has named is used.
	hintTime = 5 * time.Second
)

// fail records that a relay did not serve.
func (m *memory) fail(addr string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedUntil == nil {
		m.failedUntil = make(map[string]time.Time)
	}
	m.failedUntil[addr] = now.Add(failedTime)
}

// hint records boxes that a relay has named.
func (m *memory) hint(addrs []string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hintedUntil == nil {
		m.hintedUntil = make(map[string]time.Time)
	}
	for _, a := range addrs {
		m.hintedUntil[a] = now.Add(hintTime)
	}
}

// isHinted reports whether a relay has named the box.
func (m *memory) isHinted(addr string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.hintedUntil[addr])
}

// order returns the boxes to try, in order: each group of candidates in random order, so that the
// boxes of a hall that is cut off share the others evenly. Boxes that failed a moment ago come last.
func (m *memory) order(c Candidates, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]bool)
	for _, list := range [][]string{c.Near, c.Far, c.Stale} {
		for _, a := range list {
			known[a] = true
		}
	}
	far := c.Far
	for a, until := range m.hintedUntil {
		switch {
		case now.After(until):
			delete(m.hintedUntil, a)
		case !known[a]:
			far = append(far[:len(far):len(far)], a)
		}
	}
	var list, failed []string
	for _, group := range [][]string{c.Near, far, c.Stale} {
		for _, i := range rand.Perm(len(group)) {
			if now.Before(m.failedUntil[group[i]]) {
				failed = append(failed, group[i])
			} else {
				list = append(list, group[i])
			}
		}
	}
	return append(list, failed...)
}
