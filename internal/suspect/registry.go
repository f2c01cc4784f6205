package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

const logPrefix = "suspect: "

// Registry holds a box's evidence against suspects. Its exported fields are set before use; it is
// safe for concurrent use, and a nil registry is empty and ignores all evidence.
type Registry struct {
	Clock barleystep.Clock
	Log   *log.Logger

	mu    mutex.Mutex
	known map[Digest]Evidence
	// onRefused is called after the status of a request or part becomes Refused.
	onRefused func()
	// lastFullUpdate is when all evidence was last gossiped, not only what is recent.
	lastFullUpdate time.Time
}

// NotifyRefused has f called, in a goroutine of its own, each time that the status of a request or
// part becomes Refused. It is called once.
func (b *Registry) NotifyRefused(f func()) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onRefused = f
}

// HasBodySize reports whether there is evidence against a request with a body of this size.
func (b *Registry) HasBodySize(bodySize int) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.known {
		if e.bodySize == bodySize {
			return true
		}
	}
	return false
}

// Status returns how a request may run, and for how long that holds if it is refused.
func (b *Registry) Status(d Digest) (s Status, left time.Duration) {
	if b == nil {
		return Allowed, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	e := b.known[d]
	return e.status(now), max(e.lastUpdate().Add(e.refusalPeriod()).Sub(now), 0)
}

// Evidence returns the evidence against a request.
func (b *Registry) Evidence(d Digest) Evidence {
	if b == nil {
		return Evidence{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known[d]
}

// RecordEnd records that an incarnation of a target has ended while it had the request.
func (b *Registry) RecordEnd(d Digest, bodySize int, end End) {
	b.add(d, Evidence{bodySize: bodySize, ends: []End{end}})
}

// RecordSuccess records that a run of the request has completed.
func (b *Registry) RecordSuccess(d Digest, bodySize int) {
	if b != nil && b.HasBodySize(bodySize) {
		b.add(d, Evidence{bodySize: bodySize, lastSuccess: b.Clock.Now()})
	}
}

// RecordAnswerStart records that an answer to the request has begun.
func (b *Registry) RecordAnswerStart(d Digest, bodySize int) {
	if b != nil && b.HasBodySize(bodySize) {
		b.add(d, Evidence{bodySize: bodySize, lastAnswerStart: b.Clock.Now()})
	}
}

// Merge takes in the evidence of other boxes.
func (b *Registry) Merge(peers map[Digest]Evidence) {
	for d, e := range peers {
		b.add(d, e)
	}
}

func (b *Registry) add(d Digest, e Evidence) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.known[d]
	if len(e.ends) == 0 && (!known || len(before.ends) == 0) {
		return // There is no evidence against it here.
	}
	after := before.merge(e)
	if b.known == nil {
		b.known = make(map[Digest]Evidence)
	}
	b.known[d] = after
	b.prune()
	now := b.Clock.Now()
	from, to := before.status(now), after.status(now)
	if from == to {
		return
	}
	b.logStatusChange(d, after, from, to)
	if to == Refused && b.onRefused != nil {
		go b.onRefused()
	}
}

// prune drops evidence that is too old to count or exceeds maxSubjects.
func (b *Registry) prune() {
	now := b.Clock.Now()
	maps.DeleteFunc(b.known, func(_ Digest, e Evidence) bool { return now.Sub(e.lastUpdate()) > 2*e.refusalPeriod() })
	if len(b.known) <= maxSubjects {
		return
	}
	owned := make(map[uint32]int)
	for _, e := range b.known {
		owned[e.owner()]++
	}
	for len(b.known) > maxSubjects {
		least := slices.MinFunc(slices.Collect(maps.Keys(b.known)), func(x, y Digest) int {
			e, o := b.known[x], b.known[y]
			return cmp.Or(cmp.Compare(len(e.ends), len(o.ends)), cmp.Compare(owned[o.owner()], owned[e.owner()]), e.lastUpdate().Compare(o.lastUpdate()))
		})
		owned[b.known[least].owner()]--
		delete(b.known, least)
	}
}

// GossipUpdate returns the evidence to gossip now, most recently updated first up to maxGossiped
// requests. Evidence that is not recent is included once per fullUpdateInterval, for boxes that
// have started since.
func (b *Registry) GossipUpdate() map[Digest]Evidence {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.known) == 0 {
		return nil
	}
	b.prune()
	now := b.Clock.Now()
	isRecent := func(e Evidence) bool { return now.Sub(e.lastUpdate()) < recentPeriod }
	latest := slices.SortedFunc(maps.Keys(b.known), func(x, y Digest) int {
		e, o := b.known[x], b.known[y]
		if isRecent(e) && isRecent(o) && len(e.ends) != len(o.ends) {
			return cmp.Compare(len(o.ends), len(e.ends)) // What ends many targets is told before what may have been beside it.
		}
		return o.lastUpdate().Compare(e.lastUpdate())
	})
	all := now.Sub(b.lastFullUpdate) >= fullUpdateInterval
	if all {
		b.lastFullUpdate = now
	}
	update := make(map[Digest]Evidence)
	for _, d := range latest[:min(maxGossiped, len(latest))] {
		e := b.known[d]
		if !all && !isRecent(e) {
			continue
		}
		for _, t := range []*time.Time{&e.lastSuccess, &e.lastAnswerStart} {
			if now.Sub(*t) >= successGossipTime {
				*t = time.Time{}
			}
		}
		update[d] = e
	}
	return update
}

// proven returns the evidence against requests that are refused, or were and are now tried alone.
func (b *Registry) proven() map[Digest]Evidence {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune()
	list := make(map[Digest]Evidence)
	for d, e := range b.known {
		if e.proven() {
			list[d] = e
		}
	}
	return list
}

// Counts returns the number of requests by status.
func (b *Registry) Counts() map[Status]int {
	counts := map[Status]int{Allowed: 0, Isolated: 0, Refused: 0}
	if b == nil {
		return counts
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, e := range b.known {
		counts[e.status(now)]++
	}
	return counts
}

// logStatusChange logs a change of a request's status with the evidence for it.
func (b *Registry) logStatusChange(d Digest, e Evidence, from, to Status) {
	if b.Log == nil {
		return
	}
	line := b.Log.Info()
	if to > from {
		line = b.Log.Warn()
	}
	line.Str("digest", d.String()).Str("from", from.String()).Str("to", to.String()).
		Int("ended", len(e.ends)).Bool("part", e.isPart()).Int("size", e.bodySize).Dur("age", b.Clock.Now().Sub(e.lastUpdate())).
		Msg(logPrefix + "The status of a suspected request has changed.")
}

// Merge adds the evidence in more to set.
func Merge(set, more map[Digest]Evidence) {
	for d, e := range more {
		set[d] = set[d].merge(e)
	}
}
