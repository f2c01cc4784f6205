package front

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/fleet"
)

// TestJobNamesAccount checks that the balancer learns the client account of a request. Without it,
// engines would not be shared among accounts.
func TestJobNamesAccount(t *testing.T) {
	x := &Exchange{account: "a", view: fleet.NewView(fleet.Configuration{}), route: &fleet.Route{}}
	quicktest.Check(t, (&deliver{}).job(x).Account, quicktest.Equals, "a")
}
