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
const helperDialTimeout = 40 * time.Millisecond

// errSilent means that helpers cannot be reached without which the prompt has no memory.
var errHelpersUnreachable = eris.New("front: helpers that hold the prompt cannot be reached")

// reach leaves out the helpers to which no connection can be had. A target refuses a prompt
// if one of its helpers is gone, and a route allows few sends: where a quarter of the
// engines ends at once while nobody can read of it, hardly a choice of sixteen is without
// one of them, and two such choices refuse the prompt. Each box asks for itself, over the
// connections that it keeps.
func (t *try) checkHelpers(ctx context.Context) error {
	t.unreachable = t.unreachableHelpers(ctx)
	if ctx.Err() != nil {
		return eris.Wrap(barleystep.ErrNotStarted, context.Cause(ctx).Error())
	}
	if len(t.unreachable) == 0 {
		return nil
	}
	remain := t.placement.DropHelpers(t.unreachable)
	t.stage.log.Info().Str("request", t.exchange.call.RequestID).Str("target", string(t.placement.Target.ID)).
		Strs("silent", idStrings(t.unreachable)).Bool("goes_on", remain).Dur("within", helperDialTimeout).
		Msg(logPrefix + "Helpers cannot be reached. They are left out.")
	if remain {
		return nil
	}
	t.needsPlacement = true
	return eris.Wrap(barleystep.ErrNotStarted, errHelpersUnreachable.Error())
}

// silentHelpers returns the helpers that do not take a connection in time. Of those that
// refuse it the balancer learns; a lost packet of one box's says nothing to the others.
func (t *try) unreachableHelpers(ctx context.Context) []barleystep.TargetID {
	helpers := t.placement.Helpers
	dialCtx, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(helperDialTimeout))
	defer cancel()
	reached := make([]bool, len(helpers))
	var wait sync.WaitGroup
	for i, h := range helpers {
		wait.Go(func() {
			reached[i] = t.stage.pool.EnsureConn(dialCtx, h.Addr) == nil
			if !reached[i] && dialCtx.Err() == nil {
				t.placement.NoteUnreachable(h.ID)
			}
		})
	}
	wait.Wait()
	var unreachable []barleystep.TargetID
	for i, h := range helpers {
		if !reached[i] {
			unreachable = append(unreachable, h.ID)
		}
	}
	return unreachable
}

func idStrings(ids []barleystep.TargetID) []string {
	list := make([]string, len(ids))
	for i, id := range ids {
		list[i] = string(id)
	}
	return list
}
