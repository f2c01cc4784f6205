// Package suspect records under which requests targets have ended, so that a request which ends
// every target that runs it is not sent to all of them.
package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// End is the end of a target's incarnation while it had a request.
type End struct {
	// key identifies the incarnation between boxes.
	key   uint32
	at    time.Time
	flags EndFlags
	// account identifies the client account of the request between boxes.
	account uint32
}

// EndFlags tells how a request ran at a target that ended. Flags are combined with |.
type EndFlags uint8

const (
	// BeforeFirstEvent means that the target had sent no event or answer for the request yet: a
	// request that ends its target mostly does so at once.
	BeforeFirstEvent EndFlags = 1 << iota
	// RanAlone means that the request ran alone there, so that hardly anything else can have ended
	// the target.
	RanAlone
)

// NewEnd returns the end of the incarnation with the key.
func NewEnd(key uint32, at time.Time, flags EndFlags) End { return End{key: key, at: at, flags: flags} }

// WithAccount returns the end with the key of the client account whose request the target had.
func (e End) WithAccount(account uint32) End {
	e.account = account
	return e
}

// Account returns the key of the client account whose request the target had.
func (e End) Account() uint32 { return e.account }

// AccountKey returns the key of a client account in ends.
func AccountKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Key returns the key of the incarnation.
func (e End) Key() uint32 { return e.key }

// At returns when the end was observed.
func (e End) At() time.Time { return e.at }

// Flags returns how the request ran there.
func (e End) Flags() EndFlags { return e.flags }

// Has reports whether the end has the flag.
func (e End) Has(m EndFlags) bool { return e.flags&m != 0 }

// Evidence is what is known of one request, or of one part of prompts. Merging evidence is
// commutative and idempotent, so boxes may exchange it in any order and any number of times.
type Evidence struct {
	// bodySize is the length of the request's body in bytes, or partSize.
	bodySize int
	// ends are the last maxEnds ends of incarnations under the request since its last success.
	ends []End
	// lastSuccess is when a run of the request last completed, and lastAnswerStart when an answer
	// to it last began; zero if never.
	lastSuccess     time.Time
	lastAnswerStart time.Time
}

// partSize stands in the place of the length of a body in the evidence against a part.
const partSize = -1

// isPart reports whether the evidence is against a part of prompts.
func (e Evidence) isPart() bool { return e.bodySize == partSize }

// NewEvidence returns the evidence against a request with a body of the given size.
func NewEvidence(bodySize int, ends []End, lastSuccess, lastAnswerStart time.Time) Evidence {
	return Evidence{bodySize: bodySize, ends: ends, lastSuccess: lastSuccess, lastAnswerStart: lastAnswerStart}
}

// BodySize returns the length of the request's body in bytes.
func (e Evidence) BodySize() int { return e.bodySize }

// Ends returns the ends of incarnations under the request since its last success.
func (e Evidence) Ends() []End { return e.ends }

// LastSuccess returns when a run of the request last completed, zero if never.
func (e Evidence) LastSuccess() time.Time { return e.lastSuccess }

// LastAnswerStart returns when an answer to the request last began, zero if never.
func (e Evidence) LastAnswerStart() time.Time { return e.lastAnswerStart }

// maxEnds is how many ends are kept of a request: one more than are needed to refuse it with
// certainty, as some may come at the same time.
const maxEnds = certainEnds + 1

// merge returns the union of both.
func (e Evidence) merge(o Evidence) Evidence {
	out := Evidence{bodySize: o.bodySize, lastSuccess: later(e.lastSuccess, o.lastSuccess), lastAnswerStart: later(e.lastAnswerStart, o.lastAnswerStart)}
	for _, end := range slices.Concat(e.ends, o.ends) {
		out.add(end)
	}
	out.ends = slices.DeleteFunc(out.ends, func(end End) bool { return !end.at.After(out.lastSuccess) })
	return out
}

// add adds an end. Of a known end the earlier time is kept, since an end that was relayed by peers
// looks more recent than it is.
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

// lastUpdate returns the time of the latest end or success.
func (e Evidence) lastUpdate() time.Time {
	lastUpdate := e.lastSuccess
	for _, end := range e.ends {
		if end.at.After(lastUpdate) {
			lastUpdate = end.at
		}
	}
	return lastUpdate
}

// ranAlone returns how many targets have ended while the request ran alone.
func (e Evidence) ranAlone() int {
	n := 0
	for _, end := range e.ends {
		if end.Has(RanAlone) {
			n++
		}
	}
	return n
}

// proven reports whether the request is refused, or was and is now tried alone.
func (e Evidence) proven() bool { return len(e.ends) >= refusedEnds && e.ranAlone() > 0 }

// checksum returns a number that changes whenever an end is added.
func (e Evidence) checksum() (checksum uint64) {
	for _, end := range e.ends {
		checksum += uint64(end.key) + 1
	}
	return checksum
}

// refusalPeriod returns for how long after the latest update the request is refused.
func (e Evidence) refusalPeriod() time.Duration {
	if len(e.ends) >= certainEnds && e.ranAlone() >= certainRanAlone {
		return CertainRefusalPeriod
	}
	return RefusalPeriod
}

// status returns how the request may run.
func (e Evidence) status(now time.Time) Status {
	if len(e.ends) == 0 {
		return Allowed
	}
	// Once another target has prefilled it without harm, its prefill is not what ended the target.
	unread := func(end End) bool { return end.Has(BeforeFirstEvent) && end.at.After(e.lastAnswerStart) }
	young := now.Sub(e.lastUpdate()) < e.refusalPeriod()
	switch {
	case e.proven() && young:
		return Refused
	case len(e.ends) >= isolatedEnds:
		return Isolated
	case e.isPart() && e.ranAlone() > 0: // One end beside others is not enough: sound requests share parts.
		return Isolated
	case !e.isPart() && slices.ContainsFunc(e.ends, unread):
		return Isolated
	default:
		return Allowed
	}
}

// without returns the ends under this evidence that were not under the other. Of the other, only the
// last maxEnds are known: earlier ones count as its own.
func (e Evidence) without(o Evidence) (ends []End) {
	var earliest time.Time
	if len(o.ends) >= maxEnds {
		earliest = slices.MinFunc(o.ends, func(x, y End) int { return x.at.Compare(y.at) }).at
	}
	for _, end := range e.ends {
		isShared := slices.ContainsFunc(o.ends, func(other End) bool { return other.key == end.key })
		if !isShared && !end.at.Before(earliest) {
			ends = append(ends, end)
		}
	}
	return ends
}

// concerns reports whether the evidence counts in full against requests of an account: targets have
// ended under such a request, or under those of two accounts. What one account causes does not get
// the requests of others refused.
func (e Evidence) concerns(account uint32) bool {
	return slices.ContainsFunc(e.ends, func(end End) bool {
		return end.account == account || end.account != e.ends[0].account
	})
}

// owner returns the account whose request the latest end was under.
func (e Evidence) owner() uint32 {
	if len(e.ends) == 0 {
		return 0
	}
	return slices.MaxFunc(e.ends, func(x, y End) int { return x.at.Compare(y.at) }).account
}
