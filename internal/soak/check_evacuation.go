package soak

import "time"

// checkEvacuations checks that no request reaches a target of an evacuated hall, from evacuationBound
// after the evacuation on and from boxes that can read the store. Requests that the target refused
// as misdirected were meant for another target. Time in which the connections to the target were
// stalled does not count, as what was sent before arrives after it.
func (c *check) checkEvacuations(calls map[string]*Call) {
	for _, a := range c.history.arrivals {
		x := calls[a.Request]
		if x == nil || a.Misdirected {
			continue
		}
		for _, o := range c.history.evacuated[c.history.halls[a.Target]] {
			obeyed := c.firstUndisturbed(o.from, evacuationBound, x, c.history.silenced[a.Target])
			if o.overlaps(a.At, a.At) && a.At.After(obeyed) {
				c.addViolation("evacuated halls", a.Request, "%s got it from %s at %s, %s after its hall was evacuated", a.Target,
					incarnationID(x.Box, x.Incarnation), a.At.Format(clockFormat), a.At.Sub(o.from).Round(time.Millisecond))
			}
		}
	}
}
