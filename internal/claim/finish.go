package claim

import (
	"context"
	"sync"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// task writes the final row of a claim, if need be after its request has ended.
type task struct {
	request Request
	machine Machine
	// state and answer are the result of a claim that was sent; state is empty
	// for a claim that was never sent.
	state  State
	answer []byte
}

// Finish records the outcome of a claim that was sent. The answer is stored
// before the row is written, so that a row in StateDone always has one. Finish
// tries once, for at most StoreTimeout and not beyond the request's deadline; after a
// failure, Serve retries until the platform's stores accept the writes.
func (c *Claim) Finish(ctx context.Context, o barleystep.Outcome, answer []byte) {
	t := task{request: c.request, machine: c.machine, state: stateOf(o), answer: answer}
	until := c.manager.Clock.Now().Add(c.manager.storeTimeout())
	if c.request.Deadline.Before(until) {
		until = c.request.Deadline
	}
	ctx, cancel := clock.WithDeadline(ctx, c.manager.Clock, until)
	defer cancel()
	if c.manager.settle(ctx, t) != nil {
		c.manager.enqueue(t)
	}
}

func stateOf(o barleystep.Outcome) State {
	switch o {
	case barleystep.OutcomeDone:
		return StateDone
	case barleystep.OutcomeNotRun, barleystep.OutcomePending:
		return StateNotRun
	case barleystep.OutcomeFailed:
		return StateFailed
	default:
		return StateUnknown
	}
}

func (b *Manager) enqueue(t task) {
	select {
	case b.tasks <- t:
	default:
		b.Meter.StoreFault("claim_finish", "queue_full")
		b.Log.Warn().Str("account", t.request.Account).Msg(logPrefix + "Queue of unsettled claims is full; a claim stays unsettled.")
	}
}

const logPrefix = "claim: "

// Serve settles unsettled claims in the background until ctx ends.
func (b *Manager) Serve(ctx context.Context) error {
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() { b.runWorker(ctx) })
	}
	wait.Wait()
	return ctx.Err()
}

func (b *Manager) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-b.tasks:
			b.settleWithRetry(ctx, t)
		}
	}
}

// settleWithRetry retries with backoff until the task is settled or ctx ends.
func (b *Manager) settleWithRetry(ctx context.Context, t task) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		tryCtx, cancel := clock.WithDeadline(ctx, b.Clock, b.Clock.Now().Add(b.storeTimeout()))
		err := b.settle(tryCtx, t)
		cancel()
		if err == nil || !clock.Sleep(ctx, b.Clock, backoff) {
			return
		}
	}
}

// settle tries once to write the claim's final row.
func (b *Manager) settle(ctx context.Context, t task) error {
	if t.state == "" {
		return b.release(ctx, t)
	}
	final := t.request.row(t.state, t.machine.Nonce)
	if t.state == StateDone {
		final.Object = objectName(t.request.Account, t.machine.Nonce)
		if err := b.Objects.Put(ctx, final.Object, t.answer); err != nil {
			b.Meter.StoreFault("answer_put", barleystep.FaultOf(err).String())
			return err
		}
	}
	return b.replaceHeld(ctx, t, final)
}

// release ends a claim that was never sent. One of its writes may still take
// effect: the write over BaseVersion prevents that, or replaceHeld undoes it.
func (b *Manager) release(ctx context.Context, t task) error {
	key := rowKey(t.request.Account, t.request.Key)
	notRun := t.request.row(StateNotRun, t.machine.Nonce)
	switch b.write(ctx, key, t.machine.BaseVersion, notRun).Event {
	case EventWritten:
		return nil
	case EventConflict:
		return b.replaceHeld(ctx, t, notRun)
	default:
		return errUnsettled
	}
}

// replaceHeld writes final over the held row of the claim. It leaves a row of
// another claim unchanged, and returns errUnsettled for a stale read.
func (b *Manager) replaceHeld(ctx context.Context, t task, final Row) error {
	key := rowKey(t.request.Account, t.request.Key)
	r, err := b.read(ctx, key)
	if err != nil {
		return err
	}
	held := r.Nonce == t.machine.Nonce && r.State == StateHeld
	switch {
	case r.Version() <= t.machine.BaseVersion:
		return errUnsettled
	case !held:
		return nil
	}
	if b.write(ctx, key, r.Version(), final).Event == EventWritten {
		return nil
	}
	return errUnsettled
}

// Expired reports whether a claim's row may be deleted: its deadline is more than
// retention ago, so that its holder has ended and callers no longer retry.
func Expired(r Row, now time.Time, retention time.Duration) bool {
	return now.Sub(r.Deadline) > retention
}
