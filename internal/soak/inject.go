package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"
)

// runEvents runs the callers and injects the events at their times. It returns after the last fault
// and the last call have ended.
func (s *Runner) runEvents(ctx context.Context, events []Event) {
	callersCtx, cancel := context.WithCancel(ctx) // Processes that faults start outlive callersCtx.
	defer cancel()
	var callers, faults sync.WaitGroup
	for i := range s.Callers {
		c := newCaller(i, s.Seed)
		s.configureCaller(c)
		callers.Go(func() { c.run(callersCtx) })
	}
	started := s.Clock.Now()
	for _, e := range events {
		if !s.sleep(ctx, started.Add(e.At).Sub(s.Clock.Now())) {
			break
		}
		faults.Go(func() { s.inject(ctx, e) })
	}
	s.sleep(ctx, started.Add(s.Length).Sub(s.Clock.Now()))
	faults.Wait()
	cancel()
	callers.Wait()
}

func (s *Runner) sleep(ctx context.Context, d time.Duration) bool {
	timer := s.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C():
		return true
	}
}

// inject injects one fault and ends it after its duration.
func (s *Runner) inject(ctx context.Context, e Event) {
	switch e.Action {
	case ActionTerm, ActionKill, ActionReload, ActionFreeze:
		s.injectBoxFault(ctx, e)
	case ActionKillAll:
		for _, b := range s.boxes {
			b.signal(syscall.SIGKILL)
		}
	case ActionStore, ActionForget, ActionMute:
		s.injectStoreFault(ctx, e)
	case ActionRoute:
		s.routes.Add(1)
		s.writeConfig()
	case ActionRevoke:
		s.revokeKey()
	case ActionDeadly, ActionDeadlyPart, ActionCrowd:
		s.injectCallerFault(ctx, e)
	case ActionKillLong:
		s.killLong(ctx, e, max(e.Duration, killLongTime))
	case ActionCut:
		s.cut(ctx, e)
	case ActionEvacuate:
		s.evacuate(ctx, e.Detail, max(e.Duration, evacuationTime))
	default:
		s.targets[e.Index].inject(ctx, e)
	}
}

// injectCallerFault changes what callers send, or where.
func (s *Runner) injectCallerFault(ctx context.Context, e Event) {
	switch e.Action {
	case ActionDeadly:
		s.deadly.Add(1)
		s.sleep(ctx, e.Duration)
		s.deadly.Add(-1)
	case ActionDeadlyPart:
		s.deadlyParts.Add(1)
		s.sleep(ctx, e.Duration)
		s.deadlyParts.Add(-1)
	default:
		b := s.boxes[e.Index]
		s.crowded.Store(b)
		s.sleep(ctx, e.Duration)
		s.crowded.CompareAndSwap(b, nil) // A later crowd may have taken its place.
	}
}

func (s *Runner) injectBoxFault(ctx context.Context, e Event) {
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
		s.sleep(ctx, e.Duration)
		b.signal(syscall.SIGCONT)
	}
}

// injectStoreFault makes the store forget its history, makes its connections fall silent, or makes it
// fail for the event's duration. If several faults overlap, the
// newest stays active until the last of them has ended.
func (s *Runner) injectStoreFault(ctx context.Context, e Event) {
	switch e.Action {
	case ActionForget:
		s.store.execute(command{Forget: true})
		return
	case ActionMute:
		s.muteStore(ctx)
		return
	}
	s.storeMu.Lock()
	s.storeFaults = append(s.storeFaults, e.Detail)
	s.store.execute(command{StoreFault: e.Detail})
	s.history.RecordStoreDown(s.Clock.Now())
	s.storeMu.Unlock()
	s.sleep(ctx, e.Duration)
	s.endStoreFault()
}

// endStoreFault ends the oldest fault of the store.
func (s *Runner) endStoreFault() {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.storeFaults = slices.Delete(s.storeFaults, 0, 1)
	if len(s.storeFaults) == 0 {
		s.store.execute(command{StoreFault: "none"})
		s.history.RecordStoreUp(s.Clock.Now())
	}
}

// revokeKey revokes revocableKey if that has not happened yet.
func (s *Runner) revokeKey() {
	s.configMu.Lock()
	known := slices.Contains(s.keys, revocableKey)
	s.keys = slices.DeleteFunc(slices.Clone(s.keys), func(k string) bool { return k == revocableKey })
	s.configMu.Unlock()
	if known {
		s.writeConfig()
		s.history.RecordRevocation(revocableKey, s.Clock.Now())
	}
}

// muteTime is how long boxes may take to replace connections that have fallen silent.
const muteTime = 3 * time.Second

// muteStore makes the open connections to the store fall silent.
func (s *Runner) muteStore(ctx context.Context) {
	s.store.execute(command{Mute: true})
	s.storeMu.Lock()
	s.storeFaults = append(s.storeFaults, "none")
	s.history.RecordStoreDown(s.Clock.Now())
	s.storeMu.Unlock()
	s.sleep(ctx, muteTime)
	s.endStoreFault()
}
