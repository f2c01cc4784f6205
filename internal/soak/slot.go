package soak

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// slot is a place for a target, in which one process follows another.
type slot struct {
	soak    *Runner
	number  int
	service string

	mu     sync.Mutex
	lives  int
	id     string
	born   time.Time // born is when the process started.
	child  *child
	link   *link
	spoils map[platformtest.TargetFault]float64
}

// start starts a process in the slot and has it announced.
func (t *slot) start(ctx context.Context) (err error) {
	t.lives++
	t.id = fmt.Sprintf("t%d-%d", t.number, t.lives)
	if t.link, err = newLink(ctx, t.soak.Clock); err != nil {
		return err
	}
	return t.begin(ctx)
}

// begin starts a process with the slot's id, which knows nothing of one before it.
func (t *slot) begin(ctx context.Context) (err error) {
	t.born = t.soak.Clock.Now()
	seed := t.soak.Seed*1000 + uint64(t.number)
	t.child, err = startChild(ctx, t.soak.StandInProgram, t.soak.history.RecordArrival, "target", "--id", t.id, "--memory", fmt.Sprint(engineMemory), "--seed", fmt.Sprint(seed), "--pause", t.soak.load().pause.String())
	if err != nil {
		return err
	}
	t.link.lead(t.child.addr)
	go t.watch(ctx, t.child)
	t.child.give(order{Spoils: maps.Clone(t.spoils)})
	t.announce(stateReady)
	return nil
}

// deadTime is how long a target is away that has ended by itself.
const deadTime = time.Second

// watch has another process follow one that ends by itself. It says nothing of its end.
func (t *slot) watch(ctx context.Context, c *child) {
	<-c.ended
	if c.killed.Load() {
		return
	}
	t.mu.Lock()
	current := t.child == c
	t.mu.Unlock()
	if current && ctx.Err() == nil {
		t.replace(ctx, deadTime, false)
	}
}

// entry is what the target says of itself in the store.
func (t *slot) entry(state string) map[string]any {
	e := platformtest.ServerRecord(t.service, t.link.addr(), fmt.Sprintf("h%d", t.number%2), t.soak.load().slots, state)
	e["born"] = t.born.UnixMilli()
	return e
}

func (t *slot) announce(state string) {
	t.write(record{Value: t.entry(state)})
}

// write writes the target's entry.
func (t *slot) write(r record) {
	r.Table, r.Key = tableTargets, t.id
	t.soak.store.give(order{Put: &r})
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
		t.foreign(ctx, e.Detail, max(e.Duration, foreignTime))
	case ActionSpoil:
		t.spoil(platformtest.TargetFault(e.Detail), e.Share)
		t.soak.sleep(ctx, e.Duration)
		t.spoil(platformtest.TargetFault(e.Detail), -e.Share)
	case ActionReset:
		l.resetAll()
	case ActionSilence:
		l.change(1, 0)
		t.soak.sleep(ctx, e.Duration)
		l.change(-1, 0)
	case ActionSlow:
		l.change(0, 1)
		t.soak.sleep(ctx, e.Duration)
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
	t.soak.store.give(order{Remove: &record{Table: tableTargets, Key: t.id}})
	t.started(t.start(ctx))
}

// leave ends the target's process after it has said in its answers, and nowhere else, that it
// leaves, and starts another.
func (t *slot) leave(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	t.child.give(order{Says: &statement{Leaving: true}})
	t.mu.Unlock()
	t.soak.sleep(ctx, wait)
	t.replace(ctx, 0, false)
}

// restAsked is the rest that targets ask for.
const restAsked = 2 * time.Second

// rest has the target turn requests away and ask for rest for a time.
func (t *slot) rest(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	c := t.child
	c.give(order{Says: &statement{Rest: restAsked}})
	t.mu.Unlock()
	t.soak.sleep(ctx, wait)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.child == c {
		c.give(order{Says: &statement{}})
	}
}

func (t *slot) started(err error) {
	if err != nil {
		t.soak.history.RecordFinding("a target cannot be started: %v", err)
	}
}

// restart kills the target's process and has another one follow it under its id.
func (t *slot) restart(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.link.resetAll() // Before the end, since a stream without a length would look whole.
	t.child.kill()
	t.soak.sleep(ctx, wait)
	t.started(t.begin(ctx))
}

// foreign has another writer overwrite the target's entry, until the target writes it again.
func (t *slot) foreign(ctx context.Context, name string, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(foreignEntries[name](t.entry(stateReady)))
	t.soak.history.RecordOverwrite(t.id, t.soak.Clock.Now())
	t.soak.sleep(ctx, wait)
	t.soak.history.RecordRestore(t.id, t.soak.Clock.Now())
	t.announce(stateReady)
}

// spoil adds to the share of answers that are spoilt in one way.
func (t *slot) spoil(way platformtest.TargetFault, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spoils[way] = max(t.spoils[way]+share, 0)
	t.child.give(order{Spoils: maps.Clone(t.spoils)})
}
