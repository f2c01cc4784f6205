package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// Settings of the boxes and bounds that callers may rely on.
const (
	// answerSlack is how much later than its time limit a request may be answered. It is large,
	// since the machine may be busy, and finds requests that are never answered.
	answerSlack = 10 * time.Second
	// freshness is how long a revoked key may still be accepted.
	freshness = 5 * time.Second
	// foreignBound is how long a target may still get requests after another writer has overwritten
	// its record.
	foreignBound = 5 * time.Second
	// retryRatio, retryExtra and retryWindow are the retry budget of all boxes together.
	retryRatio  = 0.2
	retryExtra  = 100
	retryWindow = 10 * time.Second
)

// Check returns all violations found in the history, one a line.
func (h *History) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &check{history: h, violations: append([]string(nil), h.violations...), arrivals: make(map[string][]platformtest.Arrival)}
	for _, a := range h.arrivals {
		c.arrivals[a.Request] = append(c.arrivals[a.Request], a)
	}
	calls := make(map[string]*Call, len(h.calls))
	for i := range h.calls {
		calls[h.calls[i].ID] = &h.calls[i]
	}
	for i := range h.calls {
		c.checkCall(&h.calls[i])
	}
	for _, a := range h.arrivals {
		c.checkArrival(a, calls[a.Request])
	}
	c.checkRetryBudget(calls)
	c.checkRoutes()
	c.checkReopened()
	c.checkDeadly(calls)
	c.checkStatements(calls)
	c.checkEvacuations(calls)
	c.checkCold(calls)
	c.checkCuts()
	c.checkStops()
	sort.Strings(c.violations)
	return c.violations
}

// check is one examination of a history. The history's lock is held.
type check struct {
	history    *History
	arrivals   map[string][]platformtest.Arrival
	violations []string
}

func (c *check) addViolation(rule, request, format string, args ...any) {
	c.violations = append(c.violations, rule+": request "+request+": "+fmt.Sprintf(format, args...))
}

// checkCall checks what a caller observed.
func (c *check) checkCall(x *Call) {
	c.checkExecutions(x)
	if took := x.Ended.Sub(x.Started); took > x.TimeLimit+answerSlack && !c.frozen(x) {
		c.addViolation("time limit", x.ID, "it took %s", took)
	}
	switch {
	case x.Status == 0:
		c.checkUnanswered(x)
	case x.TimedOut:
	default:
		c.checkAnswer(x)
	}
	if x.Status == http.StatusOK && strings.HasPrefix(string(x.Kind), "stream") {
		c.checkStream(x)
	}
}

// checkExecutions checks that a request that must not be repeated was executed at most once, and
// that a request refused with a status that denies execution was not executed.
func (c *check) checkExecutions(x *Call) {
	runs := 0
	for _, a := range c.arrivals[x.ID] {
		if a.Run > 0 {
			runs++
		}
	}
	if runs > 1 && (x.Kind == KindNonIdempotent || x.Kind == KindPlainStream) {
		c.addViolation("at most once", x.ID, "%s ran %d times", x.Kind, runs)
	}
	switch x.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			c.addViolation("true refusals", x.ID, "%s was answered %d and ran %d times", x.Kind, x.Status, runs)
		}
	}
}

// checkAnswer checks that an answer belongs to the request, comes from one source and is complete.
func (c *check) checkAnswer(x *Call) {
	if got := platformtest.RequestID(x.Header); got != x.ID {
		c.addViolation("own answer", x.ID, "the answer names %q", got)
	}
	digest, hasDigest := platformtest.ReadDigest(x.Header)
	switch {
	case x.Truncated && c.killed(x): // The box was killed during the answer.
	case !hasDigest && x.Status < http.StatusBadRequest:
		c.addViolation("own answer", x.ID, "a %d without a digest", x.Status)
	case !hasDigest:
		c.checkOwnAnswer(x)
	case digest.Status != x.Status:
		c.addViolation("own answer", x.ID, "a %d under the digest of a %d", x.Status, digest.Status)
	case x.Status == http.StatusOK && !strings.HasPrefix(string(x.Kind), "stream"):
		c.checkWholeAnswer(x, digest)
	}
}

