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
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// Runner executes one run. Its exported fields are set before Run.
type Runner struct {
	Setup
	Clock barleystep.Clock
	// Program is the path of the program that runs the boxes and the stand-ins.
	Program string
	// Dir holds the settings and logs of the boxes.
	Dir string
	// Out receives the schedule and the violations.
	Out io.Writer

	history *History
	store   *child
	boxes   []*box
	targets []*targetSlot
	routes  atomic.Int64
	version int
	keys    []string
	deadly  atomic.Int64 // deadly counts the current periods in which callers send deadly requests.
	// deadlyParts counts those in which they send requests with a deadly part, and crowded is the box
	// to which most of them go.
	deadlyParts atomic.Int64
	crowded     atomic.Pointer[box]
	// vanishing is set while a target has left the list and serves on.
	vanishing atomic.Bool
	probes    int // probes counts the callers made to probe boxes.
	// configMu serializes changes of the configuration, storeMu faults of the store.
	configMu    mutex.Mutex
	storeMu     mutex.Mutex
	storeFaults []string
	// long counts the current periods in which callers send additional oversized prompts, longKills
	// the boxes killed while such a prompt waited or was being prefilled.
	long      atomic.Int64
	longKills atomic.Int64
	longCalls *longCalls
	// evacuating is set while a hall is evacuated.
	evacuating atomic.Bool
}

const (
	engineService = "model"
	plainService  = "app"
	engineMemory  = 50_000
	// revocableKey is the API key that ActionRevoke revokes.
	revocableKey = "key-doomed"
	// tableOperator is the table of the store in which the operator writes.
	tableOperator = "op"
)

// Run starts all processes, injects the faults and returns the violations, one a line.
func (s *Runner) Run(ctx context.Context) (violations []string, err error) {
	defer func() { err = eris.Wrap(err, "soak") }()
	unlock, err := LockDir(s.Dir)
	if err != nil {
		return nil, err
	}
	defer unlock()
	s.longCalls = newLongCalls()
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
		return nil, eris.New("boxes did not start to serve within the settle time")
	}
	s.runEvents(ctx, events)
	if err = ctx.Err(); err != nil {
		return nil, err // Interrupted: some processes are down and would have been restarted.
	}
	s.checkFinalState(ctx)
	return s.history.Check(), nil
}

// startAll starts the processes.
func (s *Runner) startAll(ctx context.Context) (err error) {
	if s.store, err = startChild(ctx, s.Program, s.history.RecordArrival, "store"); err != nil {
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
		if err := t.start(ctx, false); err != nil {
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
		b, err := newBox(s.Clock, s.history, s.Program, s.Dir, i, peers, s.store.addr)
		if err != nil {
			return err
		}
		s.boxes = append(s.boxes, b)
		b.start(ctx)
	}
	return nil
}

// stopAll stops all processes.
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

// writeConfig writes the next version of the configuration.
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
		EngineService: engineService, PlainService: plainService, EngineSlots: l.slots, EngineTokens: engineMemory, EventTime: l.pause,
		ColdTime: coldTime, ColdRate: coldRate,
	}.Value()
	s.store.execute(command{Put: &record{Table: tableOperator, Key: "config", Value: value}})
}

// TempDir creates and returns the directory for settings and logs of a run.
func TempDir(run Setup) (dir string, err error) {
	dir = filepath.Join(os.TempDir(), fmt.Sprintf("barleystep-soak-%s-%d", run.Profile, run.Seed))
	return dir, eris.Wrap(os.MkdirAll(dir, 0o700), "soak: create directory")
}

// Summary returns the counts of calls and arrivals of the run.
func (s *Runner) Summary() string {
	return fmt.Sprintf("%s, %d boxes killed with long prompts", s.history.Summary(), s.longKills.Load())
}
