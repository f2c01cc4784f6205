package relay

import (
	"math/rand/v2"
	"time"

	"github.com/barleystep/barleystep/internal/mutex"
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
	mu mutex.Mutex
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

// order returns the boxes to try, in order. Each group of candidates is in random order, so that the
// boxes of a hall that is cut off share the others evenly. Those of the own hall and those of others
// alternate, since a fault may be common to a hall. Boxes that failed a moment ago come last.
func (m *memory) order(c Candidates, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	shuffle(c.Near)
	shuffle(c.Stale)
	far := m.orderFar(c, now)
	var list, failed []string
	for _, a := range append(alternate(c.Near, far), c.Stale...) {
		if now.Before(m.failedUntil[a]) {
			failed = append(failed, a)
		} else {
			list = append(list, a)
		}
	}
	return append(list, failed...)
}

// orderFar returns the boxes of other halls, those that relays have named among them. In large halls
// the named ones come first: the others are the few that every box knows, and had its first connection.
func (m *memory) orderFar(c Candidates, now time.Time) []string {
	hinted := m.hinted(c, now)
	far := append(hinted, c.Far...)
	if len(hinted) < maxNamed {
		shuffle(far)
		return far
	}
	shuffle(far[:len(hinted)])
	shuffle(far[len(hinted):])
	return far
}

// hinted returns the boxes that relays have named and that are no candidates themselves.
func (m *memory) hinted(c Candidates, now time.Time) (list []string) {
	known := make(map[string]bool)
	for _, list := range [][]string{c.Near, c.Far, c.Stale} {
		for _, a := range list {
			known[a] = true
		}
	}
	for a, until := range m.hintedUntil {
		switch {
		case now.After(until):
			delete(m.hintedUntil, a)
		case !known[a]:
			list = append(list, a)
		}
	}
	return list
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
}

// alternate merges two lists, beginning with the first one.
func alternate(a, b []string) []string {
	list := make([]string, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			list = append(list, a[i])
		}
		if i < len(b) {
			list = append(list, b[i])
		}
	}
	return list
}
