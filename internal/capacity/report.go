package capacity

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
)

// lostGrantTimeout is how long a grant may be missing from its box's reports before the dispenser
// ends it, as the answer that carried it was lost.
const lostGrantTimeout = 3 * time.Second

// requestedSmoothing is the weight of the newest report in a box's average of requested tokens.
const requestedSmoothing = 0.3

// ApplyReport applies a box's report and returns the box's new credits.
func (d *Dispenser) ApplyReport(now time.Time, r Report) Credits {
	b, ok := d.boxes[r.Box]
	if !ok {
		b = &boxState{}
		d.boxes[r.Box] = b
	}
	b.lastReport = now
	b.requestedTokens += requestedSmoothing * (float64(r.RequestedTokens) - b.requestedTokens)
	d.applyUses(now, r)
	d.applyHeld(now, r)
	return d.credits(now, b)
}

// applyUses replaces what the box runs on credits at each target, and updates the targets' health.
func (d *Dispenser) applyUses(now time.Time, r Report) {
	used := make(map[barleystep.TargetID]bool, len(r.Uses))
	for _, u := range r.Uses {
		used[u.Target] = true
	}
	for _, t := range d.sortedTargets {
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
			t.health.noteAnswer(u.Slowdown)
		}
		for range u.Failures {
			t.health.noteFailure(now)
		}
		t.health.noteOverdue(now, u.Overdue)
	}
}

// applyHeld adds the grants that an earlier dispenser gave, and ends those that the box does not
// hold.
func (d *Dispenser) applyHeld(now time.Time, r Report) {
	has := make(map[barleystep.AttemptID]bool, len(r.Held))
	for _, h := range r.Held {
		has[h.Attempt] = true
		if known, ok := d.grants[h.Attempt]; ok {
			if known.prefilling && !h.Prefilling {
				d.prefillDone(now, known)
			}
			continue
		}
		d.addGrant(&activeGrant{
			attempt:      h.Attempt,
			box:          r.Box,
			account:      h.Account,
			targets:      h.Targets,
			promptTokens: h.PromptTokens,
			outputTokens: h.OutputTokens,
			grantedAt:    h.Since,
			firstTokenAt: now,
			prefilling:   h.Prefilling,
			isLong:       barleystep.BandOf(h.PromptTokens).Long(),
		})
	}
	for id, h := range d.grants {
		if h.box == r.Box && !has[id] && now.Sub(h.grantedAt) > lostGrantTimeout {
			d.removeGrant(now, h)
		}
	}
}

// RemoveBox removes a box that has died. Its work still counts as unexplained memory in the targets'
// load reports until it is cleaned up.
func (d *Dispenser) RemoveBox(now time.Time, id barleystep.BoxID) {
	delete(d.boxes, id)
	for _, t := range d.sortedTargets {
		t.setUse(id, CreditUse{})
	}
	for _, h := range d.grants {
		if h.box == id {
			d.removeGrant(now, h)
		}
	}
	isFromBox := func(w *waiter) bool { return w.req.Box == id }
	for i := range d.lanes {
		d.lanes[i].Remove(isFromBox)
	}
	d.dropReservations(isFromBox)
}

// Contended reports whether short prompts are queued. Then none may bypass the queue on a credit.
func (d *Dispenser) Contended() bool { return d.lanes[laneShort].Len() > 0 }

// credits returns the box's credits: the capacity for short prompts is divided among the boxes in
// proportion to their recent requests, with a minimum for each. A contended pool gives no credits,
// so that the queue's order is kept.
func (d *Dispenser) credits(now time.Time, b *boxState) Credits {
	c := Credits{Until: now.Add(d.settings.creditLifetime())}
	if d.Contended() {
		return c
	}
	share := d.share(now, b)
	for _, t := range d.sortedTargets {
		if t.usable(now) && t.reservation == nil {
			c.Credits = append(c.Credits, d.credit(now, t, share))
		}
	}
	return c
}

// share returns the box's share of the credits, from 0 to 1. It drops boxes that no longer report.
func (d *Dispenser) share(now time.Time, b *boxState) float64 {
	const floor = 1.0
	sum := 0.0
	for _, id := range d.sortedBoxes() {
		other := d.boxes[id]
		if now.Sub(other.lastReport) > d.settings.creditLifetime() {
			delete(d.boxes, id)
			continue
		}
		sum += other.requestedTokens + floor
	}
	return (b.requestedTokens + floor) / sum
}

// sortedBoxes returns the boxes in a fixed order, so that floating-point sums over them are the same
// in every run.
func (d *Dispenser) sortedBoxes() []barleystep.BoxID {
	ids := make([]barleystep.BoxID, 0, len(d.boxes))
	for id := range d.boxes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// credit returns the credit for one target, given the box's share of the free capacity there.
func (d *Dispenser) credit(now time.Time, t *target, share float64) Credit {
	s := t.snapshot(now)
	window := t.spec.PrefillRate * d.settings.Window.Seconds()
	return Credit{
		Target:             t.spec.ID,
		PrefillTokens:      max(int(window*share), d.settings.MinPrefillCredit),
		KVTokens:           max(int(float64(s.FreeKVTokens)*share), 0),
		OtherPrefillTokens: s.ShortPrefillTokens,
		LongPrefillTokens:  s.LongPrefillTokens,
		Running:            s.Running,
		PrefillRate:        s.PrefillRate,
		Slowdown:           s.Slowdown,
	}
}
