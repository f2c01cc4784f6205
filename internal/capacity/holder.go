package capacity

import (
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// Holder is a box's state of one pool: the credits that it may use and the attempts that it runs. It
// is a state machine and not safe for concurrent use.
type Holder struct {
	box             barleystep.BoxID
	credits         Credits
	uses            map[barleystep.TargetID]*targetUse
	running         map[barleystep.AttemptID]*attempt
	prefixes        place.PrefixIndex
	requestedTokens int
}

// targetUse is what the box runs on credits at one target.
type targetUse struct {
	prefilling  int
	kvTokens    int
	running     int
	answers     int
	failures    int
	slowdownSum float64 // slowdownSum adds up the ratio of measured to expected time over answers.
}

// attempt is a running attempt of the box.
type attempt struct {
	id           barleystep.AttemptID
	account      string
	targets      []barleystep.TargetID
	promptTokens int
	outputTokens int
	startedAt    time.Time
	expected     time.Duration
	prefilling   bool
	granted      bool // granted is set if the attempt runs on a grant, not on a credit.
}

// NewHolder returns the holder of a box without credits.
func NewHolder(box barleystep.BoxID) *Holder {
	return &Holder{
		box:     box,
		uses:    make(map[barleystep.TargetID]*targetUse),
		running: make(map[barleystep.AttemptID]*attempt),
	}
}

// SetCredits replaces the credits that the box holds.
func (h *Holder) SetCredits(c Credits) { h.credits = c }

// TryStart starts a short prompt on a credit and returns its target, if a credit allows it.
func (h *Holder) TryStart(now time.Time, d barleystep.Demand) (target barleystep.TargetID, ok bool) {
	if barleystep.BandOf(d.PromptTokens).Long() {
		return "", false
	}
	h.requestedTokens += d.PromptTokens
	if !now.Before(h.credits.Until) {
		return "", false
	}
	best, expected := h.best(d)
	if best == "" {
		return "", false
	}
	h.start(now, d, []barleystep.TargetID{best}, expected, false)
	return best, true
}

// best returns the target with the least expected time to first token. The order of the candidates
// differs between attempts, so that boxes with the same state do not all take the same target.
func (h *Holder) best(d barleystep.Demand) (best barleystep.TargetID, expected time.Duration) {
	cachedTarget, share := h.prefixes.Find(d.PrefixHashes)
	for _, c := range h.candidates(d, cachedTarget) {
		if slices.Contains(d.FailedTargets, c.Target) || !h.allows(c, d) {
			continue
		}
		cached := 0
		if c.Target == cachedTarget {
			cached = int(share * float64(d.PromptTokens))
		}
		e := place.ExpectedTTFT(h.snapshot(c), d.PromptTokens, cached)
		if best == "" || e < expected {
			best, expected = c.Target, e
		}
	}
	return best, expected
}

// sampleSize is how many targets are compared for one prompt. The best of a few random ones avoids
// the herding that the best of all causes.
const sampleSize = 4

// candidates returns a sample of the credits, drawn by the hash of the attempt. The target that has
// the prompt's prefix in its cache comes first.
func (h *Holder) candidates(d barleystep.Demand, cachedTarget barleystep.TargetID) []Credit {
	n := len(h.credits.Credits)
	if n <= sampleSize {
		return h.credits.Credits
	}
	type ranked struct {
		credit Credit
		rank   uint64
	}
	key := d.Attempt.String()
	list := make([]ranked, 0, n)
	for _, c := range h.credits.Credits {
		rank := place.Rank(key, string(c.Target))
		if c.Target == cachedTarget {
			rank = 0
		}
		list = append(list, ranked{c, rank})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	picked := make([]Credit, 0, sampleSize)
	for _, r := range list[:sampleSize] {
		picked = append(picked, r.credit)
	}
	return picked
}

func (h *Holder) allows(c Credit, d barleystep.Demand) bool {
	u := h.useOf(c.Target)
	if u.kvTokens+d.Tokens() > c.KVTokens {
		return false
	}
	return u.prefilling == 0 || u.prefilling+d.PromptTokens <= c.PrefillTokens
}

func (h *Holder) snapshot(c Credit) place.Target {
	u := h.useOf(c.Target)
	return place.Target{
		ID:                 c.Target,
		PrefillRate:        c.PrefillRate,
		Slowdown:           c.Slowdown,
		ShortPrefillTokens: c.OtherPrefillTokens + u.prefilling,
		LongPrefillTokens:  c.LongPrefillTokens,
		Running:            c.Running + u.running,
	}
}

func (h *Holder) useOf(id barleystep.TargetID) *targetUse {
	u, ok := h.uses[id]
	if !ok {
		u = &targetUse{}
		h.uses[id] = u
	}
	return u
}

// AddGrant records an attempt that runs on a grant of the dispenser.
func (h *Holder) AddGrant(now time.Time, d barleystep.Demand, targets []barleystep.TargetID) {
	h.start(now, d, targets, 0, true)
}

func (h *Holder) start(now time.Time, d barleystep.Demand, targets []barleystep.TargetID, expected time.Duration, granted bool) {
	h.running[d.Attempt] = &attempt{
		id:           d.Attempt,
		account:      d.Account,
		targets:      targets,
		promptTokens: d.PromptTokens,
		outputTokens: d.MaxOutputTokens,
		startedAt:    now,
		expected:     expected,
		prefilling:   true,
		granted:      granted,
	}
	h.prefixes.Record(d.PrefixHashes, targets[0])
	if granted {
		return
	}
	u := h.useOf(targets[0])
	u.prefilling += d.PromptTokens
	u.kvTokens += d.Tokens()
	u.running++
}

// FirstToken records an attempt's first token.
func (h *Holder) FirstToken(now time.Time, id barleystep.AttemptID) {
	r, ok := h.running[id]
	if !ok || !r.prefilling {
		return
	}
	r.prefilling = false
	if r.granted {
		return
	}
	u := h.useOf(r.targets[0])
	u.prefilling -= r.promptTokens
	u.answers++
	u.slowdownSum += float64(now.Sub(r.startedAt)) / float64(max(r.expected, time.Millisecond))
}

// End records that an attempt has ended.
func (h *Holder) End(id barleystep.AttemptID, usage barleystep.Usage) {
	r, ok := h.running[id]
	if !ok {
		return
	}
	delete(h.running, id)
	if r.granted {
		return
	}
	u := h.useOf(r.targets[0])
	u.kvTokens -= r.promptTokens + r.outputTokens
	u.running--
	if r.prefilling {
		u.prefilling -= r.promptTokens
	}
	if usage.TargetFailed() {
		u.failures++
	}
}

// Report returns the report for the dispenser and starts a new interval.
func (h *Holder) Report(now time.Time) Report {
	r := Report{Box: h.box, RequestedTokens: h.requestedTokens}
	h.requestedTokens = 0
	overdue := h.overdueTimes(now)
	for _, id := range h.sortedTargets() {
		u := h.uses[id]
		r.Uses = append(r.Uses, u.report(id, overdue[id]))
		u.answers, u.failures, u.slowdownSum = 0, 0, 0
		if u.running == 0 {
			delete(h.uses, id)
		}
	}
	r.Held = h.held()
	return r
}

func (u *targetUse) report(id barleystep.TargetID, overdue time.Duration) CreditUse {
	use := CreditUse{
		Target:        id,
		PrefillTokens: u.prefilling,
		KVTokens:      u.kvTokens,
		Running:       u.running,
		Answers:       u.answers,
		Failures:      u.failures,
		Overdue:       overdue,
	}
	if u.answers > 0 {
		use.Slowdown = u.slowdownSum / float64(u.answers)
	}
	return use
}

// overdueTimes returns for each target how long its most overdue attempt on credit has waited beyond
// the expected time for a first token.
func (h *Holder) overdueTimes(now time.Time) map[barleystep.TargetID]time.Duration {
	longest := make(map[barleystep.TargetID]time.Duration)
	for _, r := range h.running {
		if r.granted || !r.prefilling {
			continue
		}
		overdue := now.Sub(r.startedAt) - r.expected
		longest[r.targets[0]] = max(longest[r.targets[0]], overdue)
	}
	return longest
}

func (h *Holder) sortedTargets() []barleystep.TargetID {
	ids := make([]barleystep.TargetID, 0, len(h.uses))
	for id := range h.uses {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h *Holder) held() []HeldGrant {
	var held []HeldGrant
	for _, r := range h.running {
		if r.granted {
			held = append(held, HeldGrant{
				Attempt:      r.id,
				Account:      r.account,
				Targets:      r.targets,
				PromptTokens: r.promptTokens,
				OutputTokens: r.outputTokens,
				Since:        r.startedAt,
				Prefilling:   r.prefilling,
			})
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i].Attempt.String() < held[j].Attempt.String() })
	return held
}
