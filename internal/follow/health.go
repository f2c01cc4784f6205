package follow

import (
	"time"

	"github.com/barleystep/barleystep/internal/mutex"
)

// StoreHealth tracks whether a box's calls to the store are answered, over all topics that it follows.
// Its zero value is ready to use.
type StoreHealth struct {
	mu mutex.Mutex
	// times are when the latest calls were made that have failed in a row, the last one first; zero if
	// there are fewer.
	times [unavailableFailures]time.Time
}

// unavailableFailures is how many calls in a row have to fail for the store to count as unavailable: one
// alone may have failed for reasons of its own.
const unavailableFailures = 2

// noteSuccess records that a call was answered.
func (h *StoreHealth) noteSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.times[:])
}

// noteFailure records a failed call.
func (h *StoreHealth) noteFailure(requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	copy(h.times[1:], h.times[:])
	h.times[0] = requestedAt
}

// isUnavailableSince reports whether enough calls in a row have failed that were all made after at.
func (h *StoreHealth) isUnavailableSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.times {
		if !t.After(at) {
			return false
		}
	}
	return true
}
