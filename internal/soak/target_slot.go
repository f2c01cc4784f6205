package soak

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// targetSlot holds one target at a time. When its process exits, another one replaces it.
type targetSlot struct {
	runner  *Runner
	number  int
	service string

	mu         mutex.Mutex
	generation int
	id         string
	born       time.Time // born is when the process was started.
	child      *child
	proxy      *proxy
	faults     map[platformtest.TargetFault]float64
	// slowdowns counts the current periods in which the target is slow.
	slowdowns int
	// coldUntil is when the target ceases to be cold, zero if it did not start cold.
	coldUntil time.Time
}

const (
	// slowdownFactor is the factor by which a slow target is slower.
	slowdownFactor = 4
	// coldTime is how long a target is cold after a cold start, and coldRate the requests a second
	// that it takes then. Two boxes that lead for a moment keep the bound at rates up to 9.
	coldTime = 5 * time.Second
	coldRate = 8
)

// start starts a process with a new id and announces it.
func (t *targetSlot) start(ctx context.Context, cold bool) (err error) {
	t.generation++
	t.id = fmt.Sprintf("t%d-%d", t.number, t.generation)
	if t.proxy, err = newProxy(ctx, t.runner.Clock); err != nil {
		return err
	}
	t.runner.history.RecordTarget(t.id, hallOf(t.number))
	t.runner.history.RecordSlot(t.id, t.number)
	return t.startProcess(ctx, cold)
}

// startProcess starts a process with the slot's current id. It has no state of an earlier process
// with that id.
func (t *targetSlot) startProcess(ctx context.Context, cold bool) (err error) {
	t.born = t.runner.Clock.Now()
	seed := t.runner.Seed*1000 + uint64(t.number)
	args := []string{"target", "--id", t.id, "--memory", fmt.Sprint(engineMemory), "--seed", fmt.Sprint(seed), "--pause", t.runner.load().pause.String()}
	if cold {
		args = append(args, "--cold", coldTime.String(), "--cold-rate", fmt.Sprint(coldRate))
	}
	t.child, err = startChild(ctx, t.runner.Program, t.runner.history.RecordArrival, args...)
	if err != nil {
		return err
	}
	t.coldUntil = time.Time{}
	if cold {
		t.coldUntil = t.runner.Clock.Now().Add(coldTime) // After the process's own start, never too early.
	}
	t.proxy.setTarget(t.child.addr)
	go t.watch(ctx, t.child)
	t.child.execute(command{TargetFaults: maps.Clone(t.faults), Slowdown: t.slowdown()})
	t.announce(stateReady)
	return nil
}

// crashRestartDelay is the time between the unexpected exit of a target and its replacement.
const crashRestartDelay = time.Second

// exitNotice is how long before its exit is seen the connections of a target may have closed.
const exitNotice = time.Second

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
	at := t.runner.Clock.Now()
	t.runner.history.RecordTrouble(t.number, at.Add(-exitNotice), at)
	if current && ctx.Err() == nil {
		t.replace(ctx, crashRestartDelay, false, false)
	}
}

// entry returns the target's record for the store.
func (t *targetSlot) entry(state string) map[string]any {
	e := platformtest.ServerRecord(t.service, t.proxy.addr(), hallOf(t.number), t.runner.load().slots, state)
	e["born"] = t.born.UnixMilli()
	e["cold_left_ms"] = t.coldLeft().Milliseconds()
	return e
}

// coldLeft returns for how much longer the target is cold, in whole milliseconds, rounded up.
func (t *targetSlot) coldLeft() time.Duration {
	left := max(t.coldUntil.Sub(t.runner.Clock.Now()), 0)
	return (left + time.Millisecond - 1).Truncate(time.Millisecond)
}

