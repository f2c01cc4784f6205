package balance

import (
	"slices"
	"time"
)

// expectedReturn is a caller that was refused and told when to come back.
type expectedReturn struct {
	service    string
	engineTime time.Duration
	// notedAt is when the caller was refused, promisedAt the time that it was told, and expectedAt
	// when it comes: callers come at the latest when a third of their time has passed.
	notedAt    time.Time
	promisedAt time.Time
	expectedAt time.Time
	// lastExpectedAt is until when it is expected: it may come later than told by the jitter.
	// forgottenAt is when the entry is removed.
	lastExpectedAt time.Time
	forgottenAt    time.Time
	// requestID is the id of the refused try. A retry has another one, which becomes retryID once
	// the caller has come back; timing is then when it came.
	requestID string
	retryID   string
	timing    returnTiming
}

// returnTiming is when a caller came back, relative to the time that it was told. Its values are
// metric attributes.
type returnTiming string

const (
	returnEarly  returnTiming = "early"
	returnInTime returnTiming = "in_time"
	returnLate   returnTiming = "late"
	// returnMissing means that the caller did not come back.
	returnMissing returnTiming = "missing"
)

const (
	// maxReturns bounds the expected returns that are remembered. At 11,000 requests a second, of
	// which one in fifty is long, that is half of the long prompts of four seconds. A refusal looks
	// at all of them.
	maxReturns = 512
	// returnRetention is how long after its time a caller is remembered. Later ones have given up.
	// heldRetention is the same for a caller that has come back and waits: its wait ends before.
	returnRetention = 3 * time.Second
	heldRetention   = 30 * time.Second
	// returnDivisor is the divisor of the time that a caller has left, after which it comes back at
	// the latest.
	returnDivisor = 3
	// returnJitterDivisor is the divisor of the told time that gives by how much later callers may
	// come, and returnTolerance what the network and rounding add.
	returnJitterDivisor = 10
	returnTolerance     = 50 * time.Millisecond
)

// returnTracker holds the callers that are expected back, in ascending order of expectedAt. The zero
// value is empty.
type returnTracker struct {
	list []expectedReturn
}

// note adds the caller of a job that is refused at now and told to come back after a time. A refusal
// of the same request replaces the one before. It returns those that did not come back.
func (t *returnTracker) note(j Job, now time.Time, after time.Duration) (missing []expectedReturn) {
	missing = t.expire(now)
	t.makeRoom(j.RequestID)
	r := expectedReturn{
		service: j.Service, engineTime: j.Cost.Prefill(j.PromptTokens), requestID: j.RequestID,
		notedAt: now, promisedAt: now.Add(after), expectedAt: now.Add(after),
	}
	if !j.FirstEventDeadline.IsZero() {
		if latest := now.Add(j.FirstEventDeadline.Sub(now) / returnDivisor); latest.Before(r.expectedAt) {
			r.expectedAt = latest
		}
	}
	r.lastExpectedAt = r.expectedAt.Add(r.expectedAt.Sub(now)/returnJitterDivisor + returnTolerance)
	r.forgottenAt = r.promisedAt.Add(returnRetention)
	i, _ := slices.BinarySearchFunc(t.list, r, func(e, r expectedReturn) int {
		if e.expectedAt.After(r.expectedAt) {
			return 1
		}
		return -1
	})
	t.list = slices.Insert(t.list, i, r)
	return missing
}

// makeRoom removes the entry of an earlier refusal of the same request, or else the oldest entry if
// the list is full.
func (t *returnTracker) makeRoom(requestID string) {
	oldest := 0
	for i := range t.list {
		if requestID != "" && t.list[i].requestID == requestID {
			t.list = slices.Delete(t.list, i, i+1)
			return
		}
		if t.list[i].notedAt.Before(t.list[oldest].notedAt) {
			oldest = i
		}
	}
	if len(t.list) >= maxReturns {
		t.list = slices.Delete(t.list, oldest, oldest+1)
	}
}

// expire removes the entries whose time is over. It returns those whose callers have not come back.
func (t *returnTracker) expire(now time.Time) (missing []expectedReturn) {
	kept := t.list
	for i := len(kept) - 1; i >= 0; i-- { // Hardly any is removed at a time.
		if !now.After(kept[i].forgottenAt) {
			continue
		}
		if kept[i].timing == "" {
			missing = append(missing, kept[i])
		}
		kept = slices.Delete(kept, i, i+1)
	}
	t.list = kept
	return missing
}

