//go:build !race

// The scenes of this package run in bubbles of testing/synctest. With the race detector
// on, the runtime itself falls over there now and then (a segmentation violation in
// runtime.(*timer).maybeRunChan, or ThreadSanitizer's check of its own state), so that
// they are played without it; the tests of gossip, follow and router run with it.
package plane_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// scene says what is played.
type scene struct {
	seed  uint64
	halls int
	boxes int // boxes is how many there are in all.
	loss  float64
	// length is how long it lasts, from the moment at which all boxes start.
	length time.Duration
	// events happen at their times, in order.
	events []event
	// measured is from when on roles and ages are looked at.
	measured time.Duration
	// work, if set, is what callers ask meanwhile.
	work workload
}

// workload is callers before modelled targets, behind boxes with real balancers.
type workload interface {
	// targets lists the targets as all boxes read them.
	targets() []fleet.Target
	// call has callers ask until the scene ends.
	call(d *day)
}

type event struct {
	at time.Duration
	do func(d *day)
}

// day is a scene that is being played.
type day struct {
	scene   scene
	started time.Time
	network *network
	store   *store
	boxes   []*box
	// seedless is set once boxes that start are told no seeds.
	seedless bool
	// version is the last configuration's.
	version int64
	// births are the starts of targets that have started anew, in order.
	births map[barleystep.TargetID][]int64
	result result
}

// result is what was seen.
type result struct {
	// collectors and leads are the most boxes at a time that held themselves for
	// their hall's collector, in any hall, and for the lead; without counts looks at
	// which a hall had no collector, or nobody was lead.
	collectors, leads int
	without           int
	looks             int
	// changes counts the boxes that took up a collector's role, and after is the last
	// moment at which roles were not as they should be: one collector in each hall
	// with running boxes, and one lead.
	changes int
	after   time.Duration
	roles   map[*box]bool
	// ages are ages of news, and proofs those of the proof of the configuration, both
	// at all boxes that run.
	ages, proofs []time.Duration
	missing      int
	// served is when all boxes knew all that they need, zero if they never did, and
	// newest when all of them had the last configuration.
	served time.Duration
	newest time.Duration
	// backward counts how often a box went back to an earlier lifetime of a target, and
	// outdated the boxes that go by one at the end.
	backward, outdated int
	// calls are those to the store until the end, early those before measured.
	calls, early int
	byKind       map[string]int
	datagrams    int
	bytes        int
	largest      int
}

const (
	// strongPerHall boxes of each hall have wide links, the others narrow ones: the
	// mix of machines that was met at this size.
	strongPerHall = 3
	wideLink      = 200e6 / 8
	narrowLink    = 20e6 / 8
	// within is how soon a change must be in force.
	within = 4 * time.Second
	// lookEvery is how often roles and ages are looked at.
	lookEvery = 50 * time.Millisecond
	// seedBoxes is how many boxes are told to a box that starts.
	seedBoxes = 3
	// targets is how many targets there are, configurationBytes how large a
	// configuration is.
	targets            = 150
	configurationBytes = 60_000
)

// pause lets simulated time pass. All that a scene runs, real nodes too, is inside of
// one bubble of synctest, in which nothing waits for the wall clock.
func pause(d time.Duration) { clock.Sleep(context.Background(), clock.System{}, d) }

// play plays the scene in simulated time.
func play(t *testing.T, s scene) (r result) {
	synctest.Test(t, func(*testing.T) {
		d := newDay(s)
		d.run()
		r = d.result
	})
	return r
}

func newDay(s scene) *day {
	d := &day{scene: s, started: time.Now(), store: &store{}}
	d.network = &network{seed: s.seed, loss: s.loss, boxes: make(map[netip.AddrPort]*box)}
	for i := range s.boxes {
		hall, place := i%s.halls, i/s.halls
		b := &box{day: d, index: i, hall: fmt.Sprint("hall-", hall+1), linkBytes: narrowLink}
		b.name = fmt.Sprintf("box-%d-%d", hall+1, place+1)
		b.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(hall + 1), byte(place >> 8), byte(place)}), 8229)
		if place < strongPerHall {
			b.linkBytes, b.strength = wideLink, 1
		}
		d.boxes = append(d.boxes, b)
		d.network.boxes[b.addr] = b
	}
	var list []barleystep.Record
	for i := range targets {
		list = append(list, barleystep.NewRecord(fmt.Sprint("target-", i), nil))
	}
	d.store.put(barleystep.TopicTargets, list...)
	d.configure(1)
	return d
}

// configure writes a configuration that does not compress well.
func (d *day) configure(version int64) {
	d.version, d.result.newest = version, 0
	value := make([]byte, configurationBytes)
	draw := rand.New(rand.NewPCG(d.scene.seed, uint64(version)))
	for i := range value {
		value[i] = "0123456789abcdef"[draw.IntN(16)]
	}
	binary.LittleEndian.PutUint64(value, uint64(version))
	d.store.put(barleystep.TopicConfiguration, barleystep.NewRecord("config", value))
}

func (d *day) elapsed() time.Duration { return time.Since(d.started) }

