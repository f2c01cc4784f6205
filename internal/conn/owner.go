package conn

import (
	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// owner is the target that an address belongs to, and when it said that it was born; zero if
// it never did.
type owner struct {
	id      barleystep.TargetID
	startMS int64
}

// Renew tells which targets have which addresses now. Connections to an address that were made
// to another target, or to an earlier lifetime of one, are not used again: a request that is
// written to them may be taken to have run.
func (p *Pool) SetTargets(targets []fleet.Target) {
	for _, c := range p.replaceOwners(targets) {
		p.discard(c)
	}
}

// outlived notes the owners of all addresses and returns the resting connections to earlier
// ones.
func (p *Pool) replaceOwners(targets []fleet.Target) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	claims := make(map[string][]fleet.Target, len(targets))
	for _, t := range targets {
		claims[t.Addr] = append(claims[t.Addr], t)
	}
	p.pruneOwners(claims)
	var old []*Conn
	for addr, claimants := range claims {
		if !p.setOwner(addr, claimants) {
			continue
		}
		old = append(old, p.idle[addr]...)
		delete(p.idle, addr)
	}
	return old
}

// forgetOwners drops the addresses that nobody claims and to which nothing is open.
func (p *Pool) pruneOwners(claims map[string][]fleet.Target) {
	if p.owners == nil {
		p.owners = make(map[string]owner)
		p.generations = make(map[string]uint64)
	}
	for addr := range p.owners {
		if len(claims[addr]) == 0 && p.open[addr] == 0 {
			delete(p.owners, addr)
			delete(p.generations, addr)
		}
	}
}

// own notes the owner of an address and reports whether a new era begins there. While the
// owner and its successor both claim the address, it stays the owner's.
func (p *Pool) setOwner(addr string, claimants []fleet.Target) (changed bool) {
	old, known := p.owners[addr]
	t := claimants[0]
	for _, c := range claimants {
		if c.ID == old.id {
			t = c
		}
	}
	changed = known && (t.ID != old.id || t.Restarted(old.startMS))
	next := owner{t.ID, t.StartMS}
	if t.ID == old.id && t.StartMS == 0 {
		next.startMS = old.startMS
	}
	p.owners[addr] = next
	if changed {
		p.lastGeneration++
		p.generations[addr] = p.lastGeneration
	}
	return changed
}
