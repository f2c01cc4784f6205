//go:build !race

package plane_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestControlTraffic measures what a box without a role receives and what a collector sends, in bytes
// a second, where each box has work at a target of its own. Neither may grow with boxes times
// targets.
func TestControlTraffic(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped in short mode")
	}
	const from, until = 3 * time.Second, 4 * time.Second
	cases := map[string]struct {
		boxes int
		// received bounds what a box without a role receives, and sent what a collector sends.
		received int
		sent     int
	}{
		"three hundred": {300, 100_000, 3_000_000},
		"a thousand":    {1000, 40_000, 3_000_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scenario{halls: 5, boxes: tc.boxes, loss: 0.025, duration: until, measureFrom: from, idle: true}
			received, sent := 0, 0
			s.events = []event{
				{from, func(d *simulation) { d.network.resetTraffic() }},
				{until, func(d *simulation) { received, sent = d.traffic() }},
			}
			r := simulate(t, s)
			t.Logf("an ordinary box receives %d B/s, a collector sends %d B/s", received, sent)
			t.Log(r)
			c := quicktest.New(t)
			c.Check(received <= tc.received, quicktest.IsTrue, quicktest.Commentf("received %d", received))
			c.Check(sent <= tc.sent, quicktest.IsTrue, quicktest.Commentf("sent %d", sent))
			c.Check(r.readyAt > 0 && r.readyAt <= 5*time.Second, quicktest.IsTrue, quicktest.Commentf("ready after %s", r.readyAt))
			c.Check(r.calls <= 2500, quicktest.IsTrue, quicktest.Commentf("calls to the store: %d %v", r.calls, r.callsByKind))
		})
	}
}

// resetTraffic sets the bytes of all boxes to zero.
func (n *network) resetTraffic() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.boxes {
		b.sent, b.received = 0, 0
	}
}

// traffic returns the most bytes that a box without a role has received, and that a collector has
// sent.
func (d *simulation) traffic() (received, sent int) {
	collects := make(map[*box]bool)
	for _, b := range d.boxes {
		l := b.running()
		collects[b] = l != nil && l.plane.Node().IsCollector()
	}
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	for _, b := range d.boxes {
		switch {
		case collects[b]:
			sent = max(sent, b.sent)
		case b.strength == 0:
			received = max(received, b.received)
		}
	}
	return received, sent
}
