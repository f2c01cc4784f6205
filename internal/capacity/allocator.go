package capacity

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/internal/place"
)

// Allocator obtains capacity for the requests of a box. Short prompts run on credits that the box
// holds; the others request a grant from the pool's dispenser. Its exported fields are set before
// use; it is safe for concurrent use.
type Allocator struct {
	Clock         barleystep.Clock
	Box           barleystep.BoxID
	Configuration config.Source
	Membership    barleystep.Membership
	// Local is this box's own endpoint, used when no other box can be reached.
	Local Endpoint
	// Remote returns the endpoint of another box.
	Remote   func(barleystep.BoxID) (d Endpoint, ok bool)
	Meter    *metric.Meter
	Settings Settings

	mu           mutex.Mutex
	pools        map[string]*pool
	avoidedUntil map[barleystep.BoxID]time.Time
}

// pool is the state that a box keeps of one pool.
type pool struct {
	name     string
	mu       mutex.Mutex
	holder   *Holder
	lastUsed time.Time
}

const (
	// avoidFor is how long an endpoint is not used after a failure.
	avoidFor = time.Second
	// poolRetention is how long a pool is kept and reported after its last use.
	poolRetention = 30 * time.Second
	// noticeTimeout bounds the messages about first tokens and releases. A report repeats what a
	// lost message said.
	noticeTimeout = time.Second
)

var _ barleystep.Allocator = (*Allocator)(nil)

// Acquire waits until the request may run and returns the targets that it may be sent to. It
// fails with a *barleystep.Refusal or when ctx ends.
func (a *Allocator) Acquire(ctx context.Context, d barleystep.Demand) (barleystep.Allocation, error) {
	p := a.pool(d.Model)
	if target, ok := p.tryStart(a.Clock.Now(), d); ok {
		rank := a.share(d).Rank
		return a.allocation(p, d, []barleystep.TargetID{target}, Priority(a.weighing(), rank, d.PromptTokens), nil), nil
	}
	return a.requestGrant(ctx, p, d)
}

func (p *pool) tryStart(now time.Time, d barleystep.Demand) (barleystep.TargetID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	return p.holder.TryStart(now, d)
}

// requestGrant requests a grant from one endpoint after the other until one answers or ctx ends.
func (a *Allocator) requestGrant(ctx context.Context, p *pool, d barleystep.Demand) (barleystep.Allocation, error) {
	s := a.share(d)
	req := GrantRequest{Demand: d, Box: a.Box, Weight: s.Weight, Rank: s.Rank, Limit: s.Limit}
	for {
		id := a.dispenser(p.name)
		endpoint := a.endpoint(id)
		g, err := a.requestFrom(ctx, id, p.name, endpoint, req)
		if err == nil {
			p.addGrant(a.Clock.Now(), d, g.Targets)
			return a.allocation(p, d, g.Targets, g.Priority, endpoint), nil
		}
		if isRefusal(err) || ctx.Err() != nil {
			return barleystep.Allocation{}, err
		}
		a.Meter.AttemptRetried("dispenser_lost")
	}
}

// requestFrom requests a grant from one endpoint. It withdraws the request when another box becomes
// the pool's dispenser.
func (a *Allocator) requestFrom(ctx context.Context, id barleystep.BoxID, pool string, endpoint Endpoint, req GrantRequest) (Grant, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	hasMoved := a.cancelOnMove(askCtx, id, pool, cancel)
	g, err := endpoint.Ask(askCtx, pool, req)
	// A caller that has disconnected is no failure of the endpoint.
	failed := err != nil && !isRefusal(err) && ctx.Err() == nil && !hasMoved()
	if failed && id != a.Box {
		a.avoid(id)
	}
	return g, err
}

