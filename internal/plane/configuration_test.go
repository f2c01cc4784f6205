//go:build !race

package plane_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
)

// configurationRun writes versions of the configuration while boxes, links and the store fail, and
// checks at each sample what is in force at every box.
type configurationRun struct {
	*simulation
	draw *rand.Rand
	// bound is how soon a version must be in force, and contact how long a box must have been
	// undisturbed for that to hold.
	bound, contact time.Duration
	// written are the versions in order; late ones are invalid.
	written []writtenVersion
	// disturbed is until when each box was disturbed, and storeDisturbed until when the store was.
	disturbed      map[*box]time.Duration
	storeDisturbed time.Duration
	// held is the newest version that each process has had in force.
	held       map[*process]int64
	violations []string
}

type writtenVersion struct {
	version int64
	at      time.Duration
}

const (
	// configurationRunEnds is when the last fault has ended and the last version is in force.
	configurationRunEnds = 40 * time.Second
	lastFault            = 30 * time.Second
)

// fault disturbs some boxes, or the store, for a duration.
type fault func(r *configurationRun, length time.Duration)

// after runs f once the duration has passed, unless the run has ended.
func (r *configurationRun) after(d time.Duration, f func()) {
	r.scenario.events = mergeEvents(r.scenario.events, []event{{r.elapsed() + d, func(*simulation) { f() }}})
}

// disturb notes that a box is disturbed for a duration.
func (r *configurationRun) disturb(b *box, d time.Duration) {
	r.disturbed[b] = max(r.disturbed[b], r.elapsed()+d)
}

func (r *configurationRun) disturbStore(d time.Duration) {
	r.storeDisturbed = max(r.storeDisturbed, r.elapsed()+d)
}

// some returns a random part of the boxes, at least one.
func (r *configurationRun) some(part float64) map[*box]bool {
	set := map[*box]bool{r.boxes[r.draw.IntN(len(r.boxes))]: true}
	for _, b := range r.boxes {
		if r.draw.Float64() < part {
			set[b] = true
		}
	}
	return set
}

// hall returns the boxes of a random hall.
func (r *configurationRun) hall() map[*box]bool {
	set := make(map[*box]bool)
	hall := r.boxes[r.draw.IntN(len(r.boxes))].hall
	for _, b := range r.boxes {
		if b.hall == hall {
			set[b] = true
		}
	}
	return set
}

// readers returns the boxes that read the store for others.
func (r *configurationRun) readers() map[*box]bool {
	set := make(map[*box]bool)
	for _, b := range r.boxes {
		if l := b.running(); l != nil && l.plane.Node().IsCollector() {
			set[b] = true
		}
	}
	return set
}

// cut cuts boxes off from all others; these are disturbed, as the platform sees them.
func (r *configurationRun) cut(set map[*box]bool, length time.Duration) {
	r.network.setCut(func(from, to *box) bool { return set[from] != set[to] })
	for _, b := range r.boxes {
		r.disturb(b, length)
	}
	r.after(length, func() { r.network.setCut(nil) })
}

func (r *configurationRun) rejectCalls(set map[*box]bool, length time.Duration) {
	r.store.setRejects(func(b *box) bool { return set[b] })
	r.disturbStore(length)
	r.after(length, func() { r.store.setRejects(nil) })
}

func (r *configurationRun) hangCalls(set map[*box]bool, length time.Duration) {
	r.store.setHangs(func(b *box) bool { return set[b] })
	r.disturbStore(length)
	r.after(length, func() { r.store.setHangs(nil) })
}

func (r *configurationRun) restart(set map[*box]bool, away time.Duration) {
	for b := range set {
		b.kill()
		r.disturb(b, away)
		r.after(away, func() {
			if b.running() == nil { // Restarts may overlap.
				b.start()
			}
		})
	}
}

// faults are the kinds of faults, of which two or more are in progress at a time.
var faults = map[string]fault{
	"boxes cut off":                 func(r *configurationRun, d time.Duration) { r.cut(r.some(0.1), d) },
	"hall cut off":                  func(r *configurationRun, d time.Duration) { r.cut(r.hall(), d) },
	"store rejects some":            func(r *configurationRun, d time.Duration) { r.rejectCalls(r.some(0.35), d) },
	"store rejects the readers":     func(r *configurationRun, d time.Duration) { r.rejectCalls(r.readers(), d) },
	"store is away":                 func(r *configurationRun, d time.Duration) { r.rejectCalls(r.some(1), d) },
	"store is silent for some":      func(r *configurationRun, d time.Duration) { r.hangCalls(r.some(0.35), d) },
	"store is silent":               func(r *configurationRun, d time.Duration) { r.hangCalls(r.some(1), d) },
	"store forgets":                 func(r *configurationRun, _ time.Duration) { r.store.dropHistory() },
	"boxes restart":                 func(r *configurationRun, d time.Duration) { r.restart(r.some(0.2), d/4) },
	"readers restart":               func(r *configurationRun, d time.Duration) { r.restart(r.readers(), d/4) },
	"all restart":                   func(r *configurationRun, _ time.Duration) { r.restart(r.some(1), sampleInterval) },
	"boxes stand still":             func(r *configurationRun, d time.Duration) { r.freeze(r.some(0.1), d) },
	"readers stand still":           func(r *configurationRun, d time.Duration) { r.freeze(r.readers(), d) },
	"open connections fall silent":  func(r *configurationRun, _ time.Duration) { r.silenceConns() },
	"calls between boxes get stuck": func(r *configurationRun, d time.Duration) { r.stick(r.some(0.2), d) },
}

