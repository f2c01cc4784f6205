package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// Soak is one run. Its exported fields are set before Run.
type Soak struct {
	Clock barleystep.Clock
	Seed  uint64
	// Length is how long callers send requests.
	Length time.Duration
	// Boxes, Targets and Callers count processes of boxes, targets that are engines,
	// and callers. There are half as many targets of a plain service.
	Boxes   int
	Targets int
	Callers int
	// Program is the box's program, Self this program, which runs the stand-ins.
	Program string
	Self    string
	// Dir keeps settings and logs of the boxes.
	Dir string
	// Out gets the schedule and the findings.
	Out io.Writer

	history *History
	store   *child
	boxes   []*box
	targets []*slot
	routes  atomic.Int64
	version int
	keys    []string
	probes  int // probes counts the callers that looked whether all works.
	// configuring orders changes of the configuration, and storeMu faults of the store.
	configuring sync.Mutex
	storeMu     sync.Mutex
	storeFaults []string
}

// slot is a place for a target, in which one process follows another.
type slot struct {
	soak    *Soak
	number  int
	service string

	mu     sync.Mutex
	lives  int
	id     string
	child  *child
	link   *link
	spoils map[platformtest.Spoil]float64
}

const (
	engineService = "model"
	plainService  = "app"
	engineMemory  = 50_000
	// engineSlots is how many requests an engine takes, by the configuration.
	engineSlots = 16
	// doomedKey is the key that may be taken away.
	doomedKey = "key-doomed"
	// settleTime is how long all may take to work after the last fault, which is wide,
	// since the machine may be busy.
	settleTime = 30 * time.Second
	// pollEvery is how often it is looked whether all works.
	pollEvery = 50 * time.Millisecond
	// moreDescriptors and mostMegabytes bound what a box may hold in the end, when it
	// has nothing to do.
	moreDescriptors = 150
	mostMegabytes   = 256
	// holdTime is how long memory may stay set aside after the last request.
	holdTime = 4 * time.Second
)

// Run starts all, brings the faults about, and returns what is wrong, a line each.
func (s *Soak) Run(ctx context.Context) (found []string, err error) {
	defer func() { err = eris.Wrap(err, "soak") }()
	s.history = NewHistory(map[string]string{"key-a": "tenant-a", "key-b": "tenant-b", doomedKey: "tenant-c"})
	s.keys = []string{"key-a", "key-b", doomedKey}
	defer s.end()
	if err = s.begin(ctx); err != nil {
		return nil, err
	}
	events := Schedule(s.Seed, s.Length, s.Boxes, len(s.targets))
	for _, e := range events {
		fmt.Fprintln(s.Out, e)
	}
	if !s.settled(ctx) {
		return nil, eris.New("the boxes did not begin to serve")
	}
	s.play(ctx, events)
	s.examine(ctx)
	return s.history.Check(), nil
}

// begin starts the processes.
func (s *Soak) begin(ctx context.Context) (err error) {
	if s.store, err = startChild(ctx, s.Self, s.history.Arrived, "store"); err != nil {
		return err
	}
	s.configure()
	for i := range s.Targets + s.Targets/2 {
		t := &slot{soak: s, number: i, service: engineService, spoils: make(map[platformtest.Spoil]float64)}
		if i >= s.Targets {
			t.service = plainService
		}
		s.targets = append(s.targets, t)
		if err = t.start(ctx); err != nil {
			return err
		}
	}
	peers := make([]string, s.Boxes)
	for i := range peers {
		if peers[i], err = freeAddr(ctx); err != nil {
			return err
		}
	}
	for i := range s.Boxes {
		b, err := newBox(ctx, s.Clock, s.history, s.Program, s.Dir, i, peers, s.store.addr)
		if err != nil {
			return err
		}
		s.boxes = append(s.boxes, b)
		b.start(ctx)
	}
	return nil
}

// end stops all processes.
func (s *Soak) end() {
	var all sync.WaitGroup
	for _, b := range s.boxes {
		all.Go(b.stop)
	}
	all.Wait()
	for _, t := range s.targets {
		t.stop()
	}
	if s.store != nil {
		s.store.kill()
	}
}

