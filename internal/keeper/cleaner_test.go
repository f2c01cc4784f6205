package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/keeper"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
)

// TestCleanersFreeAllMemory abandons 3,000 attempts at an engine that counts
// its memory, while boxes restart. Attempts of live incarnations must survive
// the cleaners; once all boxes have restarted, no memory may be in use.
func TestCleanersFreeAllMemory(t *testing.T) {
	const attempts, boxes = 3_000, 4
	c := quicktest.New(t)
	ctx := context.Background()
	b := newTestHall(t, config.Target{})
	b.engine.Step = time.Hour // Attempts hold their memory until they are cancelled.
	rng := rand.New(rand.NewPCG(1, 1))
	e, _ := b.pool.Engine("e", false)
	incarnations := make([]barleystep.Incarnation, boxes)
	live := make(map[string]int) // live maps the attempts of live incarnations to their box.
	w := b.watcher()
	cleaners := []*keeper.Cleaner{b.cleaner("b1", w), b.cleaner("b2", w)}
	for n := range uint64(attempts) {
		box := rng.IntN(boxes)
		if rng.IntN(50) == 0 {
			incarnations[box]++
			for id, owner := range live {
				if owner == box {
					delete(live, id)
				}
			}
		}
		a := barleystep.Attempt{
			ID: barleystep.NewAttemptID(barleystep.BoxID(fmt.Sprint("x", box)), 10+incarnations[box], n), Path: "/v1/completions",
			Body: []byte(`{"stream":true,"max_tokens":4}`),
		}
		s, err := e.Start(ctx, a)
		c.Assert(err, quicktest.IsNil)
		s.Close()
		live[a.ID.String()] = box
		if n%200 == 0 {
			b.runCleaners(w, cleaners, incarnations)
			held := heldAttempts(t, e)
			for id := range live {
				c.Assert(held[id], quicktest.IsTrue, quicktest.Commentf("work of a live box was cancelled"))
			}
		}
	}
	c.Assert(b.engine.UsedTokens() > 0, quicktest.IsTrue)
	for i := range incarnations {
		incarnations[i]++
	}
	b.runCleaners(w, cleaners, incarnations)
	c.Check(b.engine.UsedTokens(), quicktest.Equals, 0)
}

// heldAttempts returns the attempts for which the engine holds memory.
func heldAttempts(t *testing.T, e barleystep.Engine) map[string]bool {
	work, err := e.List(context.Background())
	quicktest.Assert(t, err, quicktest.IsNil)
	held := make(map[string]bool, len(work))
	for _, w := range work {
		held[w.Attempt] = true
	}
	return held
}

func (b *testHall) cleaner(box barleystep.BoxID, w *keeper.Watcher) *keeper.Cleaner {
	return &keeper.Cleaner{
		Clock: b.clock, Box: box, Hall: "h", Configuration: b.config, Targets: b.pool, Watcher: w,
		Meter: metric.Discard(), Log: &log.Logger{Level: log.PanicLevel},
	}
}

// runCleaners refreshes the membership and runs one round of each cleaner.
func (b *testHall) runCleaners(w *keeper.Watcher, cleaners []*keeper.Cleaner, incarnations []barleystep.Incarnation) {
	members := b.members[:2:2]
	for i, inc := range incarnations {
		members = append(members, member.Update{Box: barleystep.BoxID(fmt.Sprint("x", i)), Incarnation: 10 + inc, Status: member.StatusLeaving})
	}
	b.members = members
	w.Refresh(context.Background())
	for _, k := range cleaners {
		k.Round(context.Background())
	}
}
