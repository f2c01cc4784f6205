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
	// cutSliceLength is the length of the slices of a run in which calls are compared.
	cutSliceLength = 500 * time.Millisecond
)

// served counts calls and those that were answered whole.
type served struct{ calls, whole int }

func (s *served) add(x *Call) {
	s.calls++
	if x.Status == http.StatusOK && !x.Truncated {
		s.whole++
	}
}

func (s served) plus(o served) served { return served{s.calls + o.calls, s.whole + o.whole} }

func (s served) share() float64 { return float64(s.whole) / float64(max(s.calls, 1)) }

// String returns both counts.
func (s served) String() string { return fmt.Sprintf("%d of %d", s.whole, s.calls) }

// cutSlice counts calls that began within the same cutSliceLength: those at boxes that were cut from
// the targets, and those at other boxes meanwhile.
type cutSlice struct{ atCut, others served }

// checkCuts checks that callers of boxes that reach no target themselves are served nearly as often as
// callers of other boxes at the same time, while there is a sound box that could serve as their relay.
// Shares of the whole run say little: how many targets are left, and which boxes most callers use,
// changes from one second to the next.
func (c *check) checkCuts() {
	var all cutSlice
	owed := 0.0
	for _, s := range c.history.servedAtCutBoxes() {
		if s.atCut.calls > 0 && s.others.calls > 0 {
			all = cutSlice{all.atCut.plus(s.atCut), all.others.plus(s.others)}
			owed += minCutShare * s.others.share() * float64(s.atCut.calls)
		}
	}
	if all.atCut.calls < minCutCalls || all.others.calls < minCutCalls || all.atCut.whole >= int(owed) {
		return
	}
	c.violations = append(c.violations, fmt.Sprintf("cut boxes: %s served at boxes without links to targets, %s at others", all.atCut, all.others))
}

// servedAtCutBoxes counts calls by the slice in which they began. The lock is held.
func (h *History) servedAtCutBoxes() map[time.Time]cutSlice {
	counts := make(map[time.Time]cutSlice)
	for i := range h.calls {
		x := &h.calls[i]
		if x.ConnectFailed || h.isDisturbed(x) || !h.hasSoundBox(x) {
			continue
		}
		began := x.Started.Truncate(cutSliceLength)
		s := counts[began]
		switch {
		case h.wasCut(x.Box, x):
			s.atCut.add(x)
		case !h.isCut(x.Box, x) && h.anyWasCut(x):
			s.others.add(x)
		}
		counts[began] = s
	}
	return counts
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
