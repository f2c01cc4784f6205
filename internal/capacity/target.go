package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// target is a dispenser's state of one target. Its totals are updated with each change, as every
// decision reads them.
type target struct {
	spec         TargetSpec
	load         barleystep.Load
	grants       map[barleystep.AttemptID]*activeGrant
	totals       totals
	uses         map[barleystep.BoxID]CreditUse
	useTotals    CreditUse // useTotals adds up what boxes run on credits.
	released     []release
	unexplained  int // unexplained is the memory in the last load report beyond the known work, in tokens.
	health       health
	unknownUntil time.Time    // unknownUntil is until when a target without a load report counts as full.
	reservation  *reservation // reservation is set while the target is reserved for a large prompt.
}

// totals adds up the grants of a target.
type totals struct {
	kvTokens           int
	shortPrefillTokens int // shortPrefillTokens and longPrefillTokens are prompt tokens that wait for prefill.
	longPrefillTokens  int
	longPrefills       int // longPrefills counts the long prompts in prefill.
	longKVTokens       int
}

// activeGrant is a grant that has not been released. A grant over several targets is kept in each of
// them.
type activeGrant struct {
	attempt      barleystep.AttemptID
	box          barleystep.BoxID
	account      string
	targets      []barleystep.TargetID
	promptTokens int
	outputTokens int
	grantedAt    time.Time
	firstTokenAt time.Time // firstTokenAt is when the first token came.
	prefilling   bool
	isLong       bool
}

// tokensPerTarget is the KV cache, in tokens, that the grant takes at each of its targets.
func (h *activeGrant) tokensPerTarget() int {
	n := len(h.targets)
	return (h.promptTokens + h.outputTokens + n - 1) / n
}

// release is a grant that has ended. It is kept until a newer load report arrives.
type release struct {
	grantedAt time.Time
	at        time.Time
	tokens    int
}

// maxLoadAge is how long a load report counts.
const maxLoadAge = 15 * time.Second

func newTarget(s TargetSpec, unknownUntil time.Time) *target {
	return &target{
		spec:         s,
		grants:       make(map[barleystep.AttemptID]*activeGrant),
		uses:         make(map[barleystep.BoxID]CreditUse),
		unknownUntil: unknownUntil,
	}
}

// usable reports whether the target may get new work: it is neither drained nor leaving nor
// suspended.
func (t *target) usable(now time.Time) bool {
	return !t.spec.Drain && !t.load.Leaving && !t.health.isSuspended(now)
}

// readyIn estimates the time until the target has ended its long prefills and has the given memory
// free.
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

// timeLeft estimates the remaining prefill time of the grant's prompt, and the total time until its
// answer is complete.
func (h *activeGrant) timeLeft(now time.Time, rate float64, decodeTime time.Duration) (prefill, total time.Duration) {
	decode := time.Duration(h.outputTokens) * decodeTime
	if !h.prefilling {
		return 0, max(decode-now.Sub(h.firstTokenAt), 0)
	}
	prefill = max(seconds(float64(h.promptTokens)/float64(len(h.targets))/rate)-now.Sub(h.grantedAt), 0)
	return prefill, prefill + decode
}

// add adds (sign 1) or subtracts (sign -1) a grant.
func (s *totals) add(h *activeGrant, sign int) {
	s.kvTokens += sign * h.tokensPerTarget()
	if h.isLong {
		s.longKVTokens += sign * h.tokensPerTarget()
	}
	s.addPrefill(h, sign)
}

// addPrefill adds or subtracts the prompt of a grant, unless it is prefilled already.
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

// kvTokens returns the KV cache, in tokens, that the known grants and credits take.
func (t *target) kvTokens() int { return t.totals.kvTokens + t.useTotals.KVTokens }

// freeTokens returns the memory, in tokens, that new work may take. It is 0 before the first load
// report of a target that may still run work granted by an earlier dispenser.
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

// ownTokensAt returns the memory, in tokens, that known work took at a recent time. What a load report
// shows beyond it is work of other dispensers or of dead boxes, or has not been reported yet.
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

// add adds a grant. If it is older than the last load report, it was part of the unexplained memory
// until now.
func (t *target) add(h *activeGrant) {
	t.grants[h.attempt] = h
	t.totals.add(h, 1)
	if !h.grantedAt.After(t.load.At) {
		t.unexplained = max(0, t.unexplained-h.tokensPerTarget())
	}
}

// maxReleased bounds the ended grants that are kept for a target.
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

// setUse replaces what a box runs on credits. A zero CreditUse removes it.
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

// shortPrefillTokens returns the number of short prompts' tokens that wait for prefill.
func (t *target) shortPrefillTokens() int {
	return t.totals.shortPrefillTokens + t.useTotals.PrefillTokens
}

// snapshot returns the target's state for package place.
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
