package member

import (
	"slices"
	"strings"
	"time"

	"github.com/barleystep/barleystep"
)

// Settings tunes the detection. The zero value takes the defaults.
type Settings struct {
	// Every is the time between heartbeats; the default is 500 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a watched box may be silent; the default is five
	// heartbeats.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspect has to contradict; the default is five
	// heartbeats.
	DeadAfter time.Duration
	// ForgetAfter is how long a dead box is remembered; the default is 10
	// minutes.
	ForgetAfter time.Duration
}

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultMissedHeartbeats  = 5
	defaultForgetAfter       = 10 * time.Minute
	// rings is how many rings the boxes form. Each box beats to its successor in
	// every ring, so the cost of a box does not depend on their number. Four
	// random rings together are a graph in which news reaches 400 boxes in about
	// five beats.
	ringCount = 4
	// updatesPerBeat bounds what one heartbeat carries.
	maxUpdatesPerHeartbeat = 8
)

func (s Settings) withDefaults() Settings {
	if s.HeartbeatInterval == 0 {
		s.HeartbeatInterval = defaultHeartbeatInterval
	}
	if s.SuspectAfter == 0 {
		s.SuspectAfter = defaultMissedHeartbeats * s.HeartbeatInterval
	}
	if s.DeadAfter == 0 {
		s.DeadAfter = defaultMissedHeartbeats * s.HeartbeatInterval
	}
	if s.ForgetAfter == 0 {
		s.ForgetAfter = defaultForgetAfter
	}
	return s
}

// State is a box's picture of its hall. It is a state machine without
// goroutines, and not safe for concurrent use.
type State struct {
	settings       Settings
	self           Update
	hall           barleystep.HallID
	peers          map[barleystep.BoxID]*peer
	lastTick       time.Time
	monitoredSince map[barleystep.BoxID]time.Time // watched says since when this box has watched a peer.
	events         []Event
	ringOrders     [ringCount][]barleystep.BoxID // order is the rings; empty after a change.
	deadSenders    map[barleystep.BoxID]bool     // answers names dead boxes that were heard and must be told.
	ticks          int
}

type peer struct {
	Update
	lastHeard     time.Time // heard is when the box itself was last heard.
	statusSince   time.Time // since is when the status last changed.
	transmissions int       // told is how often the status was passed on.
}

// Event is a change that the state has seen.
type Event struct {
	Box    barleystep.BoxID
	Status Status
}

// NewState returns the state of a box that knows only itself.
func NewState(s Settings, self Update, hall barleystep.HallID) *State {
	self.Status = StatusAlive
	return &State{
		settings:       s.withDefaults(),
		self:           self,
		hall:           hall,
		peers:          make(map[barleystep.BoxID]*peer),
		monitoredSince: make(map[barleystep.BoxID]time.Time),
		deadSenders:    make(map[barleystep.BoxID]bool),
	}
}

// List takes in the platform's list of boxes. It only adds: the list lags, and
// the heartbeats say who is alive. Boxes that are not listed and dead for long
// are forgotten.
func (s *State) MergeList(now time.Time, boxes []barleystep.Box) {
	listed := make(map[barleystep.BoxID]bool)
	for _, b := range boxes {
		if b.Hall() != s.hall || b.ID() == s.self.Box {
			continue
		}
		listed[b.ID()] = true
		if p, ok := s.peers[b.ID()]; ok {
			p.Addr = b.Addr()
			continue
		}
		s.peers[b.ID()] = &peer{Update: Update{Box: b.ID(), Addr: b.Addr()}, statusSince: now}
		s.invalidateRings()
	}
	for id, p := range s.peers {
		if !listed[id] && p.Status != StatusAlive && now.Sub(p.statusSince) > s.settings.ForgetAfter {
			delete(s.peers, id)
			s.invalidateRings()
		}
	}
}

// Leave announces the planned stop of this box.
func (s *State) Leave() { s.self.Status = StatusLeaving }

// Receive takes in a heartbeat.
func (s *State) Receive(now time.Time, b Heartbeat) {
	if b.Hall != s.hall || b.From.Box == s.self.Box {
		return
	}
	s.merge(now, b.From)
	p := s.peers[b.From.Box]
	if p.Incarnation == b.From.Incarnation {
		p.lastHeard = now
		s.revive(now, p, b.From)
	}
	if p.Status == StatusDead {
		s.deadSenders[p.Box] = true
	}
	for _, r := range b.Updates {
		s.merge(now, r)
	}
}

// revive believes a suspect that is heard directly more than the update. A dead
// box has to raise its number first, so that all hear of it.
func (s *State) revive(now time.Time, p *peer, sent Update) {
	if p.Status == StatusSuspect && p.Sequence == sent.Sequence {
		p.Status = sent.Status
		p.statusSince = now
		p.transmissions = 0
	}
}

