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

// The bounds that the boxes are given, and which their callers rely on.
const (
	// overtime is how much later than its limit a request may be answered; it is wide,
	// since the machine may be busy, and finds what is never answered.
	answerSlack = 10 * time.Second
	// freshness is how long after it was taken away a key may still be served.
	freshness = 5 * time.Second
	// foreignBound is how long after another writer has overwritten its entry a target
	// may still get work.
	foreignBound = 5 * time.Second
	// retryRatio, retryExtra and retryWindow are the retry budget of all boxes.
	retryRatio  = 0.2
	retryExtra  = 100
	retryWindow = 10 * time.Second
)

// Check returns all that is wrong with a history, a line each.
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
	sort.Strings(c.violations)
	return c.violations
}

// check is one examination of a history, whose lock is held.
type check struct {
	history    *History
	arrivals   map[string][]platformtest.Arrival
	violations []string
}

func (c *check) addViolation(rule, request, format string, args ...any) {
	c.violations = append(c.violations, rule+": request "+request+": "+fmt.Sprintf(format, args...))
}

// call checks what one caller got.
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
}

// once checks that what must not be repeated has run once, and that a promise that it has
// not run is true.
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

// answer checks that an answer is the request's own, of one source, and whole.
func (c *check) checkAnswer(x *Call) {
	if got := platformtest.RequestID(x.Header); got != x.ID {
		c.addViolation("own answer", x.ID, "the answer names %q", got)
	}
	digest, hasDigest := platformtest.ReadDigest(x.Header)
	switch {
	case x.Truncated && c.killed(x): // It was cut in the midst, and looks it.
	case !hasDigest && x.Status < http.StatusBadRequest:
		c.addViolation("own answer", x.ID, "a %d without a digest", x.Status)
	case !hasDigest:
		c.checkOwnAnswer(x)
	case digest.Status != x.Status:
		c.addViolation("own answer", x.ID, "a %d under the digest of a %d", x.Status, digest.Status)
	case x.Status == http.StatusOK && strings.HasPrefix(string(x.Kind), "stream"):
		c.checkStream(x)
	case x.Status == http.StatusOK:
		c.checkWholeAnswer(x, digest)
	}
}

// own checks an answer of the box itself: it holds nothing of a target's.
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

// stream checks that events come in order, without gap and repetition, from targets
// that ran this request, and that a stream that looks whole is.
func (c *check) checkStream(x *Call) {
	events := strings.SplitAfter(x.Answer, "\n\n")
	events = events[:len(events)-1] // What follows the last border is no event.
	for i, e := range events {
		if !strings.HasPrefix(e, fmt.Sprintf("id: %d\ndata: %s ", i+1, x.ID)) {
			c.addViolation("stream order", x.ID, "event %d is %q", i+1, e)
			return
		}
	}
	if !x.Truncated && len(events) != platformtest.StreamEvents {
		c.addViolation("stream order", x.ID, "it looks whole with %d events", len(events))
	}
}

// arrival checks what a target got against what the caller sent.
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
}

// foreign checks that no work goes to a target whose entry another writer has overwritten,
// once boxes that run, and a store that serves, have had the time to learn it.
func (c *check) checkForeignEntry(a platformtest.Arrival, x *Call) {
	for _, o := range c.history.overwritten[a.Target] {
		late := x.Started.After(c.entryKnownBy(o.from, x))
		if a.Run > 0 && late && o.overlaps(a.At, a.At) {
			c.addViolation("foreign entries", a.Request, "run %d of %s, sent %s after its entry was overwritten", a.Run, a.Target, x.Started.Sub(o.from))
		}
	}
}

// budget checks the retries of all boxes together in every window.
func (c *check) checkRetryBudget(calls map[string]*Call) {
	var requests, repeats []time.Time
	for _, x := range calls {
		requests = append(requests, x.Started)
	}
	for _, list := range c.arrivals {
		sort.Slice(list, func(i, k int) bool { return list[i].At.Before(list[k].At) })
		for _, a := range list[1:] {
			repeats = append(repeats, a.At)
		}
	}
	byTime := func(list []time.Time) { sort.Slice(list, func(i, k int) bool { return list[i].Before(list[k]) }) }
	byTime(requests)
	byTime(repeats)
	for i, start := range repeats {
		end := start.Add(retryWindow)
		n := sort.Search(len(repeats), func(k int) bool { return !repeats[k].Before(end) }) - i
		sent := sort.Search(len(requests), func(k int) bool { return !requests[k].Before(end) }) -
			sort.Search(len(requests), func(k int) bool { return !requests[k].Before(start.Add(-retryWindow)) })
		if float64(n) > retryRatio*float64(sent)+retryExtra {
			c.violations = append(c.violations, fmt.Sprintf("retry budget: %d repeats for %d requests", n, sent))
			return
		}
	}
}

// routes checks that no life of a box forgets a route that it has served.
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

// learnt returns when, at the latest, the call's box knows what stands in the store since
// the given time: when the store has served, and the box run, for foreignBound on end.
func (c *check) entryKnownBy(since time.Time, x *Call) time.Time {
	breaks := slices.Concat(c.history.storeDown, c.history.frozen[incarnationID(x.Box, x.Incarnation)])
	slices.SortFunc(breaks, func(a, b interval) int { return a.from.Compare(b.from) })
	for _, s := range breaks {
		switch {
		case s.from.After(since.Add(foreignBound)):
			return since.Add(foreignBound)
		case s.to.IsZero():
			return x.Ended
		case s.to.After(since):
			since = s.to
		}
	}
	return since.Add(foreignBound)
}

// Summary tells how much was seen.
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
	return fmt.Sprintf("%d requests (%d served, %d refused or failed, %d cut or unanswered), %d arrivals at targets",
		len(h.calls), served, refused, cut, len(h.arrivals))
}