// checkOwnAnswer checks that an answer produced by the box itself contains nothing from a target.
func (c *check) checkOwnAnswer(x *Call) {
	if strings.Contains(x.Answer, x.ID) || x.Truncated {
		c.addViolation("own answer", x.ID, "the box's own %d has %q, broken: %t", x.Status, x.Answer, x.Truncated)
	}
}

func (c *check) checkWholeAnswer(x *Call, digest platformtest.Digest) {
	want := strings.Join(platformtest.AnswerParts(x.ID, digest, x.Path, ""), "")
	if x.Truncated || x.Answer != want {
		c.addViolation("whole answer", x.ID, "broken: %t, %d of %d bytes", x.Truncated, len(x.Answer), len(want))
	}
}

// checkStream checks that the events of this request arrive in order, without gaps, duplicates or
// other bytes, and that a stream that ends normally is complete. A stream that breaks off may end
// inside an event.
func (c *check) checkStream(x *Call) {
	events := strings.SplitAfter(x.Answer, "\n\n")
	events, rest := events[:len(events)-1], events[len(events)-1]
	for i, e := range events {
		if i >= platformtest.StreamEvents || !isEvent(e, x.ID, i+1) {
			c.addViolation("stream order", x.ID, "event %d is %q", i+1, e)
			return
		}
	}
	switch {
	case rest != "" && (!x.Truncated || len(events) == platformtest.StreamEvents || !beginsEvent(rest, x.ID, len(events)+1)):
		c.addViolation("stream order", x.ID, "%q follows event %d", rest, len(events))
	case !x.Truncated && len(events) != platformtest.StreamEvents:
		c.addViolation("stream order", x.ID, "it looks whole with %d events", len(events))
	}
}

// isEvent reports whether the block is the event of the request with the number, and nothing else.
func isEvent(block, request string, number int) bool {
	data, ok := strings.CutPrefix(block, eventStart(request, number))
	return ok && strings.IndexByte(data, '\n') == len(data)-len("\n\n")
}

// beginsEvent reports whether the text may be the start of the event.
func beginsEvent(text, request string, number int) bool {
	start := eventStart(request, number)
	data, ok := strings.CutPrefix(strings.TrimSuffix(text, "\n"), start)
	return strings.HasPrefix(start, text) || ok && !strings.Contains(data, "\n")
}

// eventStart returns what an event starts with, whichever target sends it.
func eventStart(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s ", number, request)
}

// checkArrival checks what a target received against what the caller sent.
func (c *check) checkArrival(a platformtest.Arrival, x *Call) {
	if x == nil {
		c.addViolation("unchanged", a.Request, "no caller sent what reached %s", a.Target)
		return
	}
	if want := http.MethodPost + " " + x.Path; a.RequestLine != want || a.Body != x.Body {
		c.addViolation("unchanged", a.Request, "%s got %q", a.Target, a.RequestLine)
	}
	if a.HasKey {
		c.addViolation("keys stay", a.Request, "%s got the caller's key", a.Target)
	}
	if want := c.history.accounts[x.Key]; a.Tenant != want {
		c.addViolation("client accounts", a.Request, "%s got %q for %q", a.Target, a.Tenant, want)
	}
	at, gone := c.history.revoked[x.Key]
	if gone && a.Run > 0 && x.Started.After(at.Add(freshness)) {
		c.addViolation("keys taken away", a.Request, "it ran, sent %s after its key went", x.Started.Sub(at))
	}
	c.checkForeignEntry(a, x)
	c.checkListedLeave(a, x)
}

// checkForeignEntry checks that a target gets no work once another writer has overwritten its
// record and the box has had time to read it: the box was running and the store available for
// foreignBound.
func (c *check) checkForeignEntry(a platformtest.Arrival, x *Call) {
	for _, o := range c.history.overwritten[a.Target] {
		late := x.Started.After(c.entryKnownBy(o.from, x))
		if a.Run > 0 && late && o.overlaps(a.At, a.At) {
			c.addViolation("foreign entries", a.Request, "run %d of %s, sent %s after its entry was overwritten", a.Run, a.Target, x.Started.Sub(o.from))
		}
	}
}

