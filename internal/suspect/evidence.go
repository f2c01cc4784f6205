// Package suspect remembers under which requests targets have ended, so that a request which
// ends whatever runs it is not sent to all of them.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

// End is a target's lifetime that ended while it had a request.
type End struct {
	// key names the lifetime between boxes.
	key   uint32
	at    time.Time
	flags EndFlags
}

// Mark tells how a request ran at a target that ended. Marks are joined with |.
type EndFlags uint8

const (
	// Unread means that the request had no event or answer of the target yet: what ends a
	// target mostly does so at once.
	BeforeFirstEvent EndFlags = 1 << iota
	// Lone means that the request ran alone there: hardly anything else can have ended it.
	RanAlone
)

// NewEnd returns the end of the lifetime with the key.
func NewEnd(key uint32, at time.Time, flags EndFlags) End { return End{key: key, at: at, flags: flags} }

// Key returns the key of the lifetime.
func (e End) Key() uint32 { return e.key }

// At returns when it was seen to have ended.
func (e End) At() time.Time { return e.at }

// Marks returns how the request ran there.
func (e End) Flags() EndFlags { return e.flags }

// Has reports whether the end has the mark.
func (e End) Has(m EndFlags) bool { return e.flags&m != 0 }

// Evidence is what is known of one request. Evidence of several boxes is joined in any order
// and any number of times with the same outcome.
type Evidence struct {
	// size is the length of its body.
	bodySize int
	// ends are the lifetimes that ended under it since it was last cleared, the last mostEnds.
	ends []End
	// cleared is when a run of it was last whole, and begun when an answer to it last began,
	// zero if none did.
	lastSuccess     time.Time
	lastAnswerStart time.Time
}

// NewEvidence returns the evidence against a request with a body of the size.
func NewEvidence(bodySize int, ends []End, lastSuccess, lastAnswerStart time.Time) Evidence {
	return Evidence{bodySize: bodySize, ends: ends, lastSuccess: lastSuccess, lastAnswerStart: lastAnswerStart}
}

// Size returns the length of the request's body.
func (e Evidence) BodySize() int { return e.bodySize }

// Ends returns the lifetimes that ended under the request since it was last cleared.
func (e Evidence) Ends() []End { return e.ends }

// Cleared returns when a run of the request was last whole, zero if none was.
func (e Evidence) LastSuccess() time.Time { return e.lastSuccess }

// Begun returns when an answer to the request last began, zero if none did.
func (e Evidence) LastAnswerStart() time.Time { return e.lastAnswerStart }

// mostEnds is how many ends are kept of a request: one more than it takes to refuse it beyond
// doubt, as some may come at the same time.
const maxEnds = certainEnds + 1

// join returns both evidences in one.
func (e Evidence) merge(o Evidence) Evidence {
	out := Evidence{bodySize: max(e.bodySize, o.bodySize), lastSuccess: later(e.lastSuccess, o.lastSuccess), lastAnswerStart: later(e.lastAnswerStart, o.lastAnswerStart)}
	for _, end := range slices.Concat(e.ends, o.ends) {
		out.add(end)
	}
	out.ends = slices.DeleteFunc(out.ends, func(end End) bool { return !end.at.After(out.lastSuccess) })
	return out
}

// add enters an end; of one that is known the earlier time holds, since what was told by way
// of others looks younger than it is.
func (e *Evidence) add(end End) {
	same := func(o End) bool { return o.key == end.key }
	if i := slices.IndexFunc(e.ends, same); i >= 0 {
		known := &e.ends[i]
		known.flags |= end.flags
		if end.at.Before(known.at) {
			known.at = end.at
		}
		return
	}
	e.ends = append(slices.Clip(e.ends), end)
	if len(e.ends) > maxEnds {
		oldest := slices.MinFunc(e.ends, func(x, y End) int {
			return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.key, y.key))
		})
		e.ends = slices.DeleteFunc(e.ends, func(o End) bool { return o.key == oldest.key })
	}
}

func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}

// last returns when something was last learnt.
func (e Evidence) lastUpdate() time.Time {
	lastUpdate := e.lastSuccess
	for _, end := range e.ends {
		if end.at.After(lastUpdate) {
			lastUpdate = end.at
		}
	}
	return lastUpdate
}

// lone returns how many targets have ended while the request ran alone.
func (e Evidence) ranAlone() int {
	n := 0
	for _, end := range e.ends {
		if end.Has(RanAlone) {
			n++
		}
	}
	return n
}

// proven reports whether the request is refused, or was, and is tried alone.
func (e Evidence) proven() bool { return len(e.ends) >= refusedEnds && e.ranAlone() > 0 }

// sum returns a number that changes whenever an end is added.
func (e Evidence) checksum() (checksum uint64) {
	for _, end := range e.ends {
		checksum += uint64(end.key) + 1
	}
	return checksum
}

// memory returns for how long what was learnt last refuses the request.
func (e Evidence) refusalPeriod() time.Duration {
	if len(e.ends) >= certainEnds && e.ranAlone() >= certainRanAlone {
		return CertainRefusalPeriod
	}
	return RefusalPeriod
}

// standing returns how the request stands.
func (e Evidence) status(now time.Time) Status {
	if len(e.ends) == 0 {
		return Allowed
	}
	// Once it was read elsewhere without harm, reading it is not what ended the target.
	unread := func(end End) bool { return end.Has(BeforeFirstEvent) && end.at.After(e.lastAnswerStart) }
	young := now.Sub(e.lastUpdate()) < e.refusalPeriod()
	switch {
	case e.proven() && young:
		return Refused
	case len(e.ends) >= isolatedEnds, slices.ContainsFunc(e.ends, unread):
		return Isolated
	default:
		return Allowed
	}
}
