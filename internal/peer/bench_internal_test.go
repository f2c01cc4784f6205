package peer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/version"
)

// framingBytes is what HTTP/2 (9 bytes) and Connect (5 bytes) add to a message of a stream.
const framingBytes = 9 + 5

var now = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// BenchmarkCapacityHeartbeats measures the processor time that a box spends on heartbeats and the
// bytes that it sends for them, both per second, in halls of several sizes.
func BenchmarkCapacityHeartbeats(b *testing.B) {
	for _, n := range []int{9, 35, 140, 390} {
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			var list []barleystep.Box
			states := make(map[barleystep.BoxID]*member.State)
			for i := range n {
				list = append(list, barleystep.NewBox(barleystep.BoxID(fmt.Sprintf("cluj-hala1-e%03d", i)), "cluj-hala1", "10.20.30.40:7070", false))
			}
			for i, box := range list {
				self := member.Update{Box: box.ID(), Addr: box.Addr(), Incarnation: barleystep.Incarnation(1<<60 + i)}
				states[box.ID()] = member.NewState(member.Settings{}, self, "cluj-hala1")
				states[box.ID()].MergeList(now, list)
			}
			at := now
			tick := func() (bytes int) {
				at = at.Add(500 * time.Millisecond)
				for _, box := range list {
					for _, m := range states[box.ID()].Tick(at) {
						bytes += proto.Size(toHeartbeat(m.Heartbeat)) + framingBytes
						states[m.To].Receive(at, m.Heartbeat)
					}
				}
				return bytes
			}
			for range 200 {
				tick() // Until the updates of the start have spread.
			}
			bytes, ticks := 0, 0
			for b.Loop() {
				bytes += tick()
				ticks++
			}
			perTick := float64(n) * float64(ticks)
			b.ReportMetric(2*float64(bytes)/perTick, "sent-B/box/s")
			b.ReportMetric(2*float64(b.Elapsed().Nanoseconds())/perTick, "cpu-ns/box/s")
		})
	}
}

// BenchmarkCapacityReportSize measures the bytes of a box's report on one pool and of the credits
// that answer it.
func BenchmarkCapacityReportSize(b *testing.B) {
	for _, targets := range []int{1, 8, 32, 92} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := capacity.Report{Box: "cluj-hala1-e001", RequestedTokens: 100_000}
			c := capacity.Credits{Until: now.Add(time.Second)}
			for i := range targets {
				id := barleystep.TargetID(fmt.Sprintf("cluj-hala1-t%03d", i))
				r.Uses = append(r.Uses, capacity.CreditUse{Target: id, PrefillTokens: 5_000, KVTokens: 50_000, Running: 9, Answers: 4, Slowdown: 1.1})
				c.Credits = append(c.Credits, capacity.Credit{Target: id, PrefillTokens: 4_096, KVTokens: 90_000, OtherPrefillTokens: 4_000, Running: 20, PrefillRate: 8_000, Slowdown: 1})
			}
			up, down := 0, 0
			var out, back names
			for b.Loop() {
				up = proto.Size(&peerv1.TalkRequest{Pool: out.number("document-reader-large"), Kind: &peerv1.TalkRequest_Report{Report: toReport(&out, r, now)}}) + framingBytes
				down = proto.Size(toCredits(&back, c, now)) + framingBytes
			}
			b.ReportMetric(float64(up), "report-B")
			b.ReportMetric(float64(down), "credits-B")
		})
	}
}

// BenchmarkCapacityUpdateSize measures the bytes of a change of one target and of a message that
// only confirms the version.
func BenchmarkCapacityUpdateSize(b *testing.B) {
	body := []byte(`{"id":"cluj-hala1-t001","hall":"cluj-hala1","url":"http://10.20.30.41:8000","model":"document-reader-large","drain":true}`)
	inc := version.Increment{
		Version: 123_456, ID: "01890a5d-ac96-774b-bcce-b302099a8057", Author: "operator", Reason: "drain for maintenance",
		At: now, Digest: config.HashKey(""), Changes: []config.Change{{Kind: config.KindTarget, Name: "cluj-hala1-t001", Body: body}},
	}
	change, confirm := 0, 0
	for b.Loop() {
		change = proto.Size(toUpdate([]version.Increment{inc}, false, inc.Version, time.Second)) + framingBytes
		confirm = proto.Size(toUpdate(nil, false, inc.Version, time.Second)) + framingBytes
	}
	b.ReportMetric(float64(change), "B/change")
	b.ReportMetric(float64(confirm), "B/confirmation")
}
