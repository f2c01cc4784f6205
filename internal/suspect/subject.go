package suspect

import (
	"slices"
	"time"
)

// Subject is what there may be evidence against in one request: the request itself and the parts
// of its prompt that others may share.
type Subject struct {
	// Account is the key of the client account.
	Account uint32
	// Request is the digest of the request; zero if nobody suspects a request with such a body.
	Request  Digest
	BodySize int
	// Parts are the digests of the shared parts, in their order.
	Parts []Digest
}

// Verdict is how a request may run.
type Verdict struct {
	Status Status
	// Digest is what the request is suspected for, zero if it is Allowed, and Ended how many targets
	// have ended under that.
	Digest Digest
	Ended  int
	// Left is for how long a refused request stays so.
	Left time.Duration
}

// Assess returns how a request may run: as the worst of the request itself and its parts may. Of
// parts that are alike, the last one counts: the first are shared by most requests, whose runs are
// not to wait for those of a part behind it.
func (b *Registry) Assess(s Subject) (v Verdict) {
	if b == nil {
		return Verdict{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.known) == 0 {
		return Verdict{}
	}
	now := b.Clock.Now()
	for _, d := range append([]Digest{s.Request}, s.Parts...) {
		e, known := b.known[d]
		if !known {
			continue
		}
		status := b.statusIn(s, d, e, now)
		if status < max(v.Status, Isolated) || (status == v.Status && len(e.ends) < v.Ended) {
			continue
		}
		v = Verdict{Status: status, Digest: d, Ended: len(e.ends), Left: max(e.lastUpdate().Add(e.refusalPeriod()).Sub(now), 0)}
	}
	return v
}

// statusIn returns the status of a request by the evidence e, which is against it or a part of it.
// The lock is held.
func (b *Registry) statusIn(s Subject, d Digest, e Evidence, now time.Time) Status {
	status := e.status(now)
	if status == Refused && e.isPart() && !e.concerns(s.Account) {
		status = Isolated
	}
	if status == Allowed {
		return status
	}
	left, certain := b.unexplained(s, d, e)
	switch {
	case !e.proven() && left == 0:
		return Allowed
	case status == Refused && !certain:
		return Isolated // A run of it alone tells it from the parts that explain its ends.
	default:
		return status
	}
}

// minSharedEnds is how many ends a part that is not proven must share with another one to explain
// them: one is shared by chance.
const minSharedEnds = 2

// unexplained returns how many of the ends of e, which is against d, are not also ends of a part that
// the request lacks and that is proven to end targets. certain is set if these are evidence enough
// beside the other suspected parts that it lacks: one came while the request ran alone and none of
// them shares it, or no single one of them leaves fewer than refusedEnds. The lock is held.
func (b *Registry) unexplained(s Subject, d Digest, e Evidence) (left int, certain bool) {
	var others []Evidence
	for other, o := range b.known {
		switch {
		case other == d || !o.isPart() || slices.Contains(s.Parts, other):
		case o.proven():
			e.ends = e.without(o)
		default:
			others = append(others, o)
		}
	}
	byNone, most := e, 0
	for _, o := range others {
		if shared := len(e.ends) - len(e.without(o)); shared >= minSharedEnds {
			most = max(most, shared)
			byNone.ends = byNone.without(o)
		}
	}
	return len(e.ends), byNone.ranAlone() > 0 || len(e.ends)-most >= refusedEnds
}

// RecordEndOf records that an incarnation of a target has ended while it had the request. Parts of
// a prompt to which the answer had begun are not to blame.
func (b *Registry) RecordEndOf(s Subject, end End) {
	end = end.WithAccount(s.Account)
	b.add(s.Request, Evidence{bodySize: s.BodySize, ends: []End{end}})
	if !end.Has(BeforeFirstEvent) {
		return
	}
	for _, d := range s.Parts {
		b.add(d, Evidence{bodySize: partSize, ends: []End{end}})
	}
}

// RecordSuccessOf records that a run of the request has completed.
func (b *Registry) RecordSuccessOf(s Subject) { b.recordSurvival(s, b.RecordSuccess) }

// RecordAnswerStartOf records that an answer to the request has begun. No part of its prompt ends
// targets then.
func (b *Registry) RecordAnswerStartOf(s Subject) { b.recordSurvival(s, b.RecordAnswerStart) }

// recordSurvival clears the parts of the request, and records for the request itself what has
// happened.
func (b *Registry) recordSurvival(s Subject, record func(d Digest, bodySize int)) {
	if b == nil {
		return
	}
	if s.Request != (Digest{}) {
		record(s.Request, s.BodySize)
	}
	now := b.Clock.Now()
	for _, d := range s.Parts {
		b.add(d, Evidence{bodySize: partSize, lastSuccess: now})
	}
}

// SuspectsParts reports whether there is evidence against parts of prompts.
func (b *Registry) SuspectsParts() bool { return b.HasBodySize(partSize) }
