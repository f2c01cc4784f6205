package place

import (
	"container/list"

	"github.com/barleystep/barleystep"
)

// Prefixes records which prompt prefixes were sent to which targets lately. It
// forgets what was used longest ago. It is not safe for concurrent use.
type PrefixIndex struct {
	// Limit bounds the number of prefixes; the default is 16,384.
	MaxEntries int

	order  list.List
	places map[uint64]*list.Element
}

const defaultPrefixes = 16_384

type prefixPlace struct {
	hash   uint64
	target barleystep.TargetID
}

// Note records that a prompt with the prefixes was sent to the target. The
// latest target of a prefix counts.
func (p *PrefixIndex) Record(prefixes []uint64, target barleystep.TargetID) {
	if p.places == nil {
		p.places = make(map[uint64]*list.Element)
	}
	for _, h := range prefixes {
		if e, ok := p.places[h]; ok {
			e.Value = prefixPlace{h, target}
			p.order.MoveToFront(e)
			continue
		}
		p.places[h] = p.order.PushFront(prefixPlace{h, target})
	}
	p.trim()
}

func (p *PrefixIndex) trim() {
	limit := p.MaxEntries
	if limit == 0 {
		limit = defaultPrefixes
	}
	for len(p.places) > limit {
		last := p.order.Back()
		delete(p.places, last.Value.(prefixPlace).hash)
		p.order.Remove(last)
	}
}

// Forget drops what is known of a target, after it has lost its cache.
func (p *PrefixIndex) Forget(target barleystep.TargetID) {
	for e := p.order.Front(); e != nil; {
		next := e.Next()
		if place := e.Value.(prefixPlace); place.target == target {
			delete(p.places, place.hash)
			p.order.Remove(e)
		}
		e = next
	}
}

// Find returns the target that was sent the longest known prefix, and how much
// of the prompt the prefix makes up, from 0 to 1. Prefixes must be those of the
// prompt, shortest first.
func (p *PrefixIndex) Find(prefixes []uint64) (target barleystep.TargetID, part float64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e, ok := p.places[prefixes[i]]; ok {
			return e.Value.(prefixPlace).target, portion(i, len(prefixes))
		}
	}
	return "", 0
}

// portion is the part of a prompt up to its i-th of n prefixes, each twice as
// long as the one before; the prompt itself is on average half as long again
// as its longest prefix.
func portion(i, n int) float64 {
	const beyondLongest = 1.5
	part := 1 / beyondLongest
	for ; i < n-1; i++ {
		part /= 2
	}
	return part
}
