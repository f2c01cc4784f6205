package place

import (
	"container/list"

	"github.com/barleystep/barleystep"
)

// PrefixIndex records to which targets prompt prefixes were last sent. It evicts the least recently
// recorded prefixes. It is not safe for concurrent use.
type PrefixIndex struct {
	// MaxEntries bounds the number of prefixes; the default is 16,384.
	MaxEntries int

	recency list.List
	entries map[uint64]*list.Element
}

const defaultMaxEntries = 16_384

type prefixEntry struct {
	hash   uint64
	target barleystep.TargetID
}

// Record records that a prompt with the prefixes was sent to the target. It replaces earlier targets of
// the prefixes.
func (p *PrefixIndex) Record(prefixes []uint64, target barleystep.TargetID) {
	if p.entries == nil {
		p.entries = make(map[uint64]*list.Element)
	}
	for _, h := range prefixes {
		if e, ok := p.entries[h]; ok {
			e.Value = prefixEntry{h, target}
			p.recency.MoveToFront(e)
			continue
		}
		p.entries[h] = p.recency.PushFront(prefixEntry{h, target})
	}
	p.evict()
}

func (p *PrefixIndex) evict() {
	limit := p.MaxEntries
	if limit == 0 {
		limit = defaultMaxEntries
	}
	for len(p.entries) > limit {
		last := p.recency.Back()
		delete(p.entries, last.Value.(prefixEntry).hash)
		p.recency.Remove(last)
	}
}

// Forget removes the entries of a target that has lost its cache.
func (p *PrefixIndex) Forget(target barleystep.TargetID) {
	for e := p.recency.Front(); e != nil; {
		next := e.Next()
		if entry := e.Value.(prefixEntry); entry.target == target {
			delete(p.entries, entry.hash)
			p.recency.Remove(e)
		}
		e = next
	}
}

// Find returns the target that was last sent the longest known prefix, and the prefix's share of the
// prompt, from 0 to 1. Prefixes must be those of the prompt, shortest first. It returns "" if no
// prefix is known.
func (p *PrefixIndex) Find(prefixes []uint64) (target barleystep.TargetID, share float64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e, ok := p.entries[prefixes[i]]; ok {
			return e.Value.(prefixEntry).target, promptShare(i, len(prefixes))
		}
	}
	return "", 0
}

// promptShare returns the share of a prompt that its i-th of n prefixes makes up. Each prefix is twice
// as long as the one before, and the prompt is on average half as long again as its longest prefix.
func promptShare(i, n int) float64 {
	const beyondLongest = 1.5
	share := 1 / beyondLongest
	for ; i < n-1; i++ {
		share /= 2
	}
	return share
}
