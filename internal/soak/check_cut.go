package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// cutNotice is how long after the links of a box were taken away its callers may be refused.
	cutNotice = time.Second
	// minCutCalls is how many calls at cut boxes tell anything, and minCutShare the least share of them
	// that is served, of that at other boxes meanwhile.
	minCutCalls = 60
	minCutShare = 2.0 / 3
)

// served counts calls and those that were answered whole.
type served struct{ calls, whole int }

func (s *served) add(x *Call) {
	s.calls++
	if x.Status == http.StatusOK && !x.Truncated {
		s.whole++
	}
}

func (s served) share() float64 { return float64(s.whole) / float64(max(s.calls, 1)) }

// String returns both counts.
func (s served) String() string { return fmt.Sprintf("%d of %d", s.whole, s.calls) }

// checkCuts checks that callers of boxes that reach no target themselves are served nearly as often as
// callers of other boxes, while there is a sound box that could serve as their relay.
func (c *check) checkCuts() {
	atCut, others := c.history.servedAtCutBoxes()
	if atCut.calls < minCutCalls || others.calls < minCutCalls {
		return
	}
	if owed := int(minCutShare * others.share() * float64(atCut.calls)); atCut.whole < owed {
		c.violations = append(c.violations, fmt.Sprintf("cut boxes: %s served at boxes without links to targets, %s at others", atCut, others))
	}
}

// servedAtCutBoxes counts the calls at boxes that were cut from the targets, and those at other boxes
// while any was. The lock is held.
func (h *History) servedAtCutBoxes() (atCut, others served) {
	for i := range h.calls {
		x := &h.calls[i]
		if x.ConnectFailed || h.isDisturbed(x) || !h.hasSoundBox(x) {
			continue
		}
		switch {
		case h.wasCut(x.Box, x):
			atCut.add(x)
		case !h.isCut(x.Box, x) && h.anyWasCut(x):
			others.add(x)
		}
	}
	return atCut, others
}

// wasCut reports whether the box was cut during the whole call and for cutNotice before.
func (h *History) wasCut(box string, x *Call) bool {
	return slices.ContainsFunc(h.cut[box], func(i interval) bool {
		return x.Started.After(i.from.Add(cutNotice)) && (i.to.IsZero() || x.Ended.Before(i.to))
	})
}

// anyWasCut reports whether any box was cut during the whole call and for cutNotice before.
func (h *History) anyWasCut(x *Call) bool {
	for box := range h.cut {
		if h.wasCut(box, x) {
			return true
		}
	}
	return false
}

// hasSoundBox reports whether a box ran undisturbed and with its links during the call and for
// cutNotice before.
func (h *History) hasSoundBox(x *Call) bool {
	for id, started := range h.started {
		from := x.Started.Add(-cutNotice)
		box, _, _ := strings.Cut(id, "/")
		isCut := slices.ContainsFunc(h.cut[box], func(i interval) bool { return i.overlaps(from, x.Ended) })
		ends := func(times map[string]time.Time) bool {
			at, ok := times[id]
			return ok && at.Before(x.Ended)
		}
		isFrozen := slices.ContainsFunc(h.frozen[id], func(i interval) bool { return i.overlaps(from, x.Ended) })
		if started.Before(from) && !isCut && !isFrozen && !ends(h.killed) && !ends(h.stopping) {
			return true
		}
	}
	return false
}

// isCut reports whether the box was cut at any time during the call.
func (h *History) isCut(box string, x *Call) bool {
	return slices.ContainsFunc(h.cut[box], func(i interval) bool { return i.overlaps(x.Started, x.Ended) })
}

// isDisturbed reports whether the process of the call's box was killed or stopped, or frozen during
// the call.
func (h *History) isDisturbed(x *Call) bool {
	id := incarnationID(x.Box, x.Incarnation)
	_, killed := h.killed[id]
	_, stopping := h.stopping[id]
	return killed || stopping || slices.ContainsFunc(h.frozen[id], func(i interval) bool { return i.overlaps(x.Started, x.Ended) })
}
