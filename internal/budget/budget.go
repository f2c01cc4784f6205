// Package budget bounds how often requests are sent to a second target, so that retries do not make
// a fault at the targets worse.
package budget

import (
	"math"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Budget is one box's share of the retries that all boxes together may make for each service. Its
// exported fields must be set before use; it is safe for concurrent use.
type Budget struct {
	Clock barleystep.Clock
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// BoxCount returns how many boxes share the budget.
	BoxCount func() int
	// Box is the name of this box. It decides which boxes round a fractional share up.
	Box barleystep.BoxID

	mu       mutex.Mutex
	start    time.Time
	ratio    float64
	extra    float64
	services map[string]*serviceCounts
}

// serviceCounts counts a service's requests and retries.
type serviceCounts struct {
	requests window
	retries  window
}

const (
	// bucketCount is the number of buckets in a window. One more bucket is counted in full, so that
	// no sliding window holds more than what is counted here.
	bucketCount = 10
	// ratioShare and extraShare are the fractions of its equal share that a box uses. The rest
	// covers requests that are spread unevenly over boxes, and restarted boxes that have lost their
	// counts.
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

// bucket returns the number of the current bucket since the first call. It uses elapsed time, so
// that a step of the wall clock does not empty the window.
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

// SetLimits sets the number of retries per request of a service within Window, over all boxes, and
// the number of retries allowed in addition.
func (b *Budget) SetLimits(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = ratio, extra
}

// CountRequest counts a request for the service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceCounts(service).requests.add(b.bucket())
}

// round rounds a share to whole retries. It rounds up at as many boxes, by a hash of their names, as
// the fraction says, so that the shares of all boxes add up to what they are together: with many
// boxes each share is below one. A box rounds alike in each window, since a retry late in one and
// another early in the next would be two in a window between them.
func (b *Budget) round(service string, share float64) float64 {
	whole := math.Floor(share)
	if barleystep.BoxID(string(b.Box)+"/"+service).Jitter() < share-whole {
		whole++
	}
	return whole
}

// AllowRetry reports whether a request may be sent once more, and counts the retry if so.
func (b *Budget) AllowRetry(service string) bool {
	boxes := max(b.BoxCount(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.serviceCounts(service)
	bucket := b.bucket()
	share := ratioShare*b.ratio*a.requests.sum(bucket) + extraShare*b.extra/float64(boxes)
	if a.retries.sum(bucket)+1 > b.round(service, share) {
		return false
	}
	a.retries.add(bucket)
	return true
}
