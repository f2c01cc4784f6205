package front

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
)

// livenessTimeout bounds asking whether the processes of an answer's targets live on.
const livenessTimeout = 300 * time.Millisecond

// isWhole reports whether an answer that was read to its end is whole. One whose end is that of its
// connection is whole only if the processes that it came from are known to live on: the system closes
// the connections of a process that has ended in good order. Whether the end of a process is evidence
// against the request is another question, see recordEnds.
func (t *try) isWhole(ctx context.Context, resp *http.Response) bool {
	return !conn.IsUnframed(resp) || t.areAlive(ctx, t.answering())
}

// answering returns the targets that the answer depends on, as they were when the try was placed. Their
// entries may be gone since.
func (t *try) answering() []fleet.Target {
	list := []fleet.Target{t.placement.Target}
	for _, h := range t.placement.Helpers {
		list = append(list, fleet.Target{ID: h.ID, Addr: h.Addr, Hall: h.Hall})
	}
	return list
}

// areAlive reports whether all targets accept connections, and none has a successor.
func (t *try) areAlive(ctx context.Context, targets []fleet.Target) bool {
	ctx, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(livenessTimeout))
	defer cancel()
	alive := each(len(targets), func(i int) bool {
		target := targets[i]
		return t.stage.pool.Accepts(ctx, target.Addr) &&
			!t.placement.HasRestarted(target.ID) && !t.stage.balancer.HasSuccessor(target)
	})
	return !slices.Contains(alive, false)
}