// learn takes in what is said of a box, if it outweighs what is known.
func (s *State) merge(now time.Time, r Update) {
	if r.Box == s.self.Box {
		s.refute(r)
		return
	}
	p, ok := s.peers[r.Box]
	if !ok {
		p = &peer{Update: Update{Box: r.Box, Addr: r.Addr}, statusSince: now}
		s.peers[r.Box] = p
		s.invalidateRings()
	}
	if !supersedes(r, p.Update) {
		return
	}
	s.apply(now, p, r)
}

func (s *State) apply(now time.Time, p *peer, r Update) {
	replaced := p.Incarnation != 0 && p.Incarnation != r.Incarnation && p.Status != StatusDead
	if p.Status != r.Status || p.Incarnation != r.Incarnation {
		p.statusSince = now
		s.events = append(s.events, Event{Box: p.Box, Status: r.Status})
	}
	if p.Incarnation != r.Incarnation {
		// A new start of the box: the old one's silence does not count.
		p.lastHeard = now
	}
	if replaced {
		s.events = append(s.events, Event{Box: p.Box, Status: StatusDead})
	}
	if (p.Status == StatusDead) != (r.Status == StatusDead) {
		s.invalidateRings()
	}
	addr := p.Addr
	p.Update = r
	if r.Addr == "" {
		p.Addr = addr
	}
	p.transmissions = 0
}

// contradict answers an update that this incarnation is suspect or dead.
func (s *State) refute(r Update) {
	if r.Incarnation == s.self.Incarnation && r.Status >= StatusSuspect && r.Sequence >= s.self.Sequence {
		s.self.Sequence = r.Sequence + 1
	}
}

// outweighs reports whether r is newer than, or a graver word on the same state
// than, the known one. Incarnations grow from start to start.
func supersedes(r, known Update) bool {
	switch {
	case known.Status == StatusUnheard:
		return r.Status != StatusUnheard
	case r.Incarnation != known.Incarnation:
		return r.Incarnation > known.Incarnation
	case r.Sequence != known.Sequence:
		return r.Sequence > known.Sequence
	default:
		return r.Status > known.Status
	}
}

// Tick judges silence and returns the heartbeats to send.
func (s *State) Tick(now time.Time) []Message {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > s.settings.SuspectAfter/2 {
		s.resetSilence(now)
	}
	s.lastTick = now
	s.detectFailures(now)
	updates := s.updates()
	var list []Message
	for _, id := range s.successors() {
		list = append(list, s.newMessage(s.peers[id], updates))
	}
	for id := range s.deadSenders {
		if p, ok := s.peers[id]; ok {
			list = append(list, s.newMessage(p, []Update{p.Update}))
		}
	}
	clear(s.deadSenders)
	return append(list, s.probeDead()...)
}

func (s *State) newMessage(p *peer, updates []Update) Message {
	return Message{To: p.Box, Addr: p.Addr, Heartbeat: Heartbeat{From: s.self, Hall: s.hall, Updates: updates}}
}

// probeEvery is how many heartbeats pass between two probes.
const probeInterval = 4

// probe beats to one dead box after the other: after a cut both sides think
// that the other is dead, and somebody has to speak first.
func (s *State) probeDead() []Message {
	s.ticks++
	if s.ticks%probeInterval != 0 {
		return nil
	}
	var dead []barleystep.BoxID
	for id, p := range s.peers {
		if p.Status == StatusDead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	p := s.peers[dead[s.ticks/probeInterval%len(dead)]]
	return []Message{s.newMessage(p, []Update{p.Update})}
}

// paused starts all silences anew: it was this box that did not listen.
func (s *State) resetSilence(now time.Time) {
	for _, p := range s.peers {
		p.lastHeard = now
		if p.Status == StatusSuspect {
			p.statusSince = now
		}
	}
	s.events = append(s.events, Event{Box: s.self.Box, Status: StatusSuspect})
}

// Alive returns the boxes that are alive and not leaving, this one among them
// unless it leaves, sorted by name.
func (s *State) Alive() []barleystep.BoxID {
	var ids []barleystep.BoxID
	if s.self.Status == StatusAlive {
		ids = append(ids, s.self.Box)
	}
	for id, p := range s.peers {
		if p.Status == StatusAlive {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Peer returns what is known of a box.
func (s *State) Peer(id barleystep.BoxID) (r Update, ok bool) {
	p, ok := s.peers[id]
	if !ok {
		return Update{}, false
	}
	return p.Update, true
}

// Members returns what is known of all boxes that were heard of, this one among
// them, sorted by name.
func (s *State) Members() []Update {
	list := []Update{s.self}
	for _, p := range s.peers {
		if p.Status != StatusUnheard {
			list = append(list, p.Update)
		}
	}
	slices.SortFunc(list, func(a, b Update) int { return strings.Compare(string(a.Box), string(b.Box)) })
	return list
}

// Self returns this box's word on itself.
func (s *State) Self() Update { return s.self }

// Events returns what has changed since the last call.
func (s *State) Events() []Event {
	events := s.events
	s.events = nil
	return events
}
