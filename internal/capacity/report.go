package capacity

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
)

// lostGrant is how long a grant may be missing from its box's reports before
// the dispenser takes it back: the answer that carried it was lost.
const lostGrant = 3 * time.Second

// wantedLearning is the weight of the newest report in a box's wanted tokens.
const wantedLearning = 0.3

// Report takes in what a box runs and answers with its credits.
func (d *Dispenser) ApplyReport(now time.Time, r Report) Credits {
	b, ok := d.boxes[r.Box]
	if !ok {
		b = &box{}
		d.boxes[r.Box] = b
	}
	b.reported = now
	b.wanted += wantedLearning * (float64(r.RequestedTokens) - b.wanted)
	d.takeUses(now, r)
	d.takeHeld(now, r)
	return d.credits(now, b)
}

func (d *Dispenser) takeUses(now time.Time, r Report) {
	used := make(map[barleystep.TargetID]bool, len(r.Uses))
	for _, u := range r.Uses {
		used[u.Target] = true
	}
	for _, t := range d.sorted {
		if !used[t.spec.ID] {
			t.setUse(r.Box, CreditUse{})
		}
	}
	for _, u := range r.Uses {
		t, ok := d.targets[u.Target]
		if !ok {
			continue
		}
		t.setUse(r.Box, u)
		if u.Answers > 0 {
			t.health.answered(u.Slowdown)
		}
		for range u.Failures {
			t.health.failed(now)
		}
		t.health.silent(now, u.Overdue)
	}
}

// takeHeld learns grants that an earlier dispenser gave, and takes back those
// that the box does not have.
func (d *Dispenser) takeHeld(now time.Time, r Report) {
	has := make(map[barleystep.AttemptID]bool, len(r.Held))
	for _, h := range r.Held {
		has[h.Attempt] = true
		if known, ok := d.holdings[h.Attempt]; ok {
			if known.reading && !h.Prefilling {
				d.readDone(now, known)
			}
			continue
		}
		d.keep(&holding{
			attempt: h.Attempt,
			box:     r.Box,
			account: h.Account,
			targets: h.Targets,
			prompt:  h.PromptTokens,
			output:  h.OutputTokens,
			since:   h.Since,
			firstAt: now,
			reading: h.Prefilling,
			long:    barleystep.BandOf(h.PromptTokens).Long(),
		})
	}
	for id, h := range d.holdings {
		if h.box == r.Box && !has[id] && now.Sub(h.since) > lostGrant {
			d.drop(now, h)
		}
	}
}

// Gone forgets a box that has died. Its work counts as foreign until the
// clean-up has freed it: the targets' load shows it.
func (d *Dispenser) RemoveBox(now time.Time, id barleystep.BoxID) {
	delete(d.boxes, id)
	for _, t := range d.sorted {
		t.setUse(id, CreditUse{})
	}
	for _, h := range d.holdings {
		if h.box == id {
			d.drop(now, h)
		}
	}
	gone := func(w *waiter) bool { return w.ask.Box == id }
	for i := range d.lanes {
		d.lanes[i].Remove(gone)
	}
	d.dropGangs(gone)
}

// Contended reports whether short prompts wait: then none may pass the queue.
func (d *Dispenser) Contended() bool { return d.lanes[laneShort].Len() > 0 }

// credits divides what short prompts may use among the boxes by what they have
// lately wanted. A contended pool lends nothing, so that the queue's order is
// kept; every box still gets the least credit otherwise.
func (d *Dispenser) credits(now time.Time, b *box) Credits {
	c := Credits{Until: now.Add(d.settings.life())}
	if d.Contended() {
		return c
	}
	part := d.part(now, b)
	for _, t := range d.sorted {
		if t.usable(now) && t.gang == nil {
			c.Credits = append(c.Credits, d.credit(now, t, part))
		}
	}
	return c
}

func (d *Dispenser) part(now time.Time, b *box) float64 {
	const floor = 1.0
	sum := 0.0
	for _, id := range d.sortedBoxes() {
		other := d.boxes[id]
		if now.Sub(other.reported) > d.settings.life() {
			delete(d.boxes, id)
			continue
		}
		sum += other.wanted + floor
	}
	return (b.wanted + floor) / sum
}

// sortedBoxes keeps sums of floating-point numbers the same in every run.
func (d *Dispenser) sortedBoxes() []barleystep.BoxID {
	ids := make([]barleystep.BoxID, 0, len(d.boxes))
	for id := range d.boxes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (d *Dispenser) credit(now time.Time, t *target, part float64) Credit {
	s := t.snapshot(now)
	window := t.spec.PrefillRate * d.settings.Window.Seconds()
	return Credit{
		Target:             t.spec.ID,
		PrefillTokens:      max(int(window*part), d.settings.MinPrefillCredit),
		KVTokens:           max(int(float64(s.FreeKVTokens)*part), 0),
		OtherPrefillTokens: s.ShortPrefillTokens,
		LongPrefillTokens:  s.LongPrefillTokens,
		Running:            s.Running,
		PrefillRate:        s.PrefillRate,
		Slowdown:           s.Slowdown,
	}
}
