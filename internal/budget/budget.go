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
	start    time.Time
	ratio    float64
	extra    float64
	services map[string]*serviceCounts
}

// account counts a service's requests and retries in buckets of a window.
type serviceCounts struct {
	requests window
	retries  window
}

const (
	// buckets divide a window; the oldest one counts whole, so that a sliding
	// window anywhere never holds more than what is counted here.
	bucketCount = 10
	// ratioPart and extraPart are what a box uses of its even part. The rest is
	// for requests that are spread unevenly over boxes, and for boxes that were
	// started anew and have forgotten what they used.
	ratioShare = 0.8
	extraShare = 0.4
)

type window struct {
	counts [bucketCount + 1]float64
	bucket int64
}

func (w *window) advance(bucket int64) {
	if bucket-w.bucket > bucketCount {
		w.counts = [bucketCount + 1]float64{}
		w.bucket = bucket
		return
	}
	for w.bucket < bucket {
		w.bucket++
		w.counts[w.bucket%(bucketCount+1)] = 0
	}
}

func (w *window) add(bucket int64) {
	w.advance(bucket)
	w.counts[bucket%(bucketCount+1)]++
}

func (w *window) sum(bucket int64) float64 {
	w.advance(bucket)
	total := 0.0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// slot numbers spans of time since the first call. It is a difference of times,
// so that a step of the time of day does not empty the window.
func (b *Budget) bucket() int64 {
	now := b.Clock.Now()
	if b.start.IsZero() {
		b.start = now
	}
	return int64(now.Sub(b.start) / (b.Window / bucketCount))
}

func (b *Budget) serviceCounts(service string) *serviceCounts {
	if b.services == nil {
		b.services = make(map[string]*serviceCounts)
	}
	a, ok := b.services[service]
	if !ok {
		a = &serviceCounts{}
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
	b.serviceCounts(service).requests.add(b.bucket())
}

// Retry reports whether a request may be sent once more, and counts it if so.
func (b *Budget) AllowRetry(service string) bool {
	boxes := max(b.BoxCount(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.serviceCounts(service)
	bucket := b.bucket()
	allowed := ratioShare*b.ratio*a.requests.sum(bucket) + extraShare*b.extra/float64(boxes)
	if a.retries.sum(bucket)+1 > allowed {
		return false
	}
	a.retries.add(bucket)
	return true
}
