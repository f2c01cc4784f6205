package front

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// updatedBetween is a configuration that is updated, and confirmed, between two of its calls.
type updatedBetween struct {
	calls    int
	old, new *fleet.View
}

const ageBeforeUpdate = time.Minute

func (c *updatedBetween) View() *fleet.View {
	if c.calls++; c.calls == 1 {
		return c.old
	}
	return c.new
}

func (c *updatedBetween) Age() time.Duration {
	if c.calls++; c.calls == 1 {
		return ageBeforeUpdate
	}
	return 0
}

// TestViewIsAsOldAsItsAge guards against a configuration from before an update that passes for one
// confirmed by it: a key that was revoked a minute ago would be accepted.
func TestViewIsAsOldAsItsAge(t *testing.T) {
	view := func(version int64) *fleet.View {
		return fleet.NewView(fleet.Configuration{
			Version: version, Routes: []fleet.Route{{Host: "h", Prefix: "/"}},
		})
	}
	s := &route{clock: clock.System{}, configuration: &updatedBetween{old: view(1), new: view(2)}}
	x := &Exchange{r: httptest.NewRequest("GET", "http://h/", nil)}
	err := s.Run(t.Context(), x, func(context.Context, *Exchange) error { return nil })
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, x.view.Version() == 2 || x.viewAge == ageBeforeUpdate, quicktest.IsTrue,
		quicktest.Commentf("version %d passes for %s old", x.view.Version(), x.viewAge))
}
