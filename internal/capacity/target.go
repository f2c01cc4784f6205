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
	spec         TargetSpec
	load         barleystep.Load
	grants       map[barleystep.AttemptID]*activeGrant
	totals       totals
	uses         map[barleystep.BoxID]CreditUse
	useTotals    CreditUse // useSums adds up what boxes run on credits.
	released     []release
	unexplained  int // foreign is the memory in the last load report that own work does not explain.
	health       health
	unknownUntil time.Time    // unsure is until when a missing load report means a full target.
	reservation  *reservation // gang is set while the target is set aside for a large prompt.
}

// sums adds up the holdings of a target.
type totals struct {
	kvTokens           int
	shortPrefillTokens int // shortReading and longReading are prompt tokens that wait to be read.
	longPrefillTokens  int
	longPrefills       int // longs counts the long prompts that are being read.
	longKVTokens       int
}

// holding is a grant as the dispenser keeps it. A grant over several targets is
// one holding in each of them.
type activeGrant struct {
	attempt      barleystep.AttemptID
	box          barleystep.BoxID
	account      string
	targets      []barleystep.TargetID
	promptTokens int
	outputTokens int
	grantedAt    time.Time
	firstTokenAt time.Time // firstAt is when the first token came.
	prefilling   bool
	isLong       bool
}

// share is the KV memory that the holding takes at each of its targets.
func (h *activeGrant) tokensPerTarget() int {
	n := len(h.targets)
	return (h.promptTokens + h.outputTokens + n - 1) / n
}

// release remembers a holding that ended, until a load report is newer.
type release struct {
	grantedAt time.Time
	at        time.Time
	tokens    int
}

// loadLife is how long a load report counts.
const maxLoadAge = 15 * time.Second

func newTarget(s TargetSpec, unknownUntil time.Time) *target {
	return &target{
		spec:         s,
		grants:       make(map[barleystep.AttemptID]*activeGrant),
		uses:         make(map[barleystep.BoxID]CreditUse),
		unknownUntil: unknownUntil,
	}
}

// usable reports whether new work may go to the target at all.
func (t *target) usable(now time.Time) bool {
	return !t.spec.Drain && !t.load.Leaving && !t.health.isSuspended(now)
}

