package conn

import (
	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// owner is the target that an address belongs to, and when it said that it was born; zero if
// it never did.
type owner struct {
	id   barleystep.TargetID
	born int64
}

// Renew tells which targets have which addresses now. Connections to an address that were made
// to another target, or to an earlier lifetime of one, are not used again: a request that is
// written to them may be taken to have run.
func (p *Pool) SetTargets(targets []fleet.Target) {
	for _, c := range p.outlived(targets) {
		p.discard(c)
	}
}

// outlived notes the owners of all addresses and returns the resting connections to earlier
// ones.
func (p *Pool) outlived(targets []fleet.Target) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	claims := make(map[string][]fleet.Target, len(targets))
	for _, t := range targets {
		claims[t.Addr] = append(claims[t.Addr], t)
	}
	p.forgetOwners(claims)
	var old []*Conn
	for addr, claimants := range claims {
		if !p.own(addr, claimants) {
			continue
		}
		old = append(old, p.idle[addr]...)
		delete(p.idle, addr)
	}
	return old
}

// forgetOwners drops the addresses that nobody claims and to which nothing is open.
func (p *Pool) forgetOwners(claims map[string][]fleet.Target) {
	if p.owners == nil {
		p.owners = make(map[string]owner)
		p.eras = make(map[string]uint64)
	}
	for addr := range p.owners {
		if len(claims[addr]) == 0 && p.open[addr] == 0 {
			delete(p.owners, addr)
			delete(p.eras, addr)
		}
	}
}

// own notes the owner of an address and reports whether a new era begins there. While the
// owner and its successor both claim the address, it stays the owner's.
func (p *Pool) own(addr string, claimants []fleet.Target) (renewed bool) {
	old, known := p.owners[addr]
	t := claimants[0]
	for _, c := range claimants {
		if c.ID == old.id {
			t = c
		}
	}
	renewed = known && (t.ID != old.id || t.Restarted(old.born))
	next := owner{t.ID, t.StartMS}
	if t.ID == old.id && t.StartMS == 0 {
		next.born = old.born
	}
	p.owners[addr] = next
	if renewed {
		p.era++
		p.eras[addr] = p.era
	}
	return renewed
}
