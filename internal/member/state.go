package member

import (
	"slices"
	"strings"
	"time"

	"github.com/barleystep/barleystep"
)

// Settings tunes failure detection. Zero fields take the defaults.
type Settings struct {
	// HeartbeatInterval is the time between heartbeats; the default is 500 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a monitored box may send no heartbeat before it is suspect; the
	// default is five heartbeat intervals.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspect has to refute the suspicion; the default is five heartbeat
	// intervals.
	DeadAfter time.Duration
	// ForgetAfter is how long an unlisted box that is not alive is remembered; the default is
	// 10 minutes.
	ForgetAfter time.Duration
}

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultMissedHeartbeats  = 5
	defaultForgetAfter       = 10 * time.Minute
	// ringCount is the number of rings that the boxes form. Each box sends heartbeats to its
	// successor in every ring, so its cost does not depend on the number of boxes. Four random
	// rings together form a graph in which an update reaches 400 boxes in about five heartbeat
	// intervals.
	ringCount = 4
	// maxUpdatesPerHeartbeat bounds the size of a heartbeat.
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

// State is one box's view of its hall. It is a state machine without goroutines or clock, and
// not safe for concurrent use.
type State struct {
	settings       Settings
	self           Update
	hall           barleystep.HallID
	peers          map[barleystep.BoxID]*peer
	lastTick       time.Time
	monitoredSince map[barleystep.BoxID]time.Time // monitoredSince is the start, by predecessor.
	events         []Event
	ringOrders     [ringCount][]barleystep.BoxID // ringOrders caches the rings until a change.
	deadSenders    map[barleystep.BoxID]bool     // deadSenders sent heartbeats though dead here.
	ticks          int
}

type peer struct {
	Update
	lastHeard     time.Time // lastHeard is when the box itself last sent a heartbeat.
	statusSince   time.Time // statusSince is when the status last changed.
	transmissions int       // transmissions counts how often the current update was sent.
}

// Event is a change of a box's status.
type Event struct {
	Box    barleystep.BoxID
	Status Status
}

// NewState returns the state of a box that knows only itself. Self is taken as alive.
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

// MergeList adds the boxes of the platform's list that are unknown so far and updates the addresses
// of the others. It marks none as dead, since the list lags behind and heartbeats show who is alive.
// It removes unlisted boxes that have not been alive for longer than ForgetAfter.
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

// Receive processes a heartbeat. It ignores those of other halls and of this box.
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

// revive gives a suspect the status that it sends itself: a direct heartbeat counts more than an
// update by others with the same sequence. A dead box first has to raise its sequence, so that the
// change spreads to all boxes.
func (s *State) revive(now time.Time, p *peer, sent Update) {
	if p.Status == StatusSuspect && p.Sequence == sent.Sequence {
		p.Status = sent.Status
		p.statusSince = now
		p.transmissions = 0
	}
}

// merge applies an update if it supersedes the known one. An update about this box may be refuted.
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
		// The box has restarted: the silence of the earlier incarnation does not count.
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

// refute raises the own sequence if the update calls this incarnation suspect or dead.
func (s *State) refute(r Update) {
	if r.Incarnation == s.self.Incarnation && r.Status >= StatusSuspect && r.Sequence >= s.self.Sequence {
		s.self.Sequence = r.Sequence + 1
	}
}

// supersedes reports whether r replaces the known update: it is of a later incarnation, has a
// higher sequence, or has a later status at the same sequence. Incarnations grow with each start.
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

// Tick detects failures and returns the heartbeats to send. It is called once per heartbeat
// interval; after a gap of more than half of SuspectAfter, all silence counts from now.
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

// probeInterval is the number of heartbeat intervals between two probes.
const probeInterval = 4

// probeDead returns a heartbeat to one dead box, to each in turn. After a network partition both
// sides believe the other one dead, so one of them has to send first.
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

// resetSilence restarts the measurement of silence for all boxes, since this box itself was
// paused and received nothing.
func (s *State) resetSilence(now time.Time) {
	for _, p := range s.peers {
		p.lastHeard = now
		if p.Status == StatusSuspect {
			p.statusSince = now
		}
	}
	s.events = append(s.events, Event{Box: s.self.Box, Status: StatusSuspect})
}

// Alive returns the boxes that are alive and not leaving, including this one unless it is
// leaving, sorted by id.
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

// Peer returns the latest update about another box.
func (s *State) Peer(id barleystep.BoxID) (r Update, ok bool) {
	p, ok := s.peers[id]
	if !ok {
		return Update{}, false
	}
	return p.Update, true
}

// Members returns the latest updates about all boxes except those with StatusUnheard, including
// this one, sorted by id.
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

// Self returns this box's update about itself.
func (s *State) Self() Update { return s.self }

// Events returns and clears the changes since the last call.
func (s *State) Events() []Event {
	events := s.events
	s.events = nil
	return events
}
