package capacity

import (
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// Holder is a box's side of one pool: the credits that it may use and the work
// that it runs. It is a state machine and not safe for concurrent use.
type Holder struct {
	box      barleystep.BoxID
	credits  Credits
	uses     map[barleystep.TargetID]*ownUse
	running  map[barleystep.AttemptID]*run
	prefixes place.PrefixIndex
	wanted   int
}

// ownUse is what the box runs on credits at one target.
type ownUse struct {
	reading  int
	memory   int
	running  int
	answers  int
	failures int
	slow     float64 // slow is the sum of ratios over answers.
}

// run is one attempt of the box.
type run struct {
	attempt  barleystep.AttemptID
	account  string
	targets  []barleystep.TargetID
	prompt   int
	output   int
	since    time.Time
	expected time.Duration
	reading  bool
	granted  bool // granted tells a grant from the use of a credit.
}

// NewHolder returns the holder of a box without credits.
func NewHolder(box barleystep.BoxID) *Holder {
	return &Holder{
		box:     box,
		uses:    make(map[barleystep.TargetID]*ownUse),
		running: make(map[barleystep.AttemptID]*run),
	}
}

// SetCredits replaces the credits.
func (h *Holder) SetCredits(c Credits) { h.credits = c }

// Try runs a short prompt on the credits, if there are any that allow it.
func (h *Holder) TryStart(now time.Time, d barleystep.Demand) (target barleystep.TargetID, ok bool) {
	if barleystep.BandOf(d.PromptTokens).Long() {
		return "", false
	}
	h.wanted += d.PromptTokens
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

// best looks at the targets in an order that differs between attempts, so that
// boxes with the same picture do not all take the same target.
func (h *Holder) best(d barleystep.Demand) (best barleystep.TargetID, expected time.Duration) {
	warm, part := h.prefixes.Find(d.PrefixHashes)
	for _, c := range h.candidates(d, warm) {
		if slices.Contains(d.FailedTargets, c.Target) || !h.allows(c, d) {
			continue
		}
		cached := 0
		if c.Target == warm {
			cached = int(part * float64(d.PromptTokens))
		}
		e := place.ExpectedTTFT(h.snapshot(c), d.PromptTokens, cached)
		if best == "" || e < expected {
			best, expected = c.Target, e
		}
	}
	return best, expected
}

// sampled is how many targets are compared for one prompt: the best of a few
// drawn at random herds far less than the best of all.
const sampled = 4

// candidates returns a few credits, drawn by the hash of the attempt, and the
// warm target's.
func (h *Holder) candidates(d barleystep.Demand, warm barleystep.TargetID) []Credit {
	n := len(h.credits.Credits)
	if n <= sampled {
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
		if c.Target == warm {
			rank = 0
		}
		list = append(list, ranked{c, rank})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	picked := make([]Credit, 0, sampled)
	for _, r := range list[:sampled] {
		picked = append(picked, r.credit)
	}
	return picked
}

func (h *Holder) allows(c Credit, d barleystep.Demand) bool {
	u := h.use(c.Target)
	if u.memory+d.Tokens() > c.KVTokens {
		return false
	}
	return u.reading == 0 || u.reading+d.PromptTokens <= c.PrefillTokens
}

func (h *Holder) snapshot(c Credit) place.Target {
	u := h.use(c.Target)
	return place.Target{
		ID:                 c.Target,
		PrefillRate:        c.PrefillRate,
		Slowdown:           c.Slowdown,
		ShortPrefillTokens: c.OtherPrefillTokens + u.reading,
		LongPrefillTokens:  c.LongPrefillTokens,
		Running:            c.Running + u.running,
	}
}

func (h *Holder) use(id barleystep.TargetID) *ownUse {
	u, ok := h.uses[id]
	if !ok {
		u = &ownUse{}
		h.uses[id] = u
	}
	return u
}

// Hold notes a grant of the dispenser.
func (h *Holder) AddGrant(now time.Time, d barleystep.Demand, targets []barleystep.TargetID) {
	h.start(now, d, targets, 0, true)
}

func (h *Holder) start(now time.Time, d barleystep.Demand, targets []barleystep.TargetID, expected time.Duration, granted bool) {
	h.running[d.Attempt] = &run{
		attempt:  d.Attempt,
		account:  d.Account,
		targets:  targets,
		prompt:   d.PromptTokens,
		output:   d.MaxOutputTokens,
		since:    now,
		expected: expected,
		reading:  true,
		granted:  granted,
	}
	h.prefixes.Record(d.PrefixHashes, targets[0])
	if granted {
		return
	}
	u := h.use(targets[0])
	u.reading += d.PromptTokens
	u.memory += d.Tokens()
	u.running++
}

// First notes an attempt's first token.
func (h *Holder) FirstToken(now time.Time, id barleystep.AttemptID) {
	r, ok := h.running[id]
	if !ok || !r.reading {
		return
	}
	r.reading = false
	if r.granted {
		return
	}
	u := h.use(r.targets[0])
	u.reading -= r.prompt
	u.answers++
	u.slow += float64(now.Sub(r.since)) / float64(max(r.expected, time.Millisecond))
}

// End notes that an attempt has ended.
func (h *Holder) End(id barleystep.AttemptID, usage barleystep.Usage) {
	r, ok := h.running[id]
	if !ok {
		return
	}
	delete(h.running, id)
	if r.granted {
		return
	}
	u := h.use(r.targets[0])
	u.memory -= r.prompt + r.output
	u.running--
	if r.reading {
		u.reading -= r.prompt
	}
	if usage.TargetFailed() {
		u.failures++
	}
}

// Report returns what the dispenser has to know, and starts a new interval.
func (h *Holder) Report(now time.Time) Report {
	r := Report{Box: h.box, RequestedTokens: h.wanted}
	h.wanted = 0
	silent := h.silences(now)
	for _, id := range h.sortedUses() {
		u := h.uses[id]
		r.Uses = append(r.Uses, u.report(id, silent[id]))
		u.answers, u.failures, u.slow = 0, 0, 0
		if u.running == 0 {
			delete(h.uses, id)
		}
	}
	r.Held = h.held()
	return r
}

func (u *ownUse) report(id barleystep.TargetID, silent time.Duration) CreditUse {
	use := CreditUse{
		Target:        id,
		PrefillTokens: u.reading,
		KVTokens:      u.memory,
		Running:       u.running,
		Answers:       u.answers,
		Failures:      u.failures,
		Overdue:       silent,
	}
	if u.answers > 0 {
		use.Slowdown = u.slow / float64(u.answers)
	}
	return use
}

// silences returns for each target how long its oldest unanswered attempt on
// credit is overdue.
func (h *Holder) silences(now time.Time) map[barleystep.TargetID]time.Duration {
	longest := make(map[barleystep.TargetID]time.Duration)
	for _, r := range h.running {
		if r.granted || !r.reading {
			continue
		}
		overdue := now.Sub(r.since) - r.expected
		longest[r.targets[0]] = max(longest[r.targets[0]], overdue)
	}
	return longest
}

func (h *Holder) sortedUses() []barleystep.TargetID {
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
				Attempt:      r.attempt,
				Account:      r.account,
				Targets:      r.targets,
				PromptTokens: r.prompt,
				OutputTokens: r.output,
				Since:        r.since,
				Prefilling:   r.reading,
			})
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i].Attempt.String() < held[j].Attempt.String() })
	return held
}