// checkRetryBudget checks the retries of all boxes together in every window.
func (c *check) checkRetryBudget(calls map[string]*Call) {
	var requests, retries []time.Time
	for _, x := range calls {
		requests = append(requests, x.Started)
	}
	for _, list := range c.arrivals {
		sort.Slice(list, func(i, k int) bool { return list[i].At.Before(list[k].At) })
		for _, a := range list[1:] {
			retries = append(retries, a.At)
		}
	}
	byTime := func(list []time.Time) { sort.Slice(list, func(i, k int) bool { return list[i].Before(list[k]) }) }
	byTime(requests)
	byTime(retries)
	for i, start := range retries {
		end := start.Add(retryWindow)
		n := sort.Search(len(retries), func(k int) bool { return !retries[k].Before(end) }) - i
		sent := sort.Search(len(requests), func(k int) bool { return !requests[k].Before(end) }) -
			sort.Search(len(requests), func(k int) bool { return !requests[k].Before(start.Add(-retryWindow)) })
		if float64(n) > retryRatio*float64(sent)+retryExtra {
			c.violations = append(c.violations, fmt.Sprintf("retry budget: %d repeats for %d requests", n, sent))
			return
		}
	}
}

// checkRoutes checks that no incarnation of a box loses a route that it has served.
func (c *check) checkRoutes() {
	known := make(map[string]time.Time)
	for _, x := range c.history.calls {
		id := incarnationID(x.Box, x.Incarnation) + x.Path
		if at, ok := known[id]; x.Status == http.StatusOK && (!ok || x.Ended.Before(at)) {
			known[id] = x.Ended
		}
	}
	for _, x := range c.history.calls {
		at, ok := known[incarnationID(x.Box, x.Incarnation)+x.Path]
		if ok && x.Status == http.StatusNotFound && x.Started.After(at) {
			c.addViolation("configuration never back", x.ID, "%s is not found after it was served", x.Path)
		}
	}
}

// entryKnownBy returns the latest time at which the call's box knows what the store has held since
// the given time: the end of the first period of foreignBound in which the store is available and
// the box not frozen.
func (c *check) entryKnownBy(since time.Time, x *Call) time.Time {
	return c.firstUndisturbed(since, foreignBound, x, nil)
}

// never is later than any time in a history.
var never = time.Unix(1<<40, 0)

// firstUndisturbed returns the end of the first period of the given length since the given time in
// which the store is available, the call's box not frozen and none of the other faults active. It
// returns never if one of them did not end, such as a freeze of a box that was killed meanwhile.
func (c *check) firstUndisturbed(since time.Time, length time.Duration, x *Call, others []interval) time.Time {
	breaks := slices.Concat(c.history.storeDown, c.history.frozen[incarnationID(x.Box, x.Incarnation)], others)
	slices.SortFunc(breaks, func(a, b interval) int { return a.from.Compare(b.from) })
	for _, s := range breaks {
		switch {
		case s.from.After(since.Add(length)):
			return since.Add(length)
		case s.to.IsZero():
			return never
		case s.to.After(since):
			since = s.to
		}
	}
	return since.Add(length)
}

// Summary returns the counts of calls and arrivals, and the most requests within a second at a cold
// target.
func (h *History) Summary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	served, refused, cut := 0, 0, 0
	for _, x := range h.calls {
		switch {
		case x.Status == http.StatusOK && !x.Truncated:
			served++
		case x.Status == http.StatusOK || x.Status == 0:
			cut++
		default:
			refused++
		}
	}
	mostCold := 0
	for _, a := range h.arrivals {
		mostCold = max(mostCold, a.ColdCount)
	}
	return fmt.Sprintf("%d requests (%d served, %d refused or failed, %d cut or unanswered), %d arrivals at targets, at most %d a second at a cold one",
		len(h.calls), served, refused, cut, len(h.arrivals), mostCold)
}
