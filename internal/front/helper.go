package front

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// helperTimeout bounds how long it may take to connect to a helper: several times the way
// between halls, and a small part of the tightest objective of a prompt that has any.
const helperTimeout = 40 * time.Millisecond

// errSilent means that helpers cannot be reached without which the prompt has no memory.
var errSilent = eris.New("front: helpers that hold the prompt cannot be reached")

// reach leaves out the helpers to which no connection can be had. A target refuses a prompt
// if one of its helpers is gone, and a route allows few sends: where a quarter of the
// engines ends at once while nobody can read of it, hardly a choice of sixteen is without
// one of them, and two such choices refuse the prompt. Each box asks for itself, over the
// connections that it keeps.
func (t *try) reach(ctx context.Context) error {
	t.silent = t.silentHelpers(ctx)
	if ctx.Err() != nil {
		return eris.Wrap(barleystep.ErrNotStarted, context.Cause(ctx).Error())
	}
	if len(t.silent) == 0 {
		return nil
	}
	left := t.placement.DropHelpers(t.silent)
	t.stage.log.Info().Str("request", t.exchange.call.RequestID).Str("target", string(t.placement.Target.ID)).
		Strs("silent", names(t.silent)).Bool("goes_on", left).Dur("within", helperTimeout).
		Msg(logPrefix + "Helpers cannot be reached. They are left out.")
	if left {
		return nil
	}
	t.unplaced = true
	return eris.Wrap(barleystep.ErrNotStarted, errSilent.Error())
}

// silentHelpers returns the helpers that do not take a connection in time. Of those that
// refuse it the balancer learns; a lost packet of one box's says nothing to the others.
func (t *try) silentHelpers(ctx context.Context) []barleystep.TargetID {
	helpers := t.placement.Helpers
	asking, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(helperTimeout))
	defer cancel()
	reached := make([]bool, len(helpers))
	var wait sync.WaitGroup
	for i, h := range helpers {
		wait.Go(func() {
			reached[i] = t.stage.pool.EnsureConn(asking, h.Addr) == nil
			if !reached[i] && asking.Err() == nil {
				t.placement.NoteUnreachable(h.ID)
			}
		})
	}
	wait.Wait()
	var silent []barleystep.TargetID
	for i, h := range helpers {
		if !reached[i] {
			silent = append(silent, h.ID)
		}
	}
	return silent
}

func names(ids []barleystep.TargetID) []string {
	list := make([]string, len(ids))
	for i, id := range ids {
		list[i] = string(id)
	}
	return list
}
