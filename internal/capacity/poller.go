package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
)

// EngineSource provides the engines whose load is polled.
type EngineSource interface {
	// Engine returns the adapter of a configured target.
	Engine(id barleystep.TargetID, fresh bool) (e barleystep.Engine, ok bool)
}

// Poller collects the load reports of the targets in an endpoint's pools. Its exported fields are set
// before Serve.
type Poller struct {
	Clock         barleystep.Clock
	Endpoint      *LocalEndpoint
	Configuration config.Source
	Engines       EngineSource
	Meter         *metric.Meter
	// Interval is the time between two polls of one target; the default is 1 second.
	Interval time.Duration
}

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	if p.Interval == 0 {
		p.Interval = time.Second
	}
	for {
		t := p.Clock.NewTimer(p.Interval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case name := <-p.Endpoint.NewPools():
			t.Stop()
			p.pollPools(ctx, []string{name})
		case <-t.C():
			p.pollPools(ctx, p.Endpoint.Pools())
		}
	}
}

func (p *Poller) pollPools(ctx context.Context, pools []string) {
	v, _ := p.Configuration.View()
	if v == nil {
		return
	}
	ctx, cancel := clock.WithDeadline(ctx, p.Clock, p.Clock.Now().Add(p.Interval))
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range pools {
		for _, s := range TargetSpecs(v, string(p.Endpoint.Hall), name) {
			wg.Go(func() { p.poll(ctx, name, s.ID) })
		}
	}
	wg.Wait()
}

func (p *Poller) poll(ctx context.Context, pool string, id barleystep.TargetID) {
	e, ok := p.Engines.Engine(id, false)
	if !ok {
		return
	}
	l, err := e.Load(ctx)
	if err != nil {
		p.Meter.AttemptRetried("load_report_lost")
		return
	}
	// The target's clock may differ from this box's, so a report is dated at its arrival.
	l.At = p.Clock.Now()
	p.Endpoint.UpdateLoad(pool, id, l)
}
