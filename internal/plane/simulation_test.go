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
type scenario struct {
	seed  uint64
	halls int
	boxes int // boxes is how many there are in all.
	loss  float64
	// length is how long it lasts, from the moment at which all boxes start.
	duration time.Duration
	// events happen at their times, in order.
	events []event
	// measured is from when on roles and ages are looked at.
	measureFrom time.Duration
	// work, if set, is what callers ask meanwhile.
	workload workload
}

// workload is callers before modelled targets, behind boxes with real balancers.
type workload interface {
	// targets lists the targets as all boxes read them.
	targets() []fleet.Target
	// call has callers ask until the scene ends.
	run(d *simulation)
}

type event struct {
	at time.Duration
	do func(d *simulation)
}

// day is a scene that is being played.
type simulation struct {
	scenario scenario
	started  time.Time
	network  *network
	store    *store
	boxes    []*box
	// seedless is set once boxes that start are told no seeds.
	seedless bool
	// version is the last configuration's.
	version int64
	// births are the starts of targets that have started anew, in order.
	incarnations map[barleystep.TargetID][]int64
	result       result
}

// result is what was seen.
type result struct {
	// collectors and leads are the most boxes at a time that held themselves for
	// their hall's collector, in any hall, and for the lead; without counts looks at
	// which a hall had no collector, or nobody was lead.
	maxCollectors, maxLeads int
	vacant                  int
	samples                 int
	// changes counts the boxes that took up a collector's role, and after is the last
	// moment at which roles were not as they should be: one collector in each hall
	// with running boxes, and one lead.
	roleChanges    int
	unsettledUntil time.Duration
	roles          map[*box]bool
	// ages are ages of news, and proofs those of the proof of the configuration, both
	// at all boxes that run.
	workAges, confirmationAges []time.Duration
	missingWork                int
	// served is when all boxes knew all that they need, zero if they never did, and
	// newest when all of them had the last configuration.
	readyAt     time.Duration
	convergedAt time.Duration
	// backward counts how often a box went back to an earlier lifetime of a target, and
	// outdated the boxes that go by one at the end.
	rollbacks, staleBoxes int
	// calls are those to the store until the end, early those before measured.
	calls, earlyCalls int
	callsByKind       map[string]int
	datagrams         int
	bytes             int
	largest           int
}

const (
	// strongPerHall boxes of each hall have wide links, the others narrow ones: the
	// mix of machines that was met at this size.
	strongPerHall = 3
	wideLink      = 200e6 / 8
	narrowLink    = 20e6 / 8
	// within is how soon a change must be in force.
	maxDelay = 4 * time.Second
	// lookEvery is how often roles and ages are looked at.
	sampleInterval = 50 * time.Millisecond
	// seedBoxes is how many boxes are told to a box that starts.
	seedCount = 3
	// targets is how many targets there are, configurationBytes how large a
	// configuration is.
	targetCount        = 150
	configurationBytes = 60_000
)

// pause lets simulated time pass. All that a scene runs, real nodes too, is inside of
// one bubble of synctest, in which nothing waits for the wall clock.
func sleep(d time.Duration) { clock.Sleep(context.Background(), clock.System{}, d) }

// play plays the scene in simulated time.
func simulate(t *testing.T, s scenario) (r result) {
	synctest.Test(t, func(*testing.T) {
		d := newSimulation(s)
		d.run()
		r = d.result
	})
	return r
}

func newSimulation(s scenario) *simulation {
	d := &simulation{scenario: s, started: time.Now(), store: &store{}}
	d.network = &network{seed: s.seed, loss: s.loss, boxes: make(map[netip.AddrPort]*box)}
	for i := range s.boxes {
		hall, place := i%s.halls, i/s.halls
		b := &box{sim: d, index: i, hall: fmt.Sprint("hall-", hall+1), linkBytes: narrowLink}
		b.name = fmt.Sprintf("box-%d-%d", hall+1, place+1)
		b.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(hall + 1), byte(place >> 8), byte(place)}), 8229)
		if place < strongPerHall {
			b.linkBytes, b.strength = wideLink, 1
		}
		d.boxes = append(d.boxes, b)
		d.network.boxes[b.addr] = b
	}
	var list []barleystep.Record
	for i := range targetCount {
		list = append(list, barleystep.NewRecord(fmt.Sprint("target-", i), nil))
	}
	d.store.put(barleystep.TopicTargets, list...)
	d.configure(1)
	return d
}

// configure writes a configuration that does not compress well.
func (d *simulation) configure(version int64) {
	d.version, d.result.convergedAt = version, 0
	value := make([]byte, configurationBytes)
	draw := rand.New(rand.NewPCG(d.scenario.seed, uint64(version)))
	for i := range value {
		value[i] = "0123456789abcdef"[draw.IntN(16)]
	}
	binary.LittleEndian.PutUint64(value, uint64(version))
	d.store.put(barleystep.TopicConfiguration, barleystep.NewRecord("config", value))
}

func (d *simulation) elapsed() time.Duration { return time.Since(d.started) }

// find returns the first running box that meets a condition.
func (d *simulation) find(meets func(b *box, l *process) bool) *box {
	for _, b := range d.boxes {
		if l := b.running(); l != nil && meets(b, l) {
			return b
		}
	}
	return nil
}

