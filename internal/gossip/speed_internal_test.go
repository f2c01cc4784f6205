package gossip

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
)

// TestSpeedOnWire checks that the observed and expected times of a target arrive as they were sent, and
// that an older box, which sends none, reports no speed.
func TestSpeedOnWire(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	const key, other = balance.Key(7), balance.Key(8)
	sent := balance.NewSnapshot()
	sent.Work[key] = balance.Work{Short: 2, ObservedTTFT: 1234 * time.Millisecond, ExpectedTTFT: 321 * time.Millisecond}
	sent.Work[other] = balance.Work{ObservedTTFT: 60 * time.Millisecond, ExpectedTTFT: 55 * time.Millisecond} // Nothing in progress.
	var d gossipv1.Datagram
	encodeSnapshot(&d, sent, now)
	data, err := proto.Marshal(&d)
	c.Assert(err, quicktest.IsNil)
	var received gossipv1.Datagram
	c.Assert(proto.Unmarshal(data, &received), quicktest.IsNil)
	got := decodeSnapshot(&received, now)
	c.Check(got.Work, quicktest.DeepEquals, sent.Work)

	older := &gossipv1.Datagram{Work: []*gossipv1.TargetWork{{Target: uint32(key), Light: 3}}}
	sum := decodeSnapshot(older, now)
	c.Check(sum.Work[key], quicktest.Equals, balance.Work{Short: 3})
	sum.Add(got)
	c.Check(sum.Work[key], quicktest.Equals, balance.Work{Short: 5, ObservedTTFT: 1234 * time.Millisecond, ExpectedTTFT: 321 * time.Millisecond})
	sum.Remove(got)
	c.Check(sum.Work[key], quicktest.Equals, balance.Work{Short: 3})
}
