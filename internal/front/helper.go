package front

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// helperDialTimeout bounds connecting to a helper. It is several times the latency between halls
// and a small part of the shortest objective of a prompt that uses helpers.
const helperDialTimeout = 40 * time.Millisecond

// errHelpersUnreachable means that the prompt does not fit in memory without the unreachable
// helpers.
var errHelpersUnreachable = eris.New("front: helpers that hold the prompt cannot be reached")

// checkHelpers drops unreachable helpers from the placement. A target refuses a prompt if one of
// its helpers is gone, and a route allows few sends. If a quarter of the engines terminate at once
// before the catalogue shows it, almost every choice of sixteen engines contains one of them, and
// two such choices refuse the prompt. Each box checks for itself, over its pooled connections.
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
		Msg(logPrefix + "Some helpers are unreachable. They are left out.")
	if remain {
		return nil
	}
	t.needsPlacement = true
	return eris.Wrap(barleystep.ErrNotStarted, errHelpersUnreachable.Error())
}

// unreachableHelpers returns the helpers that do not accept a connection within helperDialTimeout.
// Helpers that refuse it are reported to the balancer; a timeout is not, since a packet lost by one
// box says nothing about the others, and neither does a box that has no way to them.
func (t *try) unreachableHelpers(ctx context.Context) []barleystep.TargetID {
	helpers := t.placement.Helpers
	dialCtx, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(helperDialTimeout))
	defer cancel()
	reached := each(len(helpers), func(i int) bool {
		err := t.stage.pool.EnsureConn(dialCtx, helpers[i].Addr)
		if err != nil && dialCtx.Err() == nil && !eris.Is(err, barleystep.ErrNoPath) {
			t.placement.NoteUnreachable(helpers[i].ID)
		}
		return err == nil
	})
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
