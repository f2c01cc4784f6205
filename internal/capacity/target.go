package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// target is what a dispenser knows of one target.
type target struct {
	spec     Spec
	load     barleystep.Load
	held     map[barleystep.AttemptID]*holding
	released []release
	uses     map[barleystep.BoxID]Use
	health   health
	unsure   time.Time // unsure is until when a missing load report means a full target.
	gang     *gang     // gang is set while the target is set aside for a large prompt.
}

// holding is a grant as the dispenser keeps it. A grant over several targets is
// one holding in each of them.
type holding struct {
	attempt barleystep.AttemptID
	box     barleystep.BoxID
	account string
	targets []barleystep.TargetID
	prompt  int
	output  int
	since   time.Time
	firstAt time.Time // firstAt is when the first token came.
	reading bool
	long    bool
}

// share is the KV memory that the holding takes at each of its targets.
func (h *holding) share() int {
	n := len(h.targets)
	return (h.prompt + h.output + n - 1) / n
}

// release remembers a holding that ended, until a load report is newer.
type release struct {
	since  time.Time
	at     time.Time
	tokens int
}

// loadLife is how long a load report counts.
const loadLife = 15 * time.Second

func newTarget(s Spec, unsure time.Time) *target {
	return &target{
		spec:   s,
		held:   make(map[barleystep.AttemptID]*holding),
		uses:   make(map[barleystep.BoxID]Use),
		unsure: unsure,
	}
}

// usable reports whether new work may go to the target at all.
func (t *target) usable(now time.Time) bool {
	return !t.spec.Drain && !t.load.Leaving && !t.health.suspended(now)
}

// readyIn estimates how long it takes until the target reads no long prompt any
// more and has the memory free.
func (t *target) readyIn(now time.Time, memory int, perToken time.Duration) time.Duration {
	type end struct {
		in     time.Duration
		tokens int
	}
	ready := time.Duration(0)
	ends := make([]end, 0, len(t.held))
	for _, h := range t.held {
		read, whole := h.endsIn(now, t.spec.Rate, perToken)
		if h.long && h.reading {
			ready = max(ready, read)
		}
		ends = append(ends, end{whole, h.share()})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
	free := t.free(now)
	for _, e := range ends {
		if free >= memory {
			break
		}
		free += e.tokens
		ready = max(ready, e.in)
	}
	return ready
}

// endsIn estimates how long the holding's prompt is still read, and how long it
// takes until its answer is whole.
func (h *holding) endsIn(now time.Time, rate float64, perToken time.Duration) (read, whole time.Duration) {
	generate := time.Duration(h.output) * perToken
	if !h.reading {
		return 0, max(generate-now.Sub(h.firstAt), 0)
	}
	read = max(seconds(float64(h.prompt)/float64(len(h.targets))/rate)-now.Sub(h.since), 0)
	return read, read + generate
}

// memory returns the KV memory, in tokens, that is known to be taken by the
// system's own work.
func (t *target) memory() int {
	sum := 0
	for _, h := range t.held {
		sum += h.share()
	}
	for _, u := range t.uses {
		sum += u.Memory
	}
	return sum
}

// foreign returns the memory that the last load report shows to be taken and
// that own work does not explain: work of other dispensers, of boxes that are
// gone, or not yet reported.
func (t *target) foreign(now time.Time) int {
	if t.load.At.IsZero() || now.Sub(t.load.At) > loadLife {
		return 0
	}
	own := 0
	for _, h := range t.held {
		if !h.since.After(t.load.At) {
			own += h.share()
		}
	}
	for _, r := range t.released {
		if !r.since.After(t.load.At) && r.at.After(t.load.At) {
			own += r.tokens
		}
	}
	for _, u := range t.uses {
		own += u.Memory
	}
	return max(0, t.load.TotalTokens-t.load.FreeTokens-own)
}

// free returns the memory that new work may take. Before its first load report
// a target that may hold work of an earlier dispenser has none.
func (t *target) free(now time.Time) int {
	if t.load.At.IsZero() && now.Before(t.unsure) {
		return 0
	}
	return t.spec.Tokens - t.memory() - t.foreign(now)
}

func (t *target) noteLoad(l barleystep.Load) {
	if !l.At.After(t.load.At) {
		return
	}
	t.load = l
	kept := t.released[:0]
	for _, r := range t.released {
		if r.at.After(l.At) {
			kept = append(kept, r)
		}
	}
	t.released = kept
}

const maxReleased = 4096

func (t *target) remove(h *holding, now time.Time) {
	delete(t.held, h.attempt)
	if len(t.released) < maxReleased {
		t.released = append(t.released, release{since: h.since, at: now, tokens: h.share()})
	}
}

// reading returns the prompt tokens, short and long, that wait to be read.
func (t *target) reading() (short, long int) {
	for _, h := range t.held {
		switch {
		case !h.reading:
		case h.long:
			long += h.prompt / len(h.targets)
		default:
			short += h.prompt
		}
	}
	for _, u := range t.uses {
		short += u.Reading
	}
	return short, long
}

// longs counts the long prompts that are being read and the memory of all.
func (t *target) longs() (reading, memory int) {
	for _, h := range t.held {
		if !h.long {
			continue
		}
		memory += h.share()
		if h.reading {
			reading++
		}
	}
	return reading, memory
}

func (t *target) running() int {
	n := len(t.held)
	for _, u := range t.uses {
		n += u.Running
	}
	return n
}

// snapshot returns the target as placement sees it.
func (t *target) snapshot(now time.Time) place.Target {
	short, long := t.reading()
	return place.Target{
		ID:      t.spec.ID,
		Rate:    t.spec.Rate,
		Slow:    t.health.slowness(),
		Short:   short,
		Long:    long,
		Running: t.running(),
		Free:    t.free(now),
	}
}
