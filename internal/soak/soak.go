package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// Soak is one run. Its exported fields are set before Run.
type Runner struct {
	Setup
	Clock barleystep.Clock
	// Program is the box's program, Self this program, which runs the stand-ins.
	BoxProgram     string
	StandInProgram string
	// Dir keeps settings and logs of the boxes.
	Dir string
	// Out gets the schedule and the findings.
	Out io.Writer

	history *History
	store   *child
	boxes   []*box
	targets []*targetSlot
	routes  atomic.Int64
	version int
	keys    []string
	deadly  atomic.Int64 // deadly counts the times that last in which callers send a deadly request.
	probes  int          // probes counts the callers that looked whether all works.
	// configuring orders changes of the configuration, and storeMu faults of the store.
	configMu    sync.Mutex
	storeMu     sync.Mutex
	storeFaults []string
}

const (
	engineService = "model"
	plainService  = "app"
	engineMemory  = 50_000
	// doomedKey is the key that may be taken away.
	revocableKey = "key-doomed"
)

// Run starts all, brings the faults about, and returns what is wrong, a line each.
func (s *Runner) Run(ctx context.Context) (violations []string, err error) {
	defer func() { err = eris.Wrap(err, "soak") }()
	s.history = NewHistory(map[string]string{"key-a": "tenant-a", "key-b": "tenant-b", revocableKey: "tenant-c"})
	s.keys = []string{"key-a", "key-b", revocableKey}
	defer s.stopAll()
	if err = s.startAll(ctx); err != nil {
		return nil, err
	}
	events := Schedule(s.Setup)
	for _, e := range events {
		fmt.Fprintln(s.Out, e)
	}
	if !s.waitServing(ctx) {
		return nil, eris.New("the boxes did not begin to serve")
	}
	s.runEvents(ctx, events)
	if err = ctx.Err(); err != nil {
		return nil, err // Interrupted, with processes away that were to start again.
	}
	s.checkFinalState(ctx)
	return s.history.Check(), nil
}

// begin starts the processes.
func (s *Runner) startAll(ctx context.Context) (err error) {
	if s.store, err = startChild(ctx, s.StandInProgram, s.history.RecordArrival, "store"); err != nil {
		return err
	}
	s.writeConfig()
	if err = s.startTargets(ctx); err != nil {
		return err
	}
	return s.startBoxes(ctx)
}

func (s *Runner) startTargets(ctx context.Context) error {
	for i := range s.targetCount() {
		t := &targetSlot{runner: s, number: i, service: engineService, faults: make(map[platformtest.TargetFault]float64)}
		if i >= s.Targets {
			t.service = plainService
		}
		s.targets = append(s.targets, t)
		if err := t.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Runner) startBoxes(ctx context.Context) (err error) {
	peers := make([]string, s.Boxes)
	for i := range peers {
		peers[i] = addr(portPeers, i)
	}
	for i := range s.Boxes {
		b, err := newBox(s.Clock, s.history, s.BoxProgram, s.Dir, i, peers, s.store.addr)
		if err != nil {
			return err
		}
		s.boxes = append(s.boxes, b)
		b.start(ctx)
	}
	return nil
}

// end stops all processes.
func (s *Runner) stopAll() {
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
func (s *Runner) writeConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
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
	var accounts []platformtest.Tenant
	for _, key := range s.keys {
		accounts = append(accounts, platformtest.Tenant{Name: s.history.accounts[key], Key: key})
	}
	l := s.load()
	value := platformtest.ServicesConfiguration{
		Version: s.version, Host: host, Routes: routes, Tenants: accounts, TimeLimit: l.timeLimit, Objective: l.objective,
		EngineService: engineService, PlainService: plainService, EngineSlots: l.slots, EngineTokens: engineMemory,
	}.Value()
	s.store.execute(command{Put: &record{Table: "op", Key: "config", Value: value}})
}

// TempDir returns a directory for settings and logs of a run.
func TempDir(run Setup) (dir string, err error) {
	dir = filepath.Join(os.TempDir(), fmt.Sprintf("barleystep-soak-%s-%d", run.Profile, run.Seed))
	return dir, eris.Wrap(os.MkdirAll(dir, 0o700), "soak: directory")
}

// Summary tells how much was seen in the run.
func (s *Runner) Summary() string { return s.history.Summary() }
