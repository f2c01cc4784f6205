package balance

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/suspect"
)

// Work is the load of a target from one box, or from all.
type Work struct {
	// Short and Long count requests in progress: those with short prompts, or to plain services,
	// and those with long prompts.
	Short int
	Long  int
	// PendingPrefills counts the requests of Long whose prompt is not prefilled yet.
	PendingPrefills int
	// Backlog is the prefill time of what is not prefilled yet, and LeadBacklog that of the parts
	// that the lead has placed.
	Backlog     time.Duration
	LeadBacklog time.Duration
	// KVTokens is the KV cache, in tokens, that the requests take.
	KVTokens int
	// DownReports counts the boxes that have recently failed to reach the target.
	DownReports int
	// ObservedTTFT and ExpectedTTFT are decaying sums of the times to the first event of short
	// prompts: as boxes have measured them, each normalised by its own median ratio, and as the
	// cost model predicts them.
	ObservedTTFT time.Duration
	ExpectedTTFT time.Duration
}

func (w *Work) add(o Work) { w.merge(o, 1) }

// merge adds other work factor times; a factor of -1 subtracts it.
func (w *Work) merge(o Work, factor int) {
	w.Short += factor * o.Short
	w.Long += factor * o.Long
	w.PendingPrefills += factor * o.PendingPrefills
	w.Backlog += time.Duration(factor) * o.Backlog
	w.LeadBacklog += time.Duration(factor) * o.LeadBacklog
	w.KVTokens += factor * o.KVTokens
	w.DownReports += factor * o.DownReports
	w.ObservedTTFT += time.Duration(factor) * o.ObservedTTFT
	w.ExpectedTTFT += time.Duration(factor) * o.ExpectedTTFT
}

// Key identifies an incarnation of a target, or a service, between boxes, in less space than its
// id.
type Key uint32

// KeyOf returns the key of a service's name, or of the id of a target without a start time.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// KeyOfTarget returns the key of a target's incarnation. Gossip about an earlier incarnation has
// another key, so that it counts nowhere, however late it arrives.
func KeyOfTarget(t fleet.Target) Key {
	if t.StartMS == 0 {
		return KeyOf(string(t.ID))
	}
	return KeyOf(string(t.ID) + "@" + strconv.FormatInt(t.StartMS, 10))
}

// Snapshot is the work and the demand of one box, or of many.
type Snapshot struct {
	Work    map[Key]Work
	Demands map[Key]Demand
	// Statements are the statements that targets have made to any of the boxes.
	Statements map[Key]TimedStatement
	// Suspects is the evidence against requests under which targets have ended.
	Suspects map[suspect.Digest]suspect.Evidence
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() Snapshot {
	return Snapshot{
		Work:       make(map[Key]Work),
		Demands:    make(map[Key]Demand),
		Statements: make(map[Key]TimedStatement),
		Suspects:   make(map[suspect.Digest]suspect.Evidence),
	}
}

// Add adds another snapshot. The later value of each statement wins; evidence is merged.
func (s Snapshot) Add(o Snapshot) {
	s.merge(o, 1)
	suspect.Merge(s.Suspects, o.Suspects)
	for k, statement := range o.Statements {
		s.Statements[k] = s.Statements[k].later(statement)
	}
}

// Remove subtracts a snapshot that was added, but keeps its statements and evidence.
func (s Snapshot) Remove(o Snapshot) { s.merge(o, -1) }

// WithoutPrefill returns a copy of the snapshot without the prefill that is not done yet, and
// without the long prompts that wait for it, which have no stream yet.
func (s Snapshot) WithoutPrefill() Snapshot {
	work := make(map[Key]Work, len(s.Work))
	for k, w := range s.Work {
		w.Long -= w.PendingPrefills
		w.PendingPrefills, w.Backlog, w.LeadBacklog = 0, 0, 0
		work[k] = w
	}
	s.Work = work
	return s
}

func (s Snapshot) merge(o Snapshot, factor int) {
	for k, w := range o.Work {
		sum := s.Work[k]
		sum.merge(w, factor)
		s.Work[k] = sum
	}
	for k, d := range o.Demands {
		sum := s.Demands[k]
		sum.Short += float64(factor) * d.Short
		sum.Long += float64(factor) * d.Long
		s.Demands[k] = sum
	}
}

// SetOthers sets the work and demand of all other boxes.
func (b *Balancer) SetOthers(s Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = s
	b.applyPeerStatements()
	b.Suspects.Merge(s.Suspects)
	b.expirePeerPlacements()
	b.serveQueues(true)
}

// Snapshot returns this box's own work and demand.
func (b *Balancer) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := NewSnapshot()
	now := b.Clock.Now()
	b.updateSpeeds(now)
	for _, state := range b.states {
		if shared := state.speed.shared; len(state.parts) > 0 || state.isUnreachable(now) || shared.isSet() {
			w := state.ownWork(now)
			w.ObservedTTFT, w.ExpectedTTFT = shared.observed, shared.expected
			s.Work[state.key] = w
		}
		if gossip := state.heardLocally.gossip(state.statement, now); gossip != (TimedStatement{}) {
			s.Statements[state.key] = gossip
		}
	}
	suspect.Merge(s.Suspects, b.Suspects.GossipUpdate())
	for service, d := range b.demands {
		if rate := d.rate(now); rate != (Demand{}) {
			s.Demands[KeyOf(service)] = rate
		}
	}
	return s
}

// ownWork returns the work that this box has given to the target.
func (s *targetState) ownWork(now time.Time) Work {
	var w Work
	if s.isUnreachable(now) {
		w.DownReports = 1
	}
	for _, p := range s.parts {
		w.add(p.work)
		if p.byLead {
			w.LeadBacklog += p.remaining(now)
		} else {
			w.Backlog += p.remaining(now)
		}
	}
	return w
}

// totalWork returns the target's work from all boxes, as far as it is known.
func (b *Balancer) totalWork(id barleystep.TargetID) Work {
	if w, ok := b.workCache[id]; ok {
		return w
	}
	now := b.Clock.Now()
	s := b.targetState(id)
	w := s.ownWork(now)
	peers := b.peers.Work[s.key]
	if now.Before(b.leadUntil) {
		peers.LeadBacklog = s.unknownLeadBacklog(peers.LeadBacklog, w.Backlog, now)
	}
	w.add(peers)
	w.Short += s.reported.excess(w, now)
	w.Backlog, w.LeadBacklog = w.Backlog+w.LeadBacklog, 0
	if b.workCache == nil {
		b.workCache = make(map[barleystep.TargetID]Work)
	}
	b.workCache[id] = w
	return w
}
