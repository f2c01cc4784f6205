package soak

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// targetSlot holds one target at a time. When its process exits, another one replaces it.
type targetSlot struct {
	runner  *Runner
	number  int
	service string

	mu         sync.Mutex
	generation int
	id         string
	born       time.Time // born is when the process was started.
	child      *child
	proxy      *proxy
	faults     map[platformtest.TargetFault]float64
}

// start starts a process with a new id and announces it.
func (t *targetSlot) start(ctx context.Context) (err error) {
	t.generation++
	t.id = fmt.Sprintf("t%d-%d", t.number, t.generation)
	if t.proxy, err = newProxy(ctx, t.runner.Clock); err != nil {
		return err
	}
	return t.startProcess(ctx)
}

// startProcess starts a process with the slot's current id. It has no state of an earlier process
// with that id.
func (t *targetSlot) startProcess(ctx context.Context) (err error) {
	t.born = t.runner.Clock.Now()
	seed := t.runner.Seed*1000 + uint64(t.number)
	t.child, err = startChild(ctx, t.runner.StandInProgram, t.runner.history.RecordArrival, "target", "--id", t.id, "--memory", fmt.Sprint(engineMemory), "--seed", fmt.Sprint(seed), "--pause", t.runner.load().pause.String())
	if err != nil {
		return err
	}
	t.proxy.setTarget(t.child.addr)
	go t.watch(ctx, t.child)
	t.child.execute(command{TargetFaults: maps.Clone(t.faults)})
	t.announce(stateReady)
	return nil
}

// crashRestartDelay is the time between the unexpected exit of a target and its replacement.
const crashRestartDelay = time.Second

// watch replaces a process that exits without being killed by the run. Such an exit is not
// announced.
func (t *targetSlot) watch(ctx context.Context, c *child) {
	<-c.ended
	if c.killed.Load() {
		return
	}
	t.mu.Lock()
	current := t.child == c
	t.mu.Unlock()
	if current && ctx.Err() == nil {
		t.replace(ctx, crashRestartDelay, false)
	}
}

// entry returns the target's record for the store.
func (t *targetSlot) entry(state string) map[string]any {
	e := platformtest.ServerRecord(t.service, t.proxy.addr(), fmt.Sprintf("h%d", t.number%2), t.runner.load().slots, state)
	e["born"] = t.born.UnixMilli()
	return e
}

func (t *targetSlot) announce(state string) {
	t.write(record{Value: t.entry(state)})
}

// write writes the target's record.
func (t *targetSlot) write(r record) {
	r.Table, r.Key = tableTargets, t.id
	t.runner.store.execute(command{Put: &r})
}

func (t *targetSlot) stop() {
	if t.proxy != nil {
		t.proxy.close()
	}
	if t.child != nil {
		t.child.kill()
	}
}

// inject injects a fault at the slot's target.
func (t *targetSlot) inject(ctx context.Context, e Event) {
	t.mu.Lock()
	p := t.proxy
	t.mu.Unlock()
	switch e.Action {
	case ActionCrash:
		t.replace(ctx, e.Duration, false)
	case ActionDrain:
		t.replace(ctx, max(e.Duration, drainTime), true)
	case ActionRestart:
		t.restart(ctx, e.Duration)
	case ActionLeave:
		t.leave(ctx, max(e.Duration, drainTime))
	case ActionRest:
		t.rest(ctx, e.Duration)
	case ActionForeign:
		t.overwriteEntry(ctx, e.Detail, max(e.Duration, foreignTime))
	case ActionSpoil:
		t.addFault(platformtest.TargetFault(e.Detail), e.Share)
		t.runner.sleep(ctx, e.Duration)
		t.addFault(platformtest.TargetFault(e.Detail), -e.Share)
	case ActionReset:
		p.resetAll()
	case ActionSilence:
		p.adjust(1, 0)
		t.runner.sleep(ctx, e.Duration)
		p.adjust(-1, 0)
	case ActionSlow:
		p.adjust(0, 1)
		t.runner.sleep(ctx, e.Duration)
		p.adjust(0, -1)
	}
}

// drainTime is how long a leaving target continues to serve.
const drainTime = 3 * time.Second

// replace ends the target's process, after an announcement if it is planned, and starts another.
// Boxes that cannot reach the store do not learn of it.
func (t *targetSlot) replace(ctx context.Context, wait time.Duration, planned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if planned {
		t.announce("draining")
		t.runner.sleep(ctx, wait)
	}
	t.stop()
	if !planned {
		t.runner.sleep(ctx, wait)
	}
	t.runner.store.execute(command{Remove: &record{Table: tableTargets, Key: t.id}})
	t.recordStartError(t.start(ctx))
}

// leave makes the target state in its answers only that it is leaving, and replaces its process
// after the wait.
func (t *targetSlot) leave(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	t.child.execute(command{Says: &statement{Leaving: true}})
	t.mu.Unlock()
	t.runner.sleep(ctx, wait)
	t.replace(ctx, 0, false)
}

// requestedRest is the rest that targets ask for.
const requestedRest = 2 * time.Second

// rest makes the target refuse requests and ask for rest for the given time.
func (t *targetSlot) rest(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	c := t.child
	c.execute(command{Says: &statement{Rest: requestedRest}})
	t.mu.Unlock()
	t.runner.sleep(ctx, wait)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.child == c {
		c.execute(command{Says: &statement{}})
	}
}

func (t *targetSlot) recordStartError(err error) {
	if err != nil {
		t.runner.history.RecordFinding("a target cannot be started: %v", err)
	}
}

// restart kills the target's process and starts another with the same id.
func (t *targetSlot) restart(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proxy.resetAll() // Before the kill: a stream without a length would look complete.
	t.child.kill()
	t.runner.sleep(ctx, wait)
	t.recordStartError(t.startProcess(ctx))
}

// overwriteEntry makes another writer overwrite the target's record. After the wait the target
// writes it again.
func (t *targetSlot) overwriteEntry(ctx context.Context, name string, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(foreignEntries[name](t.entry(stateReady)))
	t.runner.history.RecordOverwrite(t.id, t.runner.Clock.Now())
	t.runner.sleep(ctx, wait)
	t.runner.history.RecordRestore(t.id, t.runner.Clock.Now())
	t.announce(stateReady)
}

// addFault adds to the share of answers that have this fault.
func (t *targetSlot) addFault(fault platformtest.TargetFault, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[fault] = max(t.faults[fault]+share, 0)
	t.child.execute(command{TargetFaults: maps.Clone(t.faults)})
}