// configure writes the next version of the configuration.
func (s *Soak) configure() {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.version++
	routes := []platformtest.Route{
		{Name: "once", Prefix: "/once/", Kind: "non_idempotent", Service: plainService},
		{Name: "again", Prefix: "/again/", Kind: "idempotent", Service: plainService},
		{Name: "stream", Prefix: "/stream/", Kind: "streaming", Service: engineService, Resumable: true},
		{Name: "plain", Prefix: "/streamplain/", Kind: "streaming", Service: engineService},
	}
	for i := range s.routes.Load() {
		routes = append(routes, platformtest.Route{Name: fmt.Sprint("added", i+1), Prefix: fmt.Sprintf("/added%d/", i+1), Kind: "idempotent", Service: plainService})
	}
	var tenants []platformtest.Tenant
	for _, key := range s.keys {
		tenants = append(tenants, platformtest.Tenant{Name: s.history.tenants[key], Key: key})
	}
	value := platformtest.Settings{
		Version: s.version, Host: host, Routes: routes, Tenants: tenants, TimeLimit: timeLimit,
		Engine: engineService, Plain: plainService, EngineSlots: engineSlots, EngineMemory: engineMemory,
	}.Value()
	s.store.give(order{Put: &record{"op", "config", value}})
}

// settled waits until every box serves a request of each service.
func (s *Soak) settled(ctx context.Context) bool {
	end := s.Clock.Now().Add(settleTime)
	s.probes++
	probe := newCaller(s.Callers+s.probes, s.Seed)
	s.equip(probe)
	defer probe.client.CloseIdleConnections()
	for _, b := range s.boxes {
		for _, path := range []Kind{KindAgain, KindStream} {
			for !s.serves(probe, b, path) {
				if ctx.Err() != nil || s.Clock.Now().After(end) {
					return false
				}
				timer := s.Clock.NewTimer(pollEvery)
				<-timer.C()
			}
		}
	}
	return true
}

func (s *Soak) serves(probe *caller, b *box, kind Kind) bool {
	probe.number++
	x := probe.call(b, Call{ID: fmt.Sprintf("%s-%d", probe.name, probe.number), Kind: kind, Key: s.keys[0], Path: "/" + string(kind) + "/", Body: "probe"})
	s.history.Called(x)
	return x.Status == http.StatusOK && !x.Broken
}

func (s *Soak) equip(c *caller) {
	c.clock, c.boxes, c.history, c.keys = s.Clock, s.boxes, s.history, slices.Clone(s.keys)
	c.routes = func() int { return int(s.routes.Load()) }
}

// play has callers send requests while the events happen.
func (s *Soak) play(ctx context.Context, events []Event) {
	asking, cancel := context.WithCancel(ctx) // Processes that faults start go on after it.
	defer cancel()
	var callers, faults sync.WaitGroup
	for i := range s.Callers {
		c := newCaller(i, s.Seed)
		s.equip(c)
		callers.Go(func() { c.run(asking) })
	}
	started := s.Clock.Now()
	for _, e := range events {
		if !s.sleep(ctx, started.Add(e.At).Sub(s.Clock.Now())) {
			break
		}
		faults.Go(func() { s.act(ctx, e) })
	}
	s.sleep(ctx, started.Add(s.Length).Sub(s.Clock.Now()))
	faults.Wait()
	cancel()
	callers.Wait()
}

func (s *Soak) sleep(ctx context.Context, d time.Duration) bool {
	timer := s.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C():
		return true
	}
}

// act brings one fault about and ends it after its time.
func (s *Soak) act(ctx context.Context, e Event) {
	switch e.Action {
	case ActionTerm, ActionKill, ActionReload, ActionFreeze:
		s.actOnBox(ctx, e)
	case ActionKillAll:
		for _, b := range s.boxes {
			b.signal(syscall.SIGKILL)
		}
	case ActionStore:
		s.storeFault(ctx, e)
	case ActionForget:
		s.store.give(order{Forget: true})
	case ActionRoute:
		s.routes.Add(1)
		s.configure()
	case ActionRevoke:
		s.revoke()
	default:
		s.targets[e.Index].act(ctx, e)
	}
}

func (s *Soak) actOnBox(ctx context.Context, e Event) {
	b := s.boxes[e.Index]
	switch e.Action {
	case ActionTerm:
		b.signal(syscall.SIGTERM)
	case ActionKill:
		b.signal(syscall.SIGKILL)
	case ActionReload:
		b.signal(syscall.SIGHUP)
	default:
		b.signal(syscall.SIGSTOP)
		s.sleep(ctx, e.For)
		b.signal(syscall.SIGCONT)
	}
}

// storeFault has the store fail for a time. Where several overlap the newest is in force.
func (s *Soak) storeFault(ctx context.Context, e Event) {
	s.storeMu.Lock()
	s.storeFaults = append(s.storeFaults, e.Detail)
	s.store.give(order{Fault: e.Detail})
	s.storeMu.Unlock()
	s.sleep(ctx, e.For)
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.storeFaults = slices.Delete(s.storeFaults, 0, 1)
	if len(s.storeFaults) == 0 {
		s.store.give(order{Fault: "none"})
	}
}