func (r *configurationRun) freeze(set map[*box]bool, d time.Duration) {
	for b := range set {
		b.freeze(d)
		r.disturb(b, d)
	}
}

// silenceConns makes all open connections fall silent: the next call on each gets no answer.
func (r *configurationRun) silenceConns() {
	for _, b := range r.boxes {
		b.silence()
		r.disturb(b, 0)
	}
}

// stick makes calls to some boxes get no answer, while their datagrams still arrive.
func (r *configurationRun) stick(set map[*box]bool, d time.Duration) {
	r.network.setStuck(func(_, to *box) bool { return set[to] })
	for b := range set {
		r.disturb(b, d)
	}
	r.after(d, func() { r.network.setStuck(nil) })
}

// configure writes the next version; one in five is preceded by one that no box can decode.
func (r *configurationRun) configure() {
	version := r.version + 1 + r.draw.Int64N(3)
	if r.draw.IntN(5) == 0 {
		r.store.put(barleystep.TopicConfiguration, barleystep.NewRecord("config", []byte("broken")))
	}
	r.simulation.configure(version)
	r.written = append(r.written, writtenVersion{version, r.elapsed()})
}

// required returns the oldest version that may be in force at an undisturbed box.
func (r *configurationRun) required() (version int64) {
	for _, w := range r.written {
		if w.at+r.bound < r.elapsed() {
			version = w.version
		}
	}
	return version
}

// check compares what each box has in force with what it must have.
func (r *configurationRun) check() {
	required := r.required()
	for _, b := range r.boxes {
		l := b.running()
		if l == nil || b.isFrozen() || l.configuration.View() == nil {
			continue
		}
		version := l.configuration.Version()
		if version < r.held[l] {
			r.violate("%s went back from version %d to %d", b.name, r.held[l], version)
		}
		r.held[l] = version
		if version > r.version {
			r.violate("%s has version %d, which was never written", b.name, version)
		}
		sound := r.elapsed() > r.disturbed[b]+r.contact && r.elapsed() > r.storeDisturbed+r.contact
		if !sound {
			continue
		}
		if version < required {
			r.violate("%s has version %d, %d must be in force; confirmed %s ago", b.name, version, required, l.configuration.Age())
		}
		if l.configuration.View().Route(addedHost, fmt.Sprintf("/%d/", required)) == nil && required > 0 {
			r.violate("%s does not know the route added by version %d", b.name, required)
		}
	}
}

func (r *configurationRun) violate(format string, args ...any) {
	const most = 20
	if len(r.violations) < most {
		r.violations = append(r.violations, fmt.Sprintf("%s: ", r.elapsed().Round(ms))+fmt.Sprintf(format, args...))
	}
}

// play draws faults and versions from the seed and runs the scenario.
func (r *configurationRun) play(t *testing.T) {
	names := slices.Sorted(maps.Keys(faults))
	var events []event
	for at := start; at < lastFault; {
		name, length := names[r.draw.IntN(len(names))], time.Second+time.Duration(r.draw.Int64N(int64(5*time.Second)))
		events = append(events, event{at, func(*simulation) {
			t.Logf("%s: %s, %s", r.elapsed().Round(ms), name, length.Round(ms))
			faults[name](r, length)
		}})
		at += time.Duration(r.draw.Int64N(int64(4 * time.Second)))
	}
	for at := time.Second; at < configurationRunEnds-r.bound; at += 300*ms + time.Duration(r.draw.Int64N(int64(3*time.Second))) {
		events = append(events, event{at, func(*simulation) { r.configure() }})
	}
	for at := sampleInterval; at < configurationRunEnds; at += sampleInterval {
		events = append(events, event{at, func(*simulation) { r.check() }})
	}
	r.scenario.events = mergeEvents(events)
	r.run()
}

var (
	configurationSeeds = flag.Int("configuration-seeds", 30, "seeds of TestConfigurationsInForce with nine boxes")
	configurationBoxes = flag.Int("configuration-boxes", 0, "boxes of one more case of TestConfigurationsInForce")
)

// TestConfigurationsInForce guards against configurations that come into force late, go back to an
// older version, are invalid or lack an added route at boxes that were not disturbed, while others,
// the store and connections fail two or more at a time.
func TestConfigurationsInForce(t *testing.T) {
	type size struct {
		halls, boxes, seeds int
		bound, contact      time.Duration
	}
	cases := map[string]size{
		"nine boxes":  {3, 9, *configurationSeeds, 2 * time.Second, 3 * time.Second},
		"sixty-six":   {3, 66, 1, 3 * time.Second, 4 * time.Second},
		"one by hand": {11, *configurationBoxes, 1, 3 * time.Second, 4 * time.Second},
	}
	for name, tc := range cases {
		for seed := range tc.seeds {
			if tc.boxes == 0 {
				continue
			}
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				var violations []string
				synctest.Test(t, func(t *testing.T) {
					r := &configurationRun{
						draw: rand.New(rand.NewPCG(uint64(seed), 19)), bound: tc.bound, contact: tc.contact,
						disturbed: make(map[*box]time.Duration), held: make(map[*process]int64),
					}
					r.simulation = newSimulation(scenario{
						seed: uint64(seed), halls: tc.halls, boxes: tc.boxes, loss: 0.01, bound: tc.bound,
						duration: configurationRunEnds, measureFrom: configurationRunEnds,
					})
					r.play(t)
					violations = r.violations
				})
				for _, v := range violations {
					t.Log(v)
				}
				quicktest.Check(t, len(violations), quicktest.Equals, 0)
			})
		}
	}
}