// readyIn estimates how long it takes until the target reads no long prompt any
// more and has the memory free.
func (t *target) readyIn(now time.Time, memory int, decodeTime time.Duration) time.Duration {
	type end struct {
		in     time.Duration
		tokens int
	}
	ready := time.Duration(0)
	ends := make([]end, 0, len(t.grants))
	for _, h := range t.grants {
		prefill, total := h.timeLeft(now, t.spec.PrefillRate, decodeTime)
		if h.isLong && h.prefilling {
			ready = max(ready, prefill)
		}
		ends = append(ends, end{total, h.tokensPerTarget()})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
	freeTokens := t.freeTokens(now)
	for _, e := range ends {
		if freeTokens >= memory {
			break
		}
		freeTokens += e.tokens
		ready = max(ready, e.in)
	}
	return ready
}

// endsIn estimates how long the holding's prompt is still read, and how long it
// takes until its answer is whole.
func (h *activeGrant) timeLeft(now time.Time, rate float64, decodeTime time.Duration) (prefill, total time.Duration) {
	decode := time.Duration(h.outputTokens) * decodeTime
	if !h.prefilling {
		return 0, max(decode-now.Sub(h.firstTokenAt), 0)
	}
	prefill = max(seconds(float64(h.promptTokens)/float64(len(h.targets))/rate)-now.Sub(h.grantedAt), 0)
	return prefill, prefill + decode
}

// add counts a holding in (1) or out (-1).
func (s *totals) add(h *activeGrant, sign int) {
	s.kvTokens += sign * h.tokensPerTarget()
	if h.isLong {
		s.longKVTokens += sign * h.tokensPerTarget()
	}
	s.addPrefill(h, sign)
}

// read counts the part of a holding that is still to be read.
func (s *totals) addPrefill(h *activeGrant, sign int) {
	switch {
	case !h.prefilling:
	case h.isLong:
		s.longPrefillTokens += sign * h.promptTokens / len(h.targets)
		s.longPrefills += sign
	default:
		s.shortPrefillTokens += sign * h.promptTokens
	}
}

// memory returns the KV memory, in tokens, that is known to be taken by the
// system's own work.
func (t *target) kvTokens() int { return t.totals.kvTokens + t.useTotals.KVTokens }

// free returns the memory that new work may take. Before its first load report
// a target that may hold work of an earlier dispenser has none.
func (t *target) freeTokens(now time.Time) int {
	if t.load.At.IsZero() && now.Before(t.unknownUntil) {
		return 0
	}
	freeTokens := t.spec.KVTokens - t.kvTokens()
	if now.Sub(t.load.At) <= maxLoadAge {
		freeTokens -= t.unexplained
	}
	return freeTokens
}

func (t *target) noteLoad(l barleystep.Load) {
	if !l.At.After(t.load.At) {
		return
	}
	t.load = l
	t.unexplained = max(0, l.TotalTokens-l.FreeTokens-t.ownTokensAt(l.At))
	t.released = slices.DeleteFunc(t.released, func(r release) bool { return !r.at.After(l.At) })
}

// ownAt returns the memory that own work took at a time not long ago. What the
// report shows beyond it is work of other dispensers, of boxes that are gone,
// or not yet reported.
func (t *target) ownTokensAt(at time.Time) int {
	own := t.useTotals.KVTokens
	for _, h := range t.grants {
		if !h.grantedAt.After(at) {
			own += h.tokensPerTarget()
		}
	}
	for _, r := range t.released {
		if !r.grantedAt.After(at) && r.at.After(at) {
			own += r.tokens
		}
	}
	return own
}

// add keeps a holding. One that is older than the last load report was foreign
// in it until now.
func (t *target) add(h *activeGrant) {
	t.grants[h.attempt] = h
	t.totals.add(h, 1)
	if !h.grantedAt.After(t.load.At) {
		t.unexplained = max(0, t.unexplained-h.tokensPerTarget())
	}
}

const maxReleased = 4096

func (t *target) remove(h *activeGrant, now time.Time) {
	if _, ok := t.grants[h.attempt]; !ok {
		return
	}
	delete(t.grants, h.attempt)
	t.totals.add(h, -1)
	if len(t.released) < maxReleased {
		t.released = append(t.released, release{grantedAt: h.grantedAt, at: now, tokens: h.tokensPerTarget()})
	}
}

// setUse replaces what a box runs on credits; a zero Use removes it.
func (t *target) setUse(id barleystep.BoxID, u CreditUse) {
	old := t.uses[id]
	t.useTotals.PrefillTokens += u.PrefillTokens - old.PrefillTokens
	t.useTotals.KVTokens += u.KVTokens - old.KVTokens
	t.useTotals.Running += u.Running - old.Running
	if u.Running == 0 {
		delete(t.uses, id)
		return
	}
	t.uses[id] = u
}

// shortReading returns the short prompts' tokens that wait to be read.
func (t *target) shortPrefillTokens() int {
	return t.totals.shortPrefillTokens + t.useTotals.PrefillTokens
}

// snapshot returns the target as placement sees it.
func (t *target) snapshot(now time.Time) place.Target {
	return place.Target{
		ID:                 t.spec.ID,
		PrefillRate:        t.spec.PrefillRate,
		Slowdown:           t.health.slowdown(),
		ShortPrefillTokens: t.shortPrefillTokens(),
		LongPrefillTokens:  t.totals.longPrefillTokens,
		Running:            len(t.grants) + t.useTotals.Running,
		FreeKVTokens:       t.freeTokens(now),
	}
}