// find returns the first running box that meets a condition.
func (d *day) find(meets func(b *box, l *life) bool) *box {
	for _, b := range d.boxes {
		if l := b.running(); l != nil && meets(b, l) {
			return b
		}
	}
	return nil
}

// collector returns the collector of a hall that is not the lead, or the lead for
// an empty name.
func (d *day) collector(hall string) *box {
	return d.find(func(b *box, l *life) bool {
		if hall == "" {
			return l.plane.Node().IsLead()
		}
		return b.hall == hall && l.plane.Node().IsCollector()
	})
}

// seeds returns the addresses of the first boxes of some halls.
func (d *day) seeds() []string {
	var list []string
	if d.seedless {
		return nil
	}
	for i := range min(seedBoxes, len(d.boxes)) {
		list = append(list, d.boxes[i].addr.String())
	}
	return list
}

func (d *day) run() {
	for i, b := range d.boxes {
		// Starts are spread over a tick, so that no two boxes act at one moment.
		time.AfterFunc(time.Duration(i)*50*time.Millisecond/time.Duration(len(d.boxes)), b.start)
	}
	if d.scene.work != nil {
		var calls sync.WaitGroup
		calls.Go(func() { d.scene.work.call(d) })
		defer calls.Wait()
	}
	events := d.scene.events
	for d.elapsed() < d.scene.length {
		pause(lookEvery)
		for len(events) > 0 && events[0].at <= d.elapsed() {
			events[0].do(d)
			events = events[1:]
		}
		d.look()
	}
	d.result.outdated = d.outdated()
	d.result.calls, d.result.byKind = d.store.count(), d.store.kinds()
	d.result.datagrams, d.result.bytes, d.result.largest = d.network.counts()
	for _, b := range d.boxes {
		b.kill()
	}
}

// look takes a sample.
func (d *day) look() {
	if d.result.served == 0 && !slices.ContainsFunc(d.boxes, func(b *box) bool { return !b.serves() }) {
		d.result.served = d.elapsed()
	}
	if d.result.newest == 0 && !slices.ContainsFunc(d.boxes, func(b *box) bool { return !b.has(d.version) }) {
		d.result.newest = d.elapsed()
	}
	d.lookAtBirths()
	if d.elapsed() <= d.scene.measured {
		d.result.early = d.store.count()
		return
	}
	d.lookAtRoles()
	d.lookAtAges()
}

// lookAtRoles notes who holds the roles.
func (d *day) lookAtRoles() {
	d.result.looks++
	collectors, live := make(map[string]int), make(map[string]bool)
	leads := 0
	roles := make(map[*box]bool)
	for _, b := range d.boxes {
		l := b.running()
		if l == nil || b.stands() {
			continue
		}
		live[b.hall] = true
		if l.plane.Node().IsCollector() {
			roles[b] = true
			collectors[b.hall]++
		}
		if l.plane.Node().IsLead() {
			leads++
		}
	}
	d.result.note(roles, collectors, leads, len(live), d.elapsed())
}

// note takes in who holds the roles, over so many halls that have running boxes.
func (r *result) note(roles map[*box]bool, collectors map[string]int, leads, halls int, at time.Duration) {
	for b := range roles {
		if r.roles != nil && !r.roles[b] {
			r.changes++
		}
	}
	r.roles = roles
	most := 0
	for _, n := range collectors {
		most = max(most, n)
	}
	r.collectors, r.leads = max(r.collectors, most), max(r.leads, leads)
	lacking := len(collectors) < halls || leads == 0
	if lacking {
		r.without++
	}
	if lacking || most > 1 || leads > 1 {
		r.after = at
	}
}

// lookAtAges looks at the news of one box in seven, which is enough.
func (d *day) lookAtAges() {
	const every = 7
	turn := d.result.looks % every
	for i, b := range d.boxes {
		l := b.running()
		if l == nil {
			continue
		}
		d.result.proofs = append(d.result.proofs, l.configuration.Age())
		if i%every != turn {
			continue
		}
		for _, o := range d.boxes {
			if o == b || o.running() == nil {
				continue
			}
			if age, ok := b.age(o); ok {
				d.result.ages = append(d.result.ages, age)
			} else {
				d.result.missing++
			}
		}
	}
}

// at returns the value that a part of the list does not exceed.
func at(list []time.Duration, part float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(part*float64(len(list))), len(list)-1)]
}

// String words the result.
func (r result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "collectors a hall %d, leads %d, without %d of %d looks, changes %d, unsettled until %v; ", r.collectors, r.leads, r.without, r.looks, r.changes, r.after)
	fmt.Fprintf(&b, "news p50 %v p99 %v, missing %d of %d; ", at(r.ages, 0.5), at(r.ages, 0.99), r.missing, r.missing+len(r.ages))
	fmt.Fprintf(&b, "proof p50 %v p99 %v; served after %v, newest %v; ", at(r.proofs, 0.5), at(r.proofs, 0.99), r.served, r.newest)
	fmt.Fprintf(&b, "calls %d (%d early) %v; %d datagrams, %d bytes, largest %d", r.calls, r.early, r.byKind, r.datagrams, r.bytes, r.largest)
	return b.String()
}
