package gossip_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/gossip"
)

// registry is a catalogue of boxes in memory.
type registry struct {
	mu    sync.Mutex
	boxes map[string][]byte
}

func (r *registry) Fetch(context.Context, barleystep.Topic) (barleystep.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []barleystep.Record
	for k, v := range r.boxes {
		list = append(list, barleystep.NewRecord(k, v))
	}
	return barleystep.NewBatch(list, 1), nil
}

func (*registry) Watch(context.Context, barleystep.Topic, barleystep.Revision, time.Duration) (barleystep.Batch, error) {
	return barleystep.Batch{}, barleystep.ErrUnavailable
}

func (r *registry) Publish(_ context.Context, _ barleystep.Topic, key string, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boxes[key] = value
	return nil
}

func (r *registry) Withdraw(_ context.Context, _ barleystep.Topic, key string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.boxes, key)
	return nil
}

// books is a balancer that has one piece of work and keeps what others have.
type fakeBalancer struct {
	own    balance.Snapshot
	others chan balance.Snapshot
}

func (b *fakeBalancer) Snapshot() balance.Snapshot { return b.own }

// SetRole takes in what these tests have no use for.
func (*fakeBalancer) SetRole(balance.Role) {}

func (b *fakeBalancer) SetOthers(s balance.Snapshot) {
	select {
	case b.others <- s:
	default: // The test has seen enough.
	}
}

// known is a topic with a proof of a fixed age.
type fakeTopic struct {
	mu        sync.Mutex
	changed   barleystep.Revision
	age       time.Duration
	confirmed chan time.Time
}

func (k *fakeTopic) State() (barleystep.Revision, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed, k.age
}

func (k *fakeTopic) Confirm(at time.Time, _ barleystep.Revision) {
	select {
	case k.confirmed <- at:
	default: // The test has seen enough.
	}
}

func (k *fakeTopic) Offer(_ context.Context, _ string, changed barleystep.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed = max(k.changed, changed)
}

type box struct {
	node     *gossip.Node
	balancer *fakeBalancer
	topic    *fakeTopic
}

// given holds the addresses that freeAddr has returned.
var usedAddrs sync.Map

// freeAddr returns an address on loopback that is free for UDP. It never returns
// one twice: the box that got it may not have bound it yet.
func freeAddr(t *testing.T) string {
	for {
		l, err := net.ListenPacket("udp4", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		addr := l.LocalAddr().String()
		l.Close()
		if _, used := usedAddrs.LoadOrStore(addr, true); !used {
			return addr
		}
	}
}

func startBox(t *testing.T, r *registry, name, hall string, target int, topic *fakeTopic) *box {
	own := balance.NewSnapshot()
	own.Work[balance.Key(target)] = balance.Work{Short: 1, Backlog: time.Millisecond}
	own.Demands[1] = balance.Demand{Short: 0.5}
	b := &box{balancer: &fakeBalancer{own: own, others: make(chan balance.Snapshot, 1000)}, topic: topic}
	b.node = &gossip.Node{
		Clock:     clock.System{},
		Box:       barleystep.BoxID(name),
		Hall:      barleystep.HallID(hall),
		Addr:      freeAddr(t),
		Catalogue: r,
		Topics:    []gossip.TopicFollower{topic},
		Balancer:  b.balancer,
		Log:       &log.Logger{Level: log.PanicLevel},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		err := b.node.Serve(ctx)
		if ctx.Err() == nil {
			panic(err) // The others would wait for this box for ever.
		}
		done <- err
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b
}

func newFakeTopic(changed barleystep.Revision, age time.Duration) *fakeTopic {
	return &fakeTopic{changed: changed, age: age, confirmed: make(chan time.Time, 1000)}
}

// TestSums checks that each box learns the work of all others, and no more:
// in its own hall through the collector, and of other halls.
func TestSums(t *testing.T) {
	r := &registry{boxes: make(map[string][]byte)}
	halls := []string{"one", "one", "one", "two", "two", "three"}
	var boxes []*box
	for i, hall := range halls {
		boxes = append(boxes, startBox(t, r, "box-"+string(rune('a'+i)), hall, i+1, newFakeTopic(1, -1)))
	}
	for i, b := range boxes {
		want := balance.NewSnapshot()
		for k, o := range boxes {
			if k != i {
				want.Add(o.balancer.own)
			}
		}
		for equal := false; !equal; {
			equal = equalWork(<-b.balancer.others, want)
		}
		for b.node.BoxCount() != len(halls) {
			<-b.balancer.others
		}
	}
}

// same compares snapshots without their empty entries.
func equalWork(a, b balance.Snapshot) bool {
	trim := func(s balance.Snapshot) map[balance.Key]balance.Work {
		out := make(map[balance.Key]balance.Work)
		for k, w := range s.Work {
			if w != (balance.Work{}) {
				out[k] = w
			}
		}
		return out
	}
	x, y := trim(a), trim(b)
	if len(x) != len(y) {
		return false
	}
	for k, w := range x {
		if y[k] != w {
			return false
		}
	}
	return a.Demands[1] == b.Demands[1]
}

// TestProof checks that a box that cannot reach the store gets the proof of one
// that can, never younger than it is, and hears of its newer change.
func TestConfirmation(t *testing.T) {
	c := quicktest.New(t)
	const age = 2 * time.Second
	r := &registry{boxes: make(map[string][]byte)}
	startBox(t, r, "well", "one", 1, newFakeTopic(7, age))
	cut := newFakeTopic(3, -1)
	startBox(t, r, "cut", "two", 2, cut)
	for range 20 {
		at := <-cut.confirmed
		c.Assert(time.Since(at) >= age, quicktest.IsTrue)
	}
	for changed, _ := cut.State(); changed != 7; changed, _ = cut.State() {
		<-cut.confirmed
	}
}

// TestLargeHall checks that in a hall of many boxes, which are named in turn, each
// gets the proof of one that reads the store, and just one collects.
func TestLargeHall(t *testing.T) {
	const boxes, rounds = 40, 50
	r := &registry{boxes: make(map[string][]byte)}
	var hall []*box
	for i := range boxes {
		hall = append(hall, startBox(t, r, fmt.Sprint("box-", i), "one", i+1, newFakeTopic(7, 0)))
	}
	for _, b := range hall {
		for range rounds {
			<-b.topic.confirmed
		}
	}
	// A busy machine may hold a box up for so long that another one takes over for
	// a moment.
	for countCollectors(hall) != 1 {
		<-hall[0].topic.confirmed
	}
}

// collectors counts the boxes that hold themselves for the collector.
func countCollectors(hall []*box) int {
	n := 0
	for _, b := range hall {
		if b.node.IsCollector() {
			n++
		}
	}
	return n
}
