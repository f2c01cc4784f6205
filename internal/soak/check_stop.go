package soak

import (
	"fmt"
	"slices"
	"time"
)

// closeRaceWindow is how long before the close of its connection a request must have been sent to
// be sure that the box has read it: it cannot have crossed the close.
const closeRaceWindow = time.Second

// checkUnanswered checks a call that ended without any answer. That is permitted only if the box
// was killed or has not accepted the request. A box has accepted what it forwarded to a target, and
// what was sent well before the close.
func (c *check) checkUnanswered(x *Call) {
	if x.ConnectFailed || x.TimedOut || c.killed(x) || c.frozen(x) {
		return
	}
	incarnation := incarnationID(x.Box, x.Incarnation)
	_, stopping := c.history.stopping[incarnation]
	waited := x.Ended.Sub(x.Sent)
	switch {
	case len(c.arrivals[x.ID]) > 0:
		c.addViolation("no answer lost", x.ID, "%s was passed on by %s and its connection closed without an answer%s", x.Kind, incarnation, c.describeStop(x))
	case !x.Sent.IsZero() && waited > closeRaceWindow:
		c.addViolation("no answer lost", x.ID, "%s waited %s at %s and its connection closed without an answer%s", x.Kind, waited, incarnation, c.describeStop(x))
	case !x.Reused && !stopping:
		c.addViolation("no answer lost", x.ID, "%s closed a new connection without an answer", incarnation)
	}
}

// describeStop says how long after the box was told to stop the call started and ended, or returns
// an empty string.
func (c *check) describeStop(x *Call) string {
	stopped, stopping := c.history.stopping[incarnationID(x.Box, x.Incarnation)]
	if !stopping {
		return ""
	}
	return fmt.Sprintf(", sent %s and ended %s after SIGTERM", x.Started.Sub(stopped), x.Ended.Sub(stopped))
}

// killed reports whether the call's box was killed before the call ended.
func (c *check) killed(x *Call) bool {
	at, killed := c.history.killed[incarnationID(x.Box, x.Incarnation)]
	return killed && !at.After(x.Ended)
}

// frozen reports whether the call's box was frozen at any time during the call.
func (c *check) frozen(x *Call) bool {
	return slices.ContainsFunc(c.history.frozen[incarnationID(x.Box, x.Incarnation)], func(f interval) bool { return f.overlaps(x.Started, x.Ended) })
}

// checkReopened checks that no incarnation of a box accepts new connections again after it has
// refused one in a planned stop.
func (c *check) checkReopened() {
	calls := slices.Clone(c.history.calls)
	slices.SortFunc(calls, func(a, b Call) int { return a.Started.Compare(b.Started) })
	accepted, closed := make(map[string]bool), make(map[string]time.Time)
	for i := range calls {
		x := &calls[i]
		incarnation := incarnationID(x.Box, x.Incarnation)
		at, refused := closed[incarnation]
		switch {
		case x.Reused || x.TimedOut:
		case x.ConnectFailed && !refused && accepted[incarnation] && c.stopping(x):
			closed[incarnation] = x.Ended
		case x.ConnectFailed:
		case refused && x.Started.After(at):
			c.addViolation("closed stays closed", x.ID, "%s took a new connection%s, having refused one", incarnation, c.describeStop(x))
			return
		default:
			accepted[incarnation] = true
		}
	}
}

// stopping reports whether the call's box was told to stop before the call and not killed before
// its end.
func (c *check) stopping(x *Call) bool {
	at, stopping := c.history.stopping[incarnationID(x.Box, x.Incarnation)]
	return stopping && x.Started.After(at) && !c.killed(x)
}
