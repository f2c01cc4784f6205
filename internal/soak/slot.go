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
	value := platformtest.Entry(t.service, t.link.addr(), fmt.Sprintf("h%d", t.number%2), engineSlots, state)
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
