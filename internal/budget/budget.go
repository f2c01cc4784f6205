// Package budget bounds how often requests are sent to a second target, so that
// a fault at the targets is not made worse by retries.
package budget

import (
	"sync"
	"time"

	"github.com/barleystep/barleystep"
)

// Budget is one box's part of the retries that all boxes together may make at
// each service. Its exported fields are set before use; it is safe for
// concurrent use.
type Budget struct {
	Clock barleystep.Clock
	// Window is the time in which requests and retries are counted.
	Window time.Duration
	// Boxes returns how many boxes share the budget.
	BoxCount func() int

	mu       sync.Mutex
	origin   time.Time
	ratio    float64
	extra    float64
	services map[string]*account
}

// account counts a service's requests and retries in buckets of a window.
type account struct {
	requests window
	retries  window
}

const (
	// buckets divide a window; the oldest one counts whole, so that a sliding
	// window anywhere never holds more than what is counted here.
	buckets = 10
	// ratioPart and extraPart are what a box uses of its even part. The rest is
	// for requests that are spread unevenly over boxes, and for boxes that were
	// started anew and have forgotten what they used.
	ratioPart = 0.8
	extraPart = 0.4
)

type window struct {
	counts [buckets + 1]float64
	slot   int64
}

func (w *window) advance(slot int64) {
	if slot-w.slot > buckets {
		w.counts = [buckets + 1]float64{}
		w.slot = slot
		return
	}
	for w.slot < slot {
		w.slot++
		w.counts[w.slot%(buckets+1)] = 0
	}
}

func (w *window) add(slot int64) {
	w.advance(slot)
	w.counts[slot%(buckets+1)]++
}

func (w *window) sum(slot int64) float64 {
	w.advance(slot)
	total := 0.0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// slot numbers spans of time since the first call. It is a difference of times,
// so that a step of the time of day does not empty the window.
func (b *Budget) slot() int64 {
	now := b.Clock.Now()
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / (b.Window / buckets))
}

func (b *Budget) account(service string) *account {
	if b.services == nil {
		b.services = make(map[string]*account)
	}
	a, ok := b.services[service]
	if !ok {
		a = &account{}
		b.services[service] = a
	}
	return a
}

// Set sets the retries allowed for each request of a service in Window, over all
// boxes, and those allowed besides.
func (b *Budget) SetLimits(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = ratio, extra
}

// Request counts a request for the service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).requests.add(b.slot())
}

// Retry reports whether a request may be sent once more, and counts it if so.
func (b *Budget) AllowRetry(service string) bool {
	boxes := max(b.BoxCount(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service)
	slot := b.slot()
	allowed := ratioPart*b.ratio*a.requests.sum(slot) + extraPart*b.extra/float64(boxes)
	if a.retries.sum(slot)+1 > allowed {
		return false
	}
	a.retries.add(slot)
	return true
}
