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
	if c.excused(x) {
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

const (
	// signalTime is how long a box may take to notice that it was told to stop.
	signalTime = 500 * time.Millisecond
	// servedGrace is for how long of its grace period a stopping box works on what it has accepted.
	servedGrace = 7 * time.Second
	// breakTime is how long after a fault at its target an answer may break: silence is noticed late.
	breakTime = 3 * time.Second
	// maxCrossings bounds the requests that cross the closes of one stop.
	maxCrossings = 3
)

// checkStops accounts for each request that was at a box between the signal to stop and its end. It
// has one of these ends:
//   - a complete answer, or a refusal. Those to requests sent after the signal say that the connection
//     is closed.
//   - a broken stream. Its target or the box's links failed just before, or at any time if another target
//     could have resumed it; or it began before the signal, and was cut when the box had worked on it for
//     servedGrace.
//   - no answer, since it crossed the close of a kept connection. These are few, and the box serves
//     nobody afterwards: it closes connections that say nothing when it ends, not before.
//
// Boxes that were killed or frozen are excused, and so are requests whose callers gave up.
func (c *check) checkStops() {
	crossed := make(map[string][]*Call)
	served := make(map[string]time.Time) // served holds when the last answered request was sent.
	for i := range c.history.calls {
		x := &c.history.calls[i]
		id := incarnationID(x.Box, x.Incarnation)
		stopped, stopping := c.history.stopping[id]
		if !stopping || x.Ended.Before(stopped) || c.excused(x) {
			continue
		}
		switch {
		case x.Status == 0 && c.wasRead(x): // checkUnanswered reports it.
		case x.Status == 0:
			crossed[id] = append(crossed[id], x)
		case x.Truncated:
			c.checkCutStream(x, stopped)
		default:
			c.checkTold(x, stopped)
		}
		if x.Status != 0 && x.Started.After(served[id]) {
			served[id] = x.Started
		}
	}
	for id, list := range crossed {
		c.checkCrossings(id, list, served[id])
	}
}

// excused reports whether the box need not have answered: it was killed or frozen, or the caller did
// not connect or gave up.
func (c *check) excused(x *Call) bool {
	return x.ConnectFailed || x.TimedOut || c.killed(x) || c.frozen(x)
}

// wasRead reports whether the box has read the request: it has passed it on, or had the time to.
func (c *check) wasRead(x *Call) bool {
	return len(c.arrivals[x.ID]) > 0 || !x.Sent.IsZero() && x.Ended.Sub(x.Sent) > closeRaceWindow
}

// checkTold checks that an answer to a request that was sent while the box was stopping closes its
// connection.
func (c *check) checkTold(x *Call, stopped time.Time) {
	if x.Started.After(stopped.Add(signalTime)) && !x.Closes {
		c.addViolation("told close", x.ID, "the %d leaves the connection open%s", x.Status, c.describeStop(x))
	}
}

// checkCutStream checks that a stop has not cut a stream that could have ended or been refused.
func (c *check) checkCutStream(x *Call, stopped time.Time) {
	if x.Started.Before(stopped) && x.Ended.Sub(stopped) >= servedGrace {
		return
	}
	faults := slices.Clone(c.history.cut[x.Box])
	for _, a := range c.arrivals[x.ID] {
		faults = append(faults, c.history.troubled[c.history.slots[a.Target]]...)
	}
	from := x.Ended.Add(-breakTime)
	if x.Kind == KindResumableStream {
		from = x.Started // It waits for another target for as long as the box works.
	}
	if slices.ContainsFunc(faults, func(f interval) bool { return f.overlaps(from, x.Ended) }) {
		return
	}
	c.addViolation("no stream cut by a stop", x.ID, "%s broke off after %d bytes%s", x.Kind, len(x.Answer), c.describeStop(x))
}

// checkCrossings checks the requests without an answer of one stop.
func (c *check) checkCrossings(id string, list []*Call, served time.Time) {
	if len(list) > maxCrossings {
		c.addViolation("few cross the close", list[0].ID, "and %d others: %s closed connections without an answer%s", len(list)-1, id, c.describeStop(list[0]))
	}
	for _, x := range list {
		switch {
		case !x.Reused:
			c.addViolation("new connections are answered", x.ID, "%s closed one without an answer%s", id, c.describeStop(x))
		case served.After(x.Ended.Add(closeRaceWindow)):
			c.addViolation("open until the end", x.ID, "%s closed a kept connection, and served %s later%s", id, served.Sub(x.Ended), c.describeStop(x))
		}
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
