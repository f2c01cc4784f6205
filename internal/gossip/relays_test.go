package gossip_test

import (
	"slices"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/gossip"
)

// TestRelays checks that each box knows which boxes of its hall, and which collectors of other halls,
// may connect to targets for it: not those that are cut off from the targets, and not those that
// leave.
func TestRelays(t *testing.T) {
	c := quicktest.New(t)
	r := &registry{boxes: make(map[string][]byte)}
	var cutOff atomic.Bool
	a := startBox(t, r, "a", "one", 1, newTopic(1, 0))
	b := startBox(t, r, "b", "one", 2, newTopic(1, 0))
	cut := startCutBox(t, r, "cut", "one", 3, newTopic(1, 0), &cutOff)
	far := startBox(t, r, "far", "two", 4, newTopic(1, 0))
	knows := func(n *gossip.Node, want ...*box) func() bool {
		return func() bool {
			near, others, _ := n.Relays()
			list := slices.Concat(near, others)
			for _, o := range []*box{a, b, cut, far} {
				if o.node != n && slices.Contains(list, o.node.Addr) != slices.Contains(want, o) {
					return false
				}
			}
			return true
		}
	}
	await := func(on *box, cond func() bool) {
		for !cond() {
			<-on.balancer.others
		}
	}
	await(a, knows(a.node, b, cut, far))
	await(far, func() bool { _, others, _ := far.node.Relays(); return len(others) > 0 })
	cutOff.Store(true)
	await(a, knows(a.node, b, far))
	await(b, knows(b.node, a, far))
	await(cut, knows(cut.node, a, b, far))
	b.node.Leave()
	await(a, knows(a.node, far))
	await(cut, knows(cut.node, a, far))
	cutOff.Store(false)
	await(a, knows(a.node, cut, far))
	c.Check(cut.node.IsLead() && a.node.IsLead(), quicktest.IsFalse)
}
