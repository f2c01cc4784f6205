package suspect

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
)

const logPrefix = "suspect: "

// Book is what a box knows of suspects. Its exported fields are set before use; it is safe for
// concurrent use, and a nil book knows and takes in nothing.
type Registry struct {
	Clock barleystep.Clock
	Log   *log.Logger

	mu    sync.Mutex
	known map[Digest]Evidence
	// refused is told of each request that is refused from then on.
	refused func(d Digest, size int)
	// toldAll is when the others were last told of all, and not just of what is new.
	toldAll time.Time
}

// Watch has f called, by a goroutine of its own, for each request that is refused from then on.
// It is called once.
func (b *Registry) NotifyRefused(f func(d Digest, size int)) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused = f
}

// Concerns reports whether anything is known of a request with a body of the size.
func (b *Registry) HasBodySize(size int) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.known {
		if e.size == size {
			return true
		}
	}
	return false
}

// Standing returns how a request may run, and for how long that holds if it is refused.
func (b *Registry) Status(d Digest) (s Status, left time.Duration) {
	if b == nil {
		return Allowed, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	e := b.known[d]
	return e.standing(now), max(e.last().Add(e.memory()).Sub(now), 0)
}

// Known returns what is known of a request.
func (b *Registry) Evidence(d Digest) Evidence {
	if b == nil {
		return Evidence{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known[d]
}

// Ended notes that a target's lifetime has ended while it had the request.
func (b *Registry) RecordEnd(d Digest, size int, end End) {
	b.learn(d, Evidence{size: size, ends: []End{end}})
}

// Clear notes that a run of the request was whole.
func (b *Registry) RecordSuccess(d Digest, size int) {
	if b != nil && b.HasBodySize(size) {
		b.learn(d, Evidence{size: size, cleared: b.Clock.Now()})
	}
}

// Begin notes that an answer to the request has begun.
func (b *Registry) RecordAnswerStart(d Digest, size int) {
	if b != nil && b.HasBodySize(size) {
		b.learn(d, Evidence{size: size, begun: b.Clock.Now()})
	}
}

// Hear takes in what other boxes know.
func (b *Registry) Merge(told map[Digest]Evidence) {
	for d, e := range told {
		b.learn(d, e)
	}
}

func (b *Registry) learn(d Digest, e Evidence) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.known[d]
	if !known && len(e.ends) == 0 {
		return // Nothing was ever held against it here.
	}
	after := before.join(e)
	if b.known == nil {
		b.known = make(map[Digest]Evidence)
	}
	b.known[d] = after
	b.forget()
	now := b.Clock.Now()
	from, to := before.standing(now), after.standing(now)
	if from == to {
		return
	}
	b.logChange(d, after, from, to)
	if to == Refused && b.refused != nil {
		go b.refused(d, after.size)
	}
}

// forget drops what is too old to count, and what exceeds the bound.
func (b *Registry) forget() {
	now := b.Clock.Now()
	maps.DeleteFunc(b.known, func(_ Digest, e Evidence) bool { return now.Sub(e.last()) > 2*e.memory() })
	for len(b.known) > mostKnown {
		least := slices.MinFunc(slices.Collect(maps.Keys(b.known)), func(x, y Digest) int {
			e, o := b.known[x], b.known[y]
			return cmp.Or(cmp.Compare(len(e.ends), len(o.ends)), e.last().Compare(o.last()))
		})
		delete(b.known, least)
	}
}

// Told returns what is told to the other boxes now: of the requests of which something was
// learnt last. What is not new is told now and then, to those that have started since.
func (b *Registry) GossipUpdate() map[Digest]Evidence {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.known) == 0 {
		return nil
	}
	b.forget()
	latest := slices.SortedFunc(maps.Keys(b.known), func(x, y Digest) int {
		return b.known[y].last().Compare(b.known[x].last())
	})
	now := b.Clock.Now()
	all := now.Sub(b.toldAll) >= tellAllEvery
	if all {
		b.toldAll = now
	}
	told := make(map[Digest]Evidence)
	for _, d := range latest[:min(mostTold, len(latest))] {
		e := b.known[d]
		if !all && now.Sub(e.last()) >= newFor {
			continue
		}
		for _, word := range []*time.Time{&e.cleared, &e.begun} {
			if now.Sub(*word) >= clearTold {
				*word = time.Time{}
			}
		}
		told[d] = e
	}
	return told
}

// proven returns the requests that are refused, or were, and are tried alone.
func (b *Registry) proven() map[Digest]Evidence {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget()
	list := make(map[Digest]Evidence)
	for d, e := range b.known {
		if e.proven() {
			list[d] = e
		}
	}
	return list
}

// Counts returns how many requests stand how.
func (b *Registry) Counts() map[Status]int {
	counts := map[Status]int{Allowed: 0, Isolated: 0, Refused: 0}
	if b == nil {
		return counts
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, e := range b.known {
		counts[e.standing(now)]++
	}
	return counts
}

// logChange tells of a change of belief, and of what it rests on.
func (b *Registry) logChange(d Digest, e Evidence, from, to Status) {
	if b.Log == nil {
		return
	}
	line := b.Log.Info()
	if to > from {
		line = b.Log.Warn()
	}
	line.Str("digest", d.String()).Str("from", from.String()).Str("to", to.String()).
		Int("ended", len(e.ends)).Int("size", e.size).Dur("age", b.Clock.Now().Sub(e.last())).
		Msg(logPrefix + "A request is believed to run otherwise.")
}

// Join adds evidence to a set of it.
func Merge(set, more map[Digest]Evidence) {
	for d, e := range more {
		set[d] = set[d].join(e)
	}
}
