package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// Work is what a target has to do for one box, or for all.
type Work struct {
	// Light and Heavy count requests in progress: those with short prompts, or
	// to plain services, and those with long prompts.
	Light int
	Heavy int
	// Backlog is the time that it takes to read what has not been read.
	Backlog time.Duration
	// Memory is the KV memory, in tokens, that the requests take.
	Memory int
}

func (w *Work) add(o Work) {
	w.Light += o.Light
	w.Heavy += o.Heavy
	w.Backlog += o.Backlog
	w.Memory += o.Memory
}

func (w *Work) remove(o Work) {
	w.Light -= o.Light
	w.Heavy -= o.Heavy
	w.Backlog -= o.Backlog
	w.Memory -= o.Memory
}

// Snapshot is what one box tells the others of its work.
type Snapshot struct {
	Work    map[barleystep.TargetID]Work
	Demands map[string]Demand
}

// remote is the last snapshot of another box.
type remote struct {
	snapshot Snapshot
	at       time.Time
}

// remoteLife is how long a snapshot counts: some lost messages should not make
// a box's work vanish, and a box that is gone should soon stop to count.
const remoteLife = 1200 * time.Millisecond

// Learn takes in the snapshot of another box.
func (b *Balancer) Learn(box barleystep.BoxID, s Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remotes == nil {
		b.remotes = make(map[barleystep.BoxID]remote)
	}
	b.remotes[box] = remote{snapshot: s, at: b.Clock.Now()}
}

// Snapshot returns this box's work and demand.
func (b *Balancer) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{Work: make(map[barleystep.TargetID]Work), Demands: make(map[string]Demand)}
	for id, state := range b.states {
		if state.own != (Work{}) {
			s.Work[id] = state.own
		}
	}
	now := b.Clock.Now()
	for service, d := range b.demands {
		if rate := d.rate(now); rate != (Demand{}) {
			s.Demands[service] = rate
		}
	}
	return s
}

// work returns the target's work for all boxes, as far as it is known.
func (b *Balancer) work(id barleystep.TargetID) Work {
	var w Work
	if s := b.states[id]; s != nil {
		w = s.own
	}
	now := b.Clock.Now()
	for box, r := range b.remotes {
		if now.Sub(r.at) > remoteLife {
			delete(b.remotes, box)
			continue
		}
		w.add(r.snapshot.Work[id])
	}
	return w
}