// cancelOnMove cancels the request when another box becomes the dispenser.
func (a *Allocator) cancelOnMove(ctx context.Context, id barleystep.BoxID, pool string, cancel context.CancelFunc) (hasMoved func() bool) {
	var mu mutex.Mutex
	isMoved := false
	go func() {
		for {
			changed := a.Membership.Changed()
			if a.dispenser(pool) != id {
				mu.Lock()
				isMoved = true
				mu.Unlock()
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return isMoved
	}
}

func isRefusal(err error) bool {
	var r *barleystep.Refusal
	return eris.As(err, &r)
}

func (p *pool) addGrant(now time.Time, d barleystep.Demand, targets []barleystep.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.AddGrant(now, d, targets)
}

// allocation returns an Allocation whose hooks notify the holder and, if the attempt runs on a
// grant, the endpoint that gave it.
func (a *Allocator) allocation(p *pool, d barleystep.Demand, targets []barleystep.TargetID, priority int, endpoint Endpoint) barleystep.Allocation {
	id := d.Attempt
	return barleystep.NewAllocation(targets, priority, barleystep.AllocationHooks{
		FirstToken: func() {
			p.firstToken(a.Clock.Now(), id)
			if endpoint != nil {
				a.notify(func(ctx context.Context) error { return endpoint.FirstToken(ctx, p.name, id) })
			}
		},
		Release: func(u barleystep.Usage) {
			p.end(id, u)
			if endpoint != nil {
				a.notify(func(ctx context.Context) error { return endpoint.Release(ctx, p.name, id, u) })
			}
		},
	})
}

func (p *pool) firstToken(now time.Time, id barleystep.AttemptID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.FirstToken(now, id)
}

func (p *pool) end(id barleystep.AttemptID, u barleystep.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.End(id, u)
}

// notify sends a message in the background, so that the request does not wait for it.
func (a *Allocator) notify(send func(context.Context) error) {
	go func() {
		ctx, cancel := clock.WithDeadline(context.Background(), a.Clock, a.Clock.Now().Add(noticeTimeout))
		defer cancel()
		if send(ctx) != nil {
			a.Meter.AttemptRetried("notice_lost")
		}
	}()
}

// Serve reports to the dispensers of the pools in use at intervals until ctx ends.
func (a *Allocator) Serve(ctx context.Context) error {
	reportInterval := a.Settings.withDefaults().Interval
	for clock.Sleep(ctx, a.Clock, reportInterval) {
		pools := a.activePools()
		reportInterval = a.Settings.withDefaults().reportInterval(len(pools))
		var wg sync.WaitGroup
		for _, p := range pools {
			wg.Go(func() { a.report(ctx, p, reportInterval) })
		}
		wg.Wait()
	}
	return ctx.Err()
}

func (a *Allocator) report(ctx context.Context, p *pool, interval time.Duration) {
	now := a.Clock.Now()
	ctx, cancel := clock.WithDeadline(ctx, a.Clock, now.Add(interval))
	defer cancel()
	p.mu.Lock()
	r := p.holder.Report(now)
	p.mu.Unlock()
	id := a.dispenser(p.name)
	c, err := a.endpoint(id).Report(ctx, p.name, r)
	if err != nil {
		a.avoid(id)
		a.Meter.AttemptRetried("report_lost")
		return
	}
	// The dispenser's clock may differ from this box's, so the expiry is counted from here.
	c.Until = now.Add(creditIntervals * interval)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.SetCredits(c)
}

// activePools returns the recently used pools and drops the others.
func (a *Allocator) activePools() []*pool {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []*pool
	for name, p := range a.pools {
		if p.isIdle(now) {
			delete(a.pools, name)
			continue
		}
		list = append(list, p)
	}
	return list
}

func (p *pool) isIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastUsed) > poolRetention && len(p.holder.running) == 0
}

func (a *Allocator) pool(name string) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.pools[name]; ok {
		return p
	}
	if a.pools == nil {
		a.pools = make(map[string]*pool)
	}
	p := &pool{name: name, holder: NewHolder(a.Box), lastUsed: a.Clock.Now()}
	a.pools[name] = p
	return p
}

// dispenser returns the box that hands out the pool's capacity: the first in the pool's rendezvous
// order that is alive and has not just failed.
func (a *Allocator) dispenser(pool string) barleystep.BoxID {
	now := a.Clock.Now()
	a.mu.Lock()
	alive := slices.DeleteFunc(slices.Clone(a.Membership.Alive()), func(id barleystep.BoxID) bool {
		return now.Before(a.avoidedUntil[id])
	})
	a.mu.Unlock()
	if id := place.Owner(pool, alive); id != "" {
		return id
	}
	return a.Box
}

func (a *Allocator) endpoint(id barleystep.BoxID) Endpoint {
	if id == a.Box {
		return a.Local
	}
	if d, ok := a.Remote(id); ok {
		return d
	}
	return a.Local
}

func (a *Allocator) avoid(id barleystep.BoxID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.avoidedUntil == nil {
		a.avoidedUntil = make(map[barleystep.BoxID]time.Time)
	}
	a.avoidedUntil[id] = a.Clock.Now().Add(avoidFor)
}

func (a *Allocator) share(d barleystep.Demand) config.Share {
	v, _ := a.Configuration.View()
	if v == nil {
		return config.Share{Weight: config.DefaultWeight, Limit: 1}
	}
	return v.Share(d.Account, d.Class)
}

func (a *Allocator) weighing() float64 {
	v, _ := a.Configuration.View()
	if v == nil {
		return 0
	}
	return v.Weighing()
}