// slowdown returns the factor by which the target is slower now.
func (t *targetSlot) slowdown() int {
	if t.slowdowns > 0 {
		return slowdownFactor
	}
	return 1
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
	from := t.runner.Clock.Now()
	defer func() { t.runner.history.RecordTrouble(t.number, from, t.runner.Clock.Now()) }()
	switch e.Action {
	case ActionCrash:
		t.replace(ctx, e.Duration, false, false)
	case ActionCold:
		t.replace(ctx, e.Duration, false, true)
	case ActionDrain:
		t.replace(ctx, max(e.Duration, drainTime), true, false)
	case ActionRestart:
		t.restart(ctx, e.Duration)
	case ActionLeave:
		t.leave(ctx, max(e.Duration, drainTime))
	case ActionVanish:
		t.vanish(ctx, e.Share >= sayShare)
	case ActionRest:
		t.rest(ctx, e.Duration)
	case ActionForeign:
		t.overwriteEntry(ctx, e.Detail, max(e.Duration, foreignTime))
	case ActionSpoil, ActionExcess:
		t.addFault(platformtest.TargetFault(e.Detail), e.Share)
		t.runner.sleep(ctx, e.Duration)
		t.addFault(platformtest.TargetFault(e.Detail), -e.Share)
	case ActionUnframed:
		t.addFault(platformtest.TargetFaultTruncateUnframed, e.Share)
		t.runner.sleep(ctx, e.Duration)
		t.addFault(platformtest.TargetFaultTruncateUnframed, -e.Share)
	case ActionSlowdown:
		t.addSlowdown(1)
		t.runner.sleep(ctx, e.Duration)
		t.addSlowdown(-1)
	default:
		t.injectConnFault(ctx, e)
	}
}

// injectConnFault injects a fault at the connections to the slot's target.
func (t *targetSlot) injectConnFault(ctx context.Context, e Event) {
	t.mu.Lock()
	p, id, cold := t.proxy, t.id, t.coldLeft() > 0
	t.mu.Unlock()
	switch e.Action {
	case ActionReset:
		p.resetAll()
	case ActionSilence:
		if cold {
			return // What boxes send in seconds would arrive at once, and no box could prevent that.
		}
		t.runner.history.RecordSilence(id, t.runner.Clock.Now())
		p.adjust(1, 0)
		t.runner.sleep(ctx, e.Duration)
		p.adjust(-1, 0)
		t.runner.history.RecordSilenceEnd(id, t.runner.Clock.Now())
	case ActionSlow:
		p.adjust(0, 1)
		t.runner.sleep(ctx, e.Duration)
		p.adjust(0, -1)
	}
}

// drainTime is how long a leaving target continues to serve.
const drainTime = 3 * time.Second

// replace ends the target's process, after an announcement if it is planned, and starts another,
// which may be cold. Boxes that cannot reach the store do not learn of it.
func (t *targetSlot) replace(ctx context.Context, wait time.Duration, planned, cold bool) {
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
	t.unlist()
	t.recordStartError(t.start(ctx, cold))
}

// leave makes the target state in its answers only that it is leaving, and replaces its process
// after the wait.
func (t *targetSlot) leave(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	t.child.execute(command{Says: &statement{Leaving: true}})
	t.mu.Unlock()
	t.runner.sleep(ctx, wait)
	t.replace(ctx, 0, false, false)
}

// vanishTime is how long a target serves on that has left the list.
const vanishTime = 6 * time.Second

// vanish makes the target leave, by a last record or by none, and replaces its process much later. It
// does nothing while another target does: the few targets of a run would run out.
func (t *targetSlot) vanish(ctx context.Context, saysSo bool) {
	if !t.runner.vanishing.CompareAndSwap(false, true) {
		return
	}
	defer t.runner.vanishing.Store(false)
	t.mu.Lock()
	defer t.mu.Unlock()
	if saysSo {
		t.announce("draining")
	} else {
		t.unlist()
	}
	t.runner.history.RecordLeave(t.id, t.runner.Clock.Now())
	t.runner.sleep(ctx, vanishTime)
	t.stop()
	t.unlist()
	t.recordStartError(t.start(ctx, false))
}

// unlist removes the target's record.
func (t *targetSlot) unlist() {
	t.runner.store.execute(command{Remove: &record{Table: tableTargets, Key: t.id}})
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
	t.recordStartError(t.startProcess(ctx, false))
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

// addSlowdown adds to the count of periods in which the target is slow.
func (t *targetSlot) addSlowdown(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdowns += n
	t.child.execute(command{Slowdown: t.slowdown()})
}
