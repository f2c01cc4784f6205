package gossip

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
)

// TestLateIncarnation checks that a delayed or duplicated datagram of an earlier incarnation of
// a box does not replace its current state.
func TestLateIncarnation(t *testing.T) {
	const target = 3
	newDatagram := func(incarnation, sequence uint64, light int) *datagram {
		d := &datagram{Box: "other", Hall: "h", Incarnation: incarnation, Sequence: sequence}
		s := balance.NewSnapshot()
		s.Work[target] = balance.Work{Short: light}
		encodeSnapshot(d, s, time.Time{})
		return d
	}
	cases := map[string]struct {
		datagrams []*datagram
		want      int
	}{
		"in order":                      {[]*datagram{newDatagram(7, 5, 1), newDatagram(7, 6, 2)}, 2},
		"delayed, same incarnation":     {[]*datagram{newDatagram(7, 6, 2), newDatagram(7, 5, 1)}, 2},
		"new incarnation":               {[]*datagram{newDatagram(7, 5, 1), newDatagram(9, 1, 2)}, 2},
		"delayed, old incarnation":      {[]*datagram{newDatagram(7, 5, 1), newDatagram(9, 1, 2), newDatagram(7, 6, 3)}, 2},
		"new incarnation continues":     {[]*datagram{newDatagram(7, 5, 1), newDatagram(9, 1, 2), newDatagram(7, 6, 3), newDatagram(9, 2, 4)}, 4},
		"duplicate after that":          {[]*datagram{newDatagram(7, 5, 1), newDatagram(9, 2, 2), newDatagram(7, 6, 3), newDatagram(9, 1, 4)}, 2},
		"third incarnation":             {[]*datagram{newDatagram(7, 5, 1), newDatagram(9, 1, 2), newDatagram(4, 1, 5), newDatagram(9, 2, 3)}, 5},
		"delayed, two incarnations ago": {[]*datagram{newDatagram(7, 5, 1), newDatagram(9, 1, 2), newDatagram(4, 1, 5), newDatagram(7, 9, 3)}, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := &Node{
				Clock: clock.NewManual(time.Unix(1000, 0)), Box: "me", Hall: "h", Balancer: fixedBalancer{},
				Log: &log.Logger{Level: log.PanicLevel}, members: make(map[barleystep.BoxID]*member),
			}
			for _, d := range tc.datagrams {
				n.receive(context.Background(), d, netip.MustParseAddrPort("10.0.0.1:1"))
			}
			quicktest.Check(t, n.members["other"].own.Work[target].Short, quicktest.Equals, tc.want)
		})
	}
}
