package relay

import (
	"context"
	"sync"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// Prober connects directly to targets while this box may be cut off, so that it notices when it is
// not any more. Its exported fields are set before Serve.
type Prober struct {
	Clock   barleystep.Clock
	Monitor *Monitor
	Direct  barleystep.Dialer
	// Targets returns the addresses of the targets.
	Targets func() []string

	next int
}

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// probesPerRound is how many targets are connected to at a time.
	probesPerRound = 2
)

// String returns the service name in the supervisor's log lines.
func (*Prober) String() string { return "prober" }

// Serve runs until ctx ends.
func (p *Prober) Serve(ctx context.Context) error {
	doubt := p.Monitor.Doubt()
	for {
		if p.Monitor.IsDoubtful() {
			p.probe(ctx)
		}
		timer := p.Clock.NewTimer(probeInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-doubt:
			timer.Stop()
		case <-timer.C():
		}
	}
}

// probe connects to the next targets.
func (p *Prober) probe(ctx context.Context) {
	list := p.Targets()
	var probes sync.WaitGroup
	for range min(probesPerRound, len(list)) {
		p.next = (p.next + 1) % len(list)
		addr := list[p.next]
		probes.Go(func() { p.connect(ctx, addr) })
	}
	probes.Wait()
}

func (p *Prober) connect(ctx context.Context, addr string) {
	ctx, cancel := clock.WithDeadline(ctx, p.Clock, p.Clock.Now().Add(probeTimeout))
	defer cancel()
	c, err := p.Direct.Dial(ctx, addr)
	if err != nil {
		p.Monitor.Failed(addr)
		return
	}
	_ = c.Close() // Only the result of connecting matters.
	p.Monitor.Connected(addr)
}
