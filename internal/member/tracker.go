package member

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Sender sends heartbeats to other boxes. It does not block: heartbeats that cannot be sent at once
// are dropped.
type Sender interface {
	// SendHeartbeat sends one heartbeat.
	SendHeartbeat(to barleystep.BoxID, addr string, b Heartbeat)
	// CloseExcept closes the connections to all but the given addresses.
	CloseExcept(addrs map[string]bool)
}

// Tracker runs a State: it sends and receives heartbeats and reads the platform's list of boxes.
// Its exported fields are set before Serve; it is safe for concurrent use.
type Tracker struct {
	Clock    barleystep.Clock
	Self     Update
	Hall     barleystep.HallID
	Boxes    barleystep.BoxList
	Sender   Sender
	Meter    *metric.Meter
	Log      *log.Logger
	Settings Settings
	// OnGone is called for each box that is dead or was replaced by a new incarnation; may be nil.
	OnGone func(barleystep.BoxID)
	// ListInterval is the time between reads of the platform's list; the default is 5 seconds.
	ListInterval time.Duration

	mu      mutex.Mutex
	state   *State
	changed chan struct{}
}

var _ barleystep.Membership = (*Tracker)(nil)

const (
	defaultListInterval = 5 * time.Second
	logPrefix           = "member: "
)

// stateLocked returns the state and creates it on first use. The caller holds the lock.
func (t *Tracker) stateLocked() *State {
	if t.state == nil {
		t.state = NewState(t.Settings, t.Self, t.Hall)
	}
	return t.state
}

// Serve sends heartbeats and reads the list until ctx ends.
func (t *Tracker) Serve(ctx context.Context) error {
	if t.ListInterval == 0 {
		t.ListInterval = defaultListInterval
	}
	go t.readBoxList(ctx)
	for {
		t.tick()
		if !clock.Sleep(ctx, t.Clock, t.Settings.withDefaults().HeartbeatInterval) {
			return ctx.Err()
		}
	}
}

func (t *Tracker) readBoxList(ctx context.Context) {
	for {
		if boxes, err := t.Boxes.Boxes(ctx); err == nil {
			t.mu.Lock()
			t.stateLocked().MergeList(t.Clock.Now(), boxes)
			t.mu.Unlock()
		}
		if !clock.Sleep(ctx, t.Clock, t.ListInterval) {
			return
		}
	}
}

func (t *Tracker) tick() {
	t.mu.Lock()
	messages := t.stateLocked().Tick(t.Clock.Now())
	events := t.state.Events()
	t.mu.Unlock()
	addrs := make(map[string]bool, len(messages))
	for _, m := range messages {
		addrs[m.Addr] = true
		t.Sender.SendHeartbeat(m.To, m.Addr, m.Heartbeat)
	}
	t.Sender.CloseExcept(addrs)
	t.publish(events)
}

// Receive processes a heartbeat of another box.
func (t *Tracker) Receive(b Heartbeat) {
	t.mu.Lock()
	t.stateLocked().Receive(t.Clock.Now(), b)
	events := t.state.Events()
	t.mu.Unlock()
	t.publish(events)
}

func (t *Tracker) publish(events []Event) {
	if len(events) == 0 {
		return
	}
	t.mu.Lock()
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	t.mu.Unlock()
	for _, e := range events {
		t.Meter.MembershipChanged(e.Status.String())
		t.Log.Info().Str("box", string(e.Box)).Stringer("status", e.Status).Msg(logPrefix + "The status of a box changed.")
		if e.Status == StatusDead && t.OnGone != nil {
			t.OnGone(e.Box)
		}
	}
}

// Leave announces the planned stop of this box.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateLocked().Leave()
}

// Alive returns the boxes of the hall that are alive and not leaving, sorted by id.
func (t *Tracker) Alive() []barleystep.BoxID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stateLocked().Alive()
}

// Changed returns a channel that is closed at the next change of a box's status.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// Addr returns the address of another box's peer listener.
func (t *Tracker) Addr(id barleystep.BoxID) (addr string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.stateLocked().Peer(id)
	return r.Addr, ok && r.Addr != ""
}

// Members returns the latest updates about the boxes of the hall, including this one.
func (t *Tracker) Members() []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stateLocked().Members()
}