// revoke takes away the key that is there for it, once.
func (s *Soak) revoke() {
	s.configuring.Lock()
	known := slices.Contains(s.keys, doomedKey)
	s.keys = slices.DeleteFunc(slices.Clone(s.keys), func(k string) bool { return k == doomedKey })
	s.configuring.Unlock()
	if known {
		s.configure()
		s.history.Revoked(doomedKey, s.Clock.Now())
	}
}

// examine looks at what is left when all faults are over.
func (s *Soak) examine(ctx context.Context) {
	if !s.settled(ctx) {
		s.history.Find("served again: not all boxes serve %s after the last fault", settleTime)
	}
	s.sleep(ctx, holdTime)
	for _, t := range s.targets {
		if held := t.child.heldMemory(); held > 0 {
			s.history.Find("memory free: %s has %d tokens set aside", t.id, held)
		}
	}
	for _, b := range s.boxes {
		u, err := b.usage()
		if err != nil {
			s.history.Find("resources: %s: %v", b.id, err)
		} else if u.descriptors > moreDescriptors || u.megabytes > mostMegabytes {
			s.history.Find("resources: %s holds %d descriptors and %d MB", b.id, u.descriptors, u.megabytes)
		}
	}
}

// start starts a process in the slot and has it announced.
func (t *slot) start(ctx context.Context) (err error) {
	t.lives++
	t.id = fmt.Sprintf("t%d-%d", t.number, t.lives)
	seed := t.soak.Seed*1000 + uint64(t.number)
	t.child, err = startChild(ctx, t.soak.Self, t.soak.history.Arrived, "target", "--id", t.id, "--memory", fmt.Sprint(engineMemory), "--seed", fmt.Sprint(seed))
	if err != nil {
		return err
	}
	if t.link, err = newLink(ctx, t.soak.Clock, t.child.addr); err != nil {
		return err
	}
	t.child.give(order{Spoils: maps.Clone(t.spoils)})
	t.announce("ready")
	return nil
}

func (t *slot) announce(state string) {
	value := map[string]any{"service": t.service, "address": t.link.addr(), "zone": fmt.Sprintf("h%d", t.number%2), "slots": engineSlots, "state": state}
	t.soak.store.give(order{Put: &record{"servers", t.id, value}})
}

func (t *slot) stop() {
	if t.link != nil {
		t.link.close()
	}
	if t.child != nil {
		t.child.kill()
	}
}

// act brings a fault about at the slot's target.
func (t *slot) act(ctx context.Context, e Event) {
	t.mu.Lock()
	l := t.link
	t.mu.Unlock()
	switch e.Action {
	case ActionCrash:
		t.replace(ctx, e.For, false)
	case ActionDrain:
		t.replace(ctx, max(e.For, drainTime), true)
	case ActionSpoil:
		t.spoil(platformtest.Spoil(e.Detail), e.Share)
		t.soak.sleep(ctx, e.For)
		t.spoil(platformtest.Spoil(e.Detail), -e.Share)
	case ActionReset:
		l.resetAll()
	case ActionSilence:
		l.change(1, 0)
		t.soak.sleep(ctx, e.For)
		l.change(-1, 0)
	case ActionSlow:
		l.change(0, 1)
		t.soak.sleep(ctx, e.For)
		l.change(0, -1)
	}
}

// drainTime is how long a target that leaves serves on.
const drainTime = 3 * time.Second

// replace ends the target's process, after a notice if it is planned, and starts another.
// Boxes that cannot reach the store do not hear of it.
func (t *slot) replace(ctx context.Context, wait time.Duration, planned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if planned {
		t.announce("draining")
		t.soak.sleep(ctx, wait)
	}
	t.stop()
	if !planned {
		t.soak.sleep(ctx, wait)
	}
	t.soak.store.give(order{Remove: &record{Table: "servers", Key: t.id}})
	if err := t.start(ctx); err != nil {
		t.soak.history.Find("a target cannot be started: %v", err)
	}
}

// spoil adds to the share of answers that are spoilt in one way.
func (t *slot) spoil(way platformtest.Spoil, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spoils[way] = max(t.spoils[way]+share, 0)
	t.child.give(order{Spoils: maps.Clone(t.spoils)})
}

// TempDir returns a directory for settings and logs.
func TempDir(seed uint64) (dir string, err error) {
	dir = filepath.Join(os.TempDir(), fmt.Sprintf("barleystep-soak-%d", seed))
	return dir, eris.Wrap(os.MkdirAll(dir, 0o700), "soak: directory")
}

// Summary tells how much was seen in the run.
func (s *Soak) Summary() string { return s.history.Summary() }
