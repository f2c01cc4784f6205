package front_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// TestUnreachableHelpersLeftOut checks that long prompts are served while some engines have
// terminated but are still listed. An engine refuses a prompt if one of its helpers is gone, and
// the route allows two sends.
func TestUnreachableHelpersLeftOut(t *testing.T) {
	cases := map[string]struct {
		prompt string
		gone   int // gone is how many of the eight engines have terminated.
	}{
		"a quarter":                     {"900", 2},
		"half":                          {"900", 4},
		"all but one":                   {"900", 7},
		"a quarter, prompt over memory": {"1200", 2},
		"none":                          {"900", 0},
		"none, prompt over memory":      {"1200", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()})
			alive := f.targets[len(f.targets)-1].Addr
			f.target.steps = slices.Repeat([]step{refuseWithout(alive)}, 2)
			f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
			f.targets = nil
			for i := range 8 {
				e := fleet.Target{ID: barleystep.TargetID(fmt.Sprintf("e%d", i)), Service: "engines", Addr: alive, Slots: 4}
				if i < tc.gone {
					e.Addr = unusedAddr(t)
				}
				f.targets = append(f.targets, e)
			}
			got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", tc.prompt)
			c.Check(got.status, quicktest.Equals, http.StatusOK)
			c.Check(f.target.sentCount(), quicktest.Equals, 1)
		})
	}
}

// refuseWithout behaves like an engine: it refuses a prompt if any of its helpers is not at the
// address alive, and otherwise writes events.
func refuseWithout(alive string) step {
	return func(c net.Conn, r *http.Request) bool {
		for _, at := range r.Header.Values("Helper-At") {
			if at != alive {
				return completeAnswer(http.StatusServiceUnavailable, "Not-Run: 1\r\nBlamed: "+at+"\r\n", "")(c, r)
			}
		}
		return eventStream(1, 2, false)(c, r)
	}
}

// unusedAddr returns an address that refuses connections.
func unusedAddr(t *testing.T) string {
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// sentCount returns the number of requests that are not orders.
func (s *server) sentCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.requests {
		if !isOrder(r) {
			n++
		}
	}
	return n
}

// TestUnreachableTargetSkipped checks that a target that has terminated is not chosen again, even
// if helpers of the same plan have terminated too, for different orders of the engines' ids.
func TestUnreachableTargetSkipped(t *testing.T) {
	for order := range 12 {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			f := newFixture(t, state{view: newView()}, eventStream(1, 2, false))
			alive := f.targets[len(f.targets)-1].Addr
			gone := unusedAddr(t)
			f.targets = []fleet.Target{{ID: "alive", Service: "engines", Addr: alive, Slots: 4}}
			for i := range 6 {
				id := barleystep.TargetID(fmt.Sprintf("e%d-%d", order, i))
				f.targets = append(f.targets, fleet.Target{ID: id, Service: "engines", Addr: gone, Slots: 4})
			}
			peers := balance.NewSnapshot()
			peers.Work[balance.KeyOf("alive")] = balance.Work{KVTokens: 990, Long: 1} // Makes it the last choice.
			f.front.Balancer.SetOthers(peers)
			got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "800")
			quicktest.Check(t, got.status, quicktest.Equals, http.StatusOK)
		})
	}
}
