package soak

import (
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// listedLeaveBound is how long after a target has left the list a call may still be sent to it. It is
// twice the bound of the boxes' settings, since the machine may be busy.
const listedLeaveBound = 4 * time.Second

// RecordLeave records that the store has taken that a target leaves, or that its record is gone.
func (h *History) RecordLeave(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[target] = at
}

// checkListedLeave checks that a target gets no call that began after the box had time to learn that it
// leaves: the box was running and the store available for listedLeaveBound.
func (c *check) checkListedLeave(a platformtest.Arrival, x *Call) {
	at, left := c.history.left[a.Target]
	if !left || a.Misdirected {
		return
	}
	if x.Started.After(c.firstUndisturbed(at, listedLeaveBound, x, nil)) {
		c.addViolation("listed leaves", a.Request, "%s got it, sent %s after the target had left", a.Target, x.Started.Sub(at))
	}
}
