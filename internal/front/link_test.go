package front_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fault"
	"github.com/barleystep/barleystep/internal/relay"
)

// TestOnceOnSilentConnection checks that a request that may run once is not written to a kept
// connection that has fallen silent.
//
// It guards against 502 and 504 for requests that no target had, which keep callers from trying
// again.
func TestOnceOnSilentConnection(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	f := newFixtureAt(t, manual, state{view: newView()}, completeAnswer(200, sealed, "one"), completeAnswer(200, sealed, "two"))
	link := &fault.Link{Dialer: conn.TCP{Timeout: 10 * time.Second}}
	f.front.Pool.Clock, f.front.Pool.Dialer = manual, link
	c.Assert(f.do(t, http.MethodPost, "/once/", "").body, quicktest.Equals, "one")
	link.Set(fault.ModeSilent)
	link.Set(fault.ModeOpen) // Open connections stay silent.
	manual.Advance(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got := f.doContext(t, ctx, http.MethodPost, "/once/", "")
	c.Check(got.status, quicktest.Equals, http.StatusOK)
	c.Check(got.body, quicktest.Equals, "two")
}

// TestCutIsNoEvidence checks that a request whose box loses its links to targets does not become a
// suspect, while one under which its target ends does.
//
// It guards against connections that only this box is refused being taken for the end of a target.
func TestCutIsNoEvidence(t *testing.T) {
	cases := map[string]struct {
		relayed  error
		suspects int
	}{
		"another box reaches the target": {nil, 0},
		"no other box reaches it":        {relay.ErrUnreachable, 0},
		"it refuses another box too":     {relay.ErrRefused, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			link := &fault.Link{Dialer: conn.TCP{Timeout: 10 * time.Second}}
			lose := func(net.Conn, *http.Request) bool {
				link.Set(fault.ModeReset)
				return false
			}
			f := newFixture(t, state{view: newView()}, lose)
			quiet := &log.Logger{Level: log.PanicLevel}
			f.front.Pool.Dialer = &relay.Dialer{
				Clock: clock.System{}, Monitor: &relay.Monitor{Clock: clock.System{}, Log: quiet}, Log: quiet,
				Direct: link, Timeout: 10 * time.Second,
				Relays: func() relay.Candidates { return relay.Candidates{Near: []string{"r"}} },
				Connect: func(ctx context.Context, _, target string) (net.Conn, []string, error) {
					if tc.relayed != nil {
						return nil, nil, tc.relayed
					}
					other, err := conn.TCP{Timeout: 10 * time.Second}.Dial(ctx, target)
					return other, nil, err
				},
			}
			c.Check(f.do(t, http.MethodPost, "/once/", "body").status, quicktest.Equals, http.StatusBadGateway)
			total := 0
			for _, n := range f.front.Balancer.Suspects.Counts() {
				total += n
			}
			c.Check(total, quicktest.Equals, tc.suspects)
		})
	}
}