// isExpected reports whether the caller of a service has yet to come back at or after now.
func (r *expectedReturn) isExpected(service string, now time.Time) bool {
	return r.service == service && r.timing == "" && !r.lastExpectedAt.Before(now)
}

// upcoming returns the work of the service's callers that are expected back, in ascending order of
// its time after now. Callers whose time has just passed may come at once.
func (t *returnTracker) upcoming(service string, now time.Time) (list []returningWork) {
	list = make([]returningWork, 0, len(t.list))
	for i := range t.list {
		if r := &t.list[i]; r.isExpected(service, now) {
			list = append(list, returningWork{after: max(r.expectedAt.Sub(now), 0), engineTime: r.engineTime})
		}
	}
	return list
}

// engineTime returns the engine time of the service's callers that are expected between two times.
func (t *returnTracker) engineTime(service string, from, until time.Time) (total time.Duration) {
	for i := range t.list {
		if r := &t.list[i]; r.isExpected(service, from) && r.expectedAt.Before(until) {
			total += r.engineTime
		}
	}
	return total
}

// returned notes that the caller of a job has come back. A retry may have another request id than
// the refused try, so the caller is taken for the one of the same service and engine time whose time
// is the nearest: for the engines, these are alike.
func (t *returnTracker) returned(j Job, now time.Time) {
	engineTime := j.Cost.Prefill(j.PromptTokens)
	nearest := -1
	for i := range t.list {
		r := &t.list[i]
		if r.service != j.Service || r.engineTime != engineTime || r.timing != "" {
			continue
		}
		if nearest < 0 || now.Sub(r.expectedAt).Abs() < now.Sub(t.list[nearest].expectedAt).Abs() {
			nearest = i
		}
	}
	if nearest < 0 {
		return
	}
	r := &t.list[nearest]
	r.timing, r.retryID, r.forgottenAt = r.timingAt(now), j.RequestID, now.Add(heldRetention)
}

// timingAt returns the timing of a caller that comes back at now.
func (r *expectedReturn) timingAt(now time.Time) returnTiming {
	jitter := r.promisedAt.Sub(r.notedAt) / returnJitterDivisor
	switch {
	case now.Before(r.promisedAt.Add(-returnTolerance)):
		return returnEarly
	case now.After(r.promisedAt.Add(jitter + returnTolerance)):
		return returnLate
	default:
		return returnInTime
	}
}

// take removes the returned caller of a job. ok is false if there is none.
func (t *returnTracker) take(j Job) (r expectedReturn, ok bool) {
	i := slices.IndexFunc(t.list, func(r expectedReturn) bool { return r.timing != "" && r.retryID == j.RequestID })
	if i < 0 {
		return expectedReturn{}, false
	}
	r = t.list[i]
	t.list = slices.Delete(t.list, i, i+1)
	return r, true
}

// expectedReturns returns the engine time that returning callers of the service need between two
// times.
func (b *Balancer) expectedReturns(service string, from, until time.Time) time.Duration {
	return b.returns.engineTime(service, from, until)
}

// noteReturned notes that a caller has come back after a refusal.
func (b *Balancer) noteReturned(j Job) {
	if !j.CallerRetry || j.Cost == nil {
		return
	}
	now := b.Clock.Now()
	b.countMissing(b.returns.expire(now))
	b.returns.returned(j, now)
}

// noteReturnEnded counts a caller that came back and was placed or refused.
func (b *Balancer) noteReturnEnded(j Job, placed bool) {
	if !j.CallerRetry {
		return
	}
	if r, ok := b.returns.take(j); ok {
		b.countReturn(r.timing, placed)
	}
}

// countMissing counts callers that did not come back.
func (b *Balancer) countMissing(missing []expectedReturn) {
	for range missing {
		b.countReturn(returnMissing, false)
	}
}

func (b *Balancer) countReturn(timing returnTiming, placed bool) {
	if b.Meter != nil {
		b.Meter.CallerReturned(string(timing), placed)
	}
}

// resetReturns empties the expected returns as this box becomes the lead. Callers that an earlier
// lead has refused come back unannounced.
func (b *Balancer) resetReturns() {
	b.returns = returnTracker{}
	if b.Log != nil {
		b.Log.Info().Msg(logPrefix + "This box is now the lead. It knows of no callers that are to come back.")
	}
}
