package conn

import (
	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// owner is the target that an address belongs to, and the start time that it stated; zero if it
// never stated one.
type owner struct {
	id      barleystep.TargetID
	startMS int64
}

// SetTargets sets the targets that the addresses belong to. Connections that were made to another
// target at the address, or to an earlier incarnation of the same one, are not used again: a
// request written to one could count as run although it was not.
func (p *Pool) SetTargets(targets []fleet.Target) {
	for _, c := range p.replaceOwners(targets) {
		p.discard(c)
	}
}

// replaceOwners records the owners of all addresses and returns the idle connections to earlier
// owners.
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

// pruneOwners drops the addresses that no target claims and that have no open connections.
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

// setOwner records the owner of an address and reports whether a new generation begins there. While
// the old owner and a new one both claim the address, it stays with the old owner.
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
