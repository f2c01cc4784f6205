package gossip

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/suspect"
)

// BenchmarkCapacityDatagram measures the size of a datagram with the work of some targets and
// the boxes of a hall, and the time to encode and decode it.
func BenchmarkCapacityDatagram(b *testing.B) {
	for _, tc := range []struct{ targets, members int }{{1, 0}, {18, 0}, {18, 4}, {60, 4}, {60, 27}, {100, 35}} {
		b.Run(fmt.Sprintf("targets=%d/members=%d", tc.targets, tc.members), func(b *testing.B) {
			s := balance.NewSnapshot()
			for i := range tc.targets {
				key := balance.KeyOf(fmt.Sprint("i-", i))
				s.Work[key] = balance.Work{Short: 12, Long: 2, PendingPrefills: 1, Backlog: 350 * time.Millisecond, KVTokens: 300_000}
			}
			s.Demands[1] = balance.Demand{Short: 2.5, Long: 9.5}
			size := 0
			for b.Loop() {
				d := &gossipv1.Datagram{Box: "edge-cluj-hala1-1", Hall: "cluj-hala1", Incarnation: 1 << 60, Sequence: 5000, SentNs: 1 << 40, EchoNs: 1 << 40, HeldNs: 1 << 25, EchoIncarnation: 1 << 60, Topics: []*gossipv1.TopicState{{Changed: 300, ProofAgeNs: 1 << 30}, {Changed: 3000, ProofAgeNs: 1 << 30}}}
				encodeSnapshot(d, s, time.Time{})
				for i := range tc.members {
					d.Members = append(d.Members, &gossipv1.Member{Box: fmt.Sprint("edge-cluj-hala1-", i), Addr: "10.1.0.40:8229", Sequence: 5000, Incarnation: 1 << 60})
				}
				data, err := proto.Marshal(d)
				if err != nil {
					b.Fatal(err)
				}
				var back gossipv1.Datagram
				if err := proto.Unmarshal(data, &back); err != nil {
					b.Fatal(err)
				}
				decodeSnapshot(&back, time.Time{})
				size = len(data)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}

// BenchmarkCapacityStatements measures how much the statements of targets, all three kinds, add
// to a datagram, and the time to encode, decode and merge them.
func BenchmarkCapacityStatements(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, targets := range []int{1, 18, 100, 1000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			s := balance.NewSnapshot()
			for i := range targets {
				s.Statements[balance.KeyOf(fmt.Sprint("i-", i))] = balance.TimedStatement{
					Limit:   balance.Timed[barleystep.RateLimit]{Value: barleystep.NewRateLimit(1.5), At: now.Add(-time.Second)},
					Leaving: balance.Timed[bool]{Value: true, At: now.Add(-time.Second)},
					Rest:    balance.Timed[time.Time]{Value: now.Add(time.Second), At: now.Add(-time.Second)},
				}
			}
			size := 0
			for b.Loop() {
				d := &gossipv1.Datagram{}
				encodeSnapshot(d, s, now)
				data, err := proto.Marshal(d)
				if err != nil {
					b.Fatal(err)
				}
				var back gossipv1.Datagram
				if err := proto.Unmarshal(data, &back); err != nil {
					b.Fatal(err)
				}
				sum := balance.NewSnapshot()
				sum.Add(decodeSnapshot(&back, now))
				size = len(data)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}

// BenchmarkCapacitySuspects measures how much suspects and limits of targets add to a datagram.
func BenchmarkCapacitySuspects(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct{ suspects, ends, limits int }{{1, 2, 0}, {32, 2, 0}, {32, 7, 0}, {0, 0, 1}, {0, 0, 18}} {
		b.Run(fmt.Sprintf("suspects=%d/ends=%d/limits=%d", tc.suspects, tc.ends, tc.limits), func(b *testing.B) {
			s := balance.NewSnapshot()
			for i := range tc.suspects {
				digest := suspect.Request{RequestURI: fmt.Sprint(i)}.Digest()
				var ends []suspect.End
				for k := range tc.ends {
					ends = append(ends, suspect.NewEnd(1<<30+uint32(k), now.Add(-9*time.Second), suspect.BeforeFirstEvent|suspect.RanAlone))
				}
				s.Suspects[digest] = suspect.NewEvidence(20_000, ends, time.Time{}, now.Add(-time.Second))
			}
			for i := range tc.limits {
				s.Statements[balance.Key(i+1)] = balance.TimedStatement{Limit: balance.Timed[barleystep.RateLimit]{Value: barleystep.NewRateLimit(1.5), At: now.Add(-time.Second)}}
			}
			size := 0
			for b.Loop() {
				d := &gossipv1.Datagram{}
				encodeSnapshot(d, s, now)
				data, err := proto.Marshal(d)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
