package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// target is what a dispenser knows of one target. The sums are kept up to date
// with each change, as they are read for every decision.
type target struct {
	spec     TargetSpec
	load     barleystep.Load
	held     map[barleystep.AttemptID]*holding
	sums     sums
	uses     map[barleystep.BoxID]CreditUse
	useSums  CreditUse // useSums adds up what boxes run on credits.
	released []release
	foreign  int // foreign is the memory in the last load report that own work does not explain.
	health   health
	unsure   time.Time // unsure is until when a missing load report means a full target.
	gang     *gang     // gang is set while the target is set aside for a large prompt.
}

// sums adds up the holdings of a target.
type sums struct {
	memory       int
	shortReading int // shortReading and longReading are prompt tokens that wait to be read.
	longReading  int
	longs        int // longs counts the long prompts that are being read.
	longMemory   int
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

func newTarget(s TargetSpec, unsure time.Time) *target {
	return &target{
		spec:   s,
		held:   make(map[barleystep.AttemptID]*holding),
		uses:   make(map[barleystep.BoxID]CreditUse),
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
		read, whole := h.endsIn(now, t.spec.PrefillRate, perToken)
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

// add counts a holding in (1) or out (-1).
func (s *sums) add(h *holding, sign int) {
	s.memory += sign * h.share()
	if h.long {
		s.longMemory += sign * h.share()
	}
	s.read(h, sign)
}

// read counts the part of a holding that is still to be read.
func (s *sums) read(h *holding, sign int) {
	switch {
	case !h.reading:
	case h.long:
		s.longReading += sign * h.prompt / len(h.targets)
		s.longs += sign
	default:
		s.shortReading += sign * h.prompt
	}
}

// memory returns the KV memory, in tokens, that is known to be taken by the
// system's own work.
func (t *target) memory() int { return t.sums.memory + t.useSums.KVTokens }

// free returns the memory that new work may take. Before its first load report
// a target that may hold work of an earlier dispenser has none.
func (t *target) free(now time.Time) int {
	if t.load.At.IsZero() && now.Before(t.unsure) {
		return 0
	}
	free := t.spec.KVTokens - t.memory()
	if now.Sub(t.load.At) <= loadLife {
		free -= t.foreign
	}
	return free
}

func (t *target) noteLoad(l barleystep.Load) {
	if !l.At.After(t.load.At) {
		return
	}
	t.load = l
	t.foreign = max(0, l.TotalTokens-l.FreeTokens-t.ownAt(l.At))
	t.released = slices.DeleteFunc(t.released, func(r release) bool { return !r.at.After(l.At) })
}

// ownAt returns the memory that own work took at a time not long ago. What the
// report shows beyond it is work of other dispensers, of boxes that are gone,
// or not yet reported.
func (t *target) ownAt(at time.Time) int {
	own := t.useSums.KVTokens
	for _, h := range t.held {
		if !h.since.After(at) {
			own += h.share()
		}
	}
	for _, r := range t.released {
		if !r.since.After(at) && r.at.After(at) {
			own += r.tokens
		}
	}
	return own
}

// add keeps a holding. One that is older than the last load report was foreign
// in it until now.
func (t *target) add(h *holding) {
	t.held[h.attempt] = h
	t.sums.add(h, 1)
	if !h.since.After(t.load.At) {
		t.foreign = max(0, t.foreign-h.share())
	}
}

const maxReleased = 4096

func (t *target) remove(h *holding, now time.Time) {
	if _, ok := t.held[h.attempt]; !ok {
		return
	}
	delete(t.held, h.attempt)
	t.sums.add(h, -1)
	if len(t.released) < maxReleased {
		t.released = append(t.released, release{since: h.since, at: now, tokens: h.share()})
	}
}

// setUse replaces what a box runs on credits; a zero Use removes it.
func (t *target) setUse(id barleystep.BoxID, u CreditUse) {
	old := t.uses[id]
	t.useSums.PrefillTokens += u.PrefillTokens - old.PrefillTokens
	t.useSums.KVTokens += u.KVTokens - old.KVTokens
	t.useSums.Running += u.Running - old.Running
	if u.Running == 0 {
		delete(t.uses, id)
		return
	}
	t.uses[id] = u
}

// shortReading returns the short prompts' tokens that wait to be read.
func (t *target) shortReading() int { return t.sums.shortReading + t.useSums.PrefillTokens }

// snapshot returns the target as placement sees it.
func (t *target) snapshot(now time.Time) place.Target {
	return place.Target{
		ID:                 t.spec.ID,
		PrefillRate:        t.spec.PrefillRate,
		Slowdown:           t.health.slowness(),
		ShortPrefillTokens: t.shortReading(),
		LongPrefillTokens:  t.sums.longReading,
		Running:            len(t.held) + t.useSums.Running,
		FreeKVTokens:       t.free(now),
	}
}