// collector returns the collector of a hall that is not the lead, or the lead for
// an empty name.
func (d *simulation) collector(hall string) *box {
	return d.find(func(b *box, l *process) bool {
		if hall == "" {
			return l.plane.Node().IsLead()
		}
		return b.hall == hall && l.plane.Node().IsCollector()
	})
}

// seeds returns the addresses of the first boxes of some halls.
func (d *simulation) seeds() []string {
	var list []string
	if d.seedless {
		return nil
	}
	for i := range min(seedCount, len(d.boxes)) {
		list = append(list, d.boxes[i].addr.String())
	}
	return list
}

func (d *simulation) run() {
	for i, b := range d.boxes {
		// Starts are spread over a tick, so that no two boxes act at one moment.
		time.AfterFunc(time.Duration(i)*50*time.Millisecond/time.Duration(len(d.boxes)), b.start)
	}
	if d.scenario.workload != nil {
		var calls sync.WaitGroup
		calls.Go(func() { d.scenario.workload.run(d) })
		defer calls.Wait()
	}
	events := d.scenario.events
	for d.elapsed() < d.scenario.duration {
		sleep(sampleInterval)
		for len(events) > 0 && events[0].at <= d.elapsed() {
			events[0].do(d)
			events = events[1:]
		}
		d.sample()
	}
	d.result.staleBoxes = d.countStale()
	d.result.calls, d.result.callsByKind = d.store.count(), d.store.kinds()
	d.result.datagrams, d.result.bytes, d.result.largest = d.network.counts()
	for _, b := range d.boxes {
		b.kill()
	}
}

// look takes a sample.
func (d *simulation) sample() {
	if d.result.readyAt == 0 && !slices.ContainsFunc(d.boxes, func(b *box) bool { return !b.isReady() }) {
		d.result.readyAt = d.elapsed()
	}
	if d.result.convergedAt == 0 && !slices.ContainsFunc(d.boxes, func(b *box) bool { return !b.hasVersion(d.version) }) {
		d.result.convergedAt = d.elapsed()
	}
	d.sampleIncarnations()
	if d.elapsed() <= d.scenario.measureFrom {
		d.result.earlyCalls = d.store.count()
		return
	}
	d.sampleRoles()
	d.sampleAges()
}

// lookAtRoles notes who holds the roles.
func (d *simulation) sampleRoles() {
	d.result.samples++
	collectors, live := make(map[string]int), make(map[string]bool)
	leads := 0
	roles := make(map[*box]bool)
	for _, b := range d.boxes {
		l := b.running()
		if l == nil || b.isFrozen() {
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
	d.result.recordRoles(roles, collectors, leads, len(live), d.elapsed())
}

// note takes in who holds the roles, over so many halls that have running boxes.
func (r *result) recordRoles(roles map[*box]bool, collectors map[string]int, leads, halls int, at time.Duration) {
	for b := range roles {
		if r.roles != nil && !r.roles[b] {
			r.roleChanges++
		}
	}
	r.roles = roles
	most := 0
	for _, n := range collectors {
		most = max(most, n)
	}
	r.maxCollectors, r.maxLeads = max(r.maxCollectors, most), max(r.maxLeads, leads)
	lacking := len(collectors) < halls || leads == 0
	if lacking {
		r.vacant++
	}
	if lacking || most > 1 || leads > 1 {
		r.unsettledUntil = at
	}
}

// lookAtAges looks at the news of one box in seven, which is enough.
func (d *simulation) sampleAges() {
	const every = 7
	turn := d.result.samples % every
	for i, b := range d.boxes {
		l := b.running()
		if l == nil {
			continue
		}
		d.result.confirmationAges = append(d.result.confirmationAges, l.configuration.Age())
		if i%every != turn {
			continue
		}
		for _, o := range d.boxes {
			if o == b || o.running() == nil {
				continue
			}
			if age, ok := b.age(o); ok {
				d.result.workAges = append(d.result.workAges, age)
			} else {
				d.result.missingWork++
			}
		}
	}
}

// at returns the value that a part of the list does not exceed.
func quantile(list []time.Duration, part float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(part*float64(len(list))), len(list)-1)]
}

// String words the result.
func (r result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "collectors a hall %d, leads %d, without %d of %d looks, changes %d, unsettled until %v; ", r.maxCollectors, r.maxLeads, r.vacant, r.samples, r.roleChanges, r.unsettledUntil)
	fmt.Fprintf(&b, "news p50 %v p99 %v, missing %d of %d; ", quantile(r.workAges, 0.5), quantile(r.workAges, 0.99), r.missingWork, r.missingWork+len(r.workAges))
	fmt.Fprintf(&b, "proof p50 %v p99 %v; served after %v, newest %v; ", quantile(r.confirmationAges, 0.5), quantile(r.confirmationAges, 0.99), r.readyAt, r.convergedAt)
	fmt.Fprintf(&b, "calls %d (%d early) %v; %d datagrams, %d bytes, largest %d", r.calls, r.earlyCalls, r.callsByKind, r.datagrams, r.bytes, r.largest)
	return b.String()
}
