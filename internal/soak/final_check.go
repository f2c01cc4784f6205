package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// settleTime is how long boxes may take to serve again after the last fault. It is large, since
	// the machine may be busy.
	settleTime = 30 * time.Second
	// pollInterval is the time between two probes of a box.
	pollInterval = 50 * time.Millisecond
	// baseDescriptors, plus one for each other process, and maxMegabytes bound what an idle box may
	// hold at the end of the run.
	baseDescriptors = 138
	maxMegabytes    = 256
	// releaseTime is how long KV cache may stay reserved after the last request.
	releaseTime = 4 * time.Second
)

// waitServing waits until every box serves a request of each service, and reports whether all did
// within settleTime.
func (s *Runner) waitServing(ctx context.Context) bool {
	end := s.Clock.Now().Add(settleTime)
	var all sync.WaitGroup
	var failed atomic.Bool
	for _, b := range s.boxes {
		s.probes++
		probe := newCaller(s.Callers+s.probes, s.Seed)
		s.configureCaller(probe)
		all.Go(func() {
			if !s.waitBoxServing(ctx, probe, b, end) {
				failed.Store(true)
			}
		})
	}
	all.Wait()
	return !failed.Load()
}

// waitBoxServing waits until the box serves a request of each service, and reports whether it did
// before the end.
func (s *Runner) waitBoxServing(ctx context.Context, probe *caller, b *box, end time.Time) bool {
	defer probe.client.CloseIdleConnections()
	for _, kind := range []Kind{KindIdempotent, KindResumableStream} {
		for !s.sendProbe(probe, b, kind) {
			if ctx.Err() != nil || s.Clock.Now().After(end) {
				return false
			}
			s.sleep(ctx, pollInterval)
		}
	}
	return true
}

func (s *Runner) sendProbe(probe *caller, b *box, kind Kind) bool {
	probe.number++
	x := probe.call(b, Call{ID: fmt.Sprintf("%s-%d", probe.name, probe.number), Kind: kind, Key: s.keys[0], Path: "/" + string(kind) + "/", Body: "probe"})
	s.history.RecordCall(x)
	return x.Status == http.StatusOK && !x.Truncated
}

func (s *Runner) configureCaller(c *caller) {
	c.clock, c.boxes, c.history, c.keys, c.load = s.Clock, s.boxes, s.history, slices.Clone(s.keys), s.load()
	c.routes = func() int { return int(s.routes.Load()) }
	c.long = func() bool { return s.long.Load() > 0 }
	c.longCalls = s.longCalls
	c.deadly = func() bool { return s.deadly.Load() > 0 }
	c.deadlyPart = func() bool { return s.deadlyParts.Load() > 0 }
	c.crowded = s.crowded.Load
}

// checkFinalState waits until all boxes serve again after the last fault and records reserved
// memory and other resources that were not released.
func (s *Runner) checkFinalState(ctx context.Context) {
	if !s.waitServing(ctx) {
		s.history.RecordFinding("served again: not all boxes serve %s after the last fault", settleTime)
	}
	s.sleep(ctx, releaseTime)
	for _, t := range s.targets {
		if held := t.child.reservedMemory(); held > 0 {
			s.history.RecordFinding("memory free: %s has %d tokens set aside", t.id, held)
		}
	}
	for _, b := range s.boxes {
		u, err := b.usage()
		if err != nil {
			s.history.RecordFinding("resources: %s: %v", b.id, err)
		} else if u.descriptors > baseDescriptors+s.Boxes+s.targetCount() || u.megabytes > maxMegabytes {
			s.history.RecordFinding("resources: %s holds %d descriptors and %d MB", b.id, u.descriptors, u.megabytes)
		}
	}
}
