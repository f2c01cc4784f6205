package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/local"
	"github.com/barleystep/barleystep/internal/version"
)

// BenchmarkCapacitySpread measures how long a change of the configuration takes to be
// applied by all boxes of a hall that run the production components over loopback.
func BenchmarkCapacitySpread(b *testing.B) {
	for _, boxes := range []int{3, 9, 35} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			c := quicktest.New(b)
			clk := clock.System{}
			h := &local.Hall{Clock: clk, Log: &log.Logger{Level: log.PanicLevel}, BoxCount: boxes, EngineCount: 1}
			h.Init()
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- h.Run(ctx) }()
			<-h.Ready()
			v, _ := h.Entry(0).Follower().View()
			base, n := v.Document(), v.Version()
			worst := time.Duration(0)
			for b.Loop() {
				next := base.Apply([]config.Change{{Kind: config.KindService, Name: "portal", Body: []byte(fmt.Sprintf(`{"name":"portal%d"}`, n))}})
				started := clk.Now()
				got, err := h.VersionStore().Submit(ctx, base, version.Submission{ID: fmt.Sprint("b", n), Base: n, Document: next})
				c.Assert(err, quicktest.IsNil)
				for i := range boxes {
					h.Entry(i).Follower().Await(got)
				}
				worst = max(worst, clk.Now().Sub(started))
				base, n = next, got
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
			cancel()
			c.Assert(<-done, quicktest.IsNil)
		})
	}
}
