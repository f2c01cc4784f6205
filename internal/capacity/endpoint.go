package capacity

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Endpoint gives the boxes of a hall access to a pool's dispenser. It is a LocalEndpoint on the box
// that runs the dispenser, and a client of internal/peer on the others. Implementations are safe
// for concurrent use.
type Endpoint interface {
	// Ask waits for a grant. It returns a *barleystep.Refusal, or another error if the dispenser
	// could not be reached; the request is then withdrawn.
	Ask(ctx context.Context, pool string, a GrantRequest) (Grant, error)
	// FirstToken records the first token of a granted attempt.
	FirstToken(ctx context.Context, pool string, id barleystep.AttemptID) error
	// Release ends a grant and records how the attempt went.
	Release(ctx context.Context, pool string, id barleystep.AttemptID, u barleystep.Usage) error
	// Report applies a box's report and returns its credits.
	Report(ctx context.Context, pool string, r Report) (Credits, error)
}

// LocalEndpoint runs the dispensers of the pools that are assigned to this box. Its exported fields
// are set before use.
type LocalEndpoint struct {
	Clock         barleystep.Clock
	Hall          barleystep.HallID
	Configuration config.Source
	Meter         *metric.Meter
	Settings      Settings

	once     sync.Once
	newPools chan string
	mu       mutex.Mutex
	pools    map[string]*localPool
}

// localPool is a pool whose dispenser runs at this endpoint.
type localPool struct {
	name      string
	mu        mutex.Mutex
	dispenser *Dispenser
	version   int64
	waiting   map[barleystep.AttemptID]chan Grant
	lastUsed  time.Time
}

var _ Endpoint = (*LocalEndpoint)(nil)

const (
	// scheduleInterval is the time between scheduling rounds that no event causes.
	scheduleInterval = 100 * time.Millisecond
	// idleTimeout is how long an endpoint keeps a pool that is not used.
	idleTimeout = time.Minute
)

// Ask waits for a grant of the pool's dispenser.
func (l *LocalEndpoint) Ask(ctx context.Context, pool string, a GrantRequest) (g Grant, err error) {
	p := l.pool(pool)
	answer := make(chan Grant, 1)
	id := a.Demand.Attempt
	if refusal := l.enqueue(p, a, answer); refusal != nil {
		return Grant{}, refusal
	}
	select {
	case g = <-answer:
	case <-ctx.Done():
		l.withdraw(p, id, answer)
		return Grant{}, eris.Wrap(context.Cause(ctx), "capacity: ask")
	}
	if g.Refusal != nil {
		return Grant{}, g.Refusal
	}
	return g, nil
}

func (l *LocalEndpoint) enqueue(p *localPool, a GrantRequest, answer chan Grant) error {
	now := l.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l.refresh(p)
	if r := p.dispenser.Enqueue(now, a); r != nil {
		return r
	}
	p.lastUsed = now
	p.waiting[a.Demand.Attempt] = answer
	p.schedule(now)
	return nil
}

// withdraw removes a request whose caller has disconnected. A grant that was given meanwhile is
// released.
func (l *LocalEndpoint) withdraw(p *localPool, id barleystep.AttemptID, answer chan Grant) {
	l.apply(p, func(d *Dispenser, now time.Time) {
		d.Withdraw(id)
		delete(p.waiting, id)
		select {
		case <-answer:
			d.Release(now, id, barleystep.Usage{Outcome: barleystep.OutcomeNotRun, AtCapacity: true})
		default:
		}
	})
}

// FirstToken records the first token of a granted attempt.
func (l *LocalEndpoint) FirstToken(_ context.Context, pool string, id barleystep.AttemptID) error {
	l.update(pool, func(d *Dispenser, now time.Time) { d.FirstToken(now, id, 0) })
	return nil
}

// Release ends a grant and records how the attempt went.
func (l *LocalEndpoint) Release(_ context.Context, pool string, id barleystep.AttemptID, u barleystep.Usage) error {
	l.update(pool, func(d *Dispenser, now time.Time) { d.Release(now, id, u) })
	return nil
}

// Report applies a box's report and returns its credits.
func (l *LocalEndpoint) Report(_ context.Context, pool string, r Report) (c Credits, err error) {
	l.update(pool, func(d *Dispenser, now time.Time) { c = d.ApplyReport(now, r) })
	return c, nil
}

// UpdateLoad applies a load report of a target of the pool.
func (l *LocalEndpoint) UpdateLoad(pool string, id barleystep.TargetID, load barleystep.Load) {
	l.apply(l.pool(pool), func(d *Dispenser, _ time.Time) { d.UpdateLoad(id, load) })
}

// RemoveBox removes a box that has died from all pools.
func (l *LocalEndpoint) RemoveBox(id barleystep.BoxID) {
	for _, name := range l.Pools() {
		l.update(name, func(d *Dispenser, now time.Time) { d.RemoveBox(now, id) })
	}
}

// Pools returns the names of the pools in use at this endpoint and drops the idle ones.
func (l *LocalEndpoint) Pools() []string {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, p := range l.pools {
		if p.isIdle(now) {
			delete(l.pools, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

func (p *localPool) isIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) == 0 && now.Sub(p.lastUsed) > idleTimeout
}

// update is apply for a box's message, which also counts as use of the pool.
func (l *LocalEndpoint) update(pool string, f func(*Dispenser, time.Time)) {
	p := l.pool(pool)
	l.apply(p, func(d *Dispenser, now time.Time) {
		p.lastUsed = now
		f(d, now)
	})
}

// apply calls f on the pool's dispenser, with the configuration in force, and delivers the grants
// that follow.
func (l *LocalEndpoint) apply(p *localPool, f func(*Dispenser, time.Time)) {
	now := l.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l.refresh(p)
	f(p.dispenser, now)
	p.schedule(now)
}

func (l *LocalEndpoint) pool(name string) *localPool {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pools[name]; ok {
		return p
	}
	if l.pools == nil {
		l.pools = make(map[string]*localPool)
	}
	l.Meter.TookOver("dispenser")
	p := &localPool{
		name:      name,
		dispenser: NewDispenser(l.Settings, now),
		waiting:   make(map[barleystep.AttemptID]chan Grant),
		lastUsed:  now,
	}
	l.pools[name] = p
	select {
	case l.NewPools() <- name:
	default: // The next round of the Poller covers it.
	}
	return p
}

// newPoolsQueue is how many new pools can wait for their first load reports.
const newPoolsQueue = 64

// NewPools returns a channel of the names of pools that were just taken over. Nothing is granted in
// such a pool until the load of its targets is known.
func (l *LocalEndpoint) NewPools() chan string {
	l.once.Do(func() { l.newPools = make(chan string, newPoolsQueue) })
	return l.newPools
}

// Serve schedules the requests of all pools at intervals until ctx ends.
func (l *LocalEndpoint) Serve(ctx context.Context) error {
	for clock.Sleep(ctx, l.Clock, scheduleInterval) {
		for _, name := range l.Pools() {
			l.apply(l.pool(name), func(*Dispenser, time.Time) {})
		}
	}
	return ctx.Err()
}

// schedule delivers the grants and refusals of the dispenser. The caller holds the lock.
func (p *localPool) schedule(now time.Time) {
	for _, g := range p.dispenser.Schedule(now) {
		answer, ok := p.waiting[g.Attempt]
		if !ok {
			p.dispenser.Release(now, g.Attempt, barleystep.Usage{AtCapacity: true})
			continue
		}
		delete(p.waiting, g.Attempt)
		answer <- g
	}
}

// refresh applies the targets and the weighing of the configuration in force to the dispenser. The
// caller holds the lock.
func (l *LocalEndpoint) refresh(p *localPool) {
	v, _ := l.Configuration.View()
	if v == nil || v.Version() == p.version {
		return
	}
	p.version = v.Version()
	p.dispenser.SetWeighing(v.Weighing())
	p.dispenser.SetTargets(TargetSpecs(v, string(l.Hall), p.name))
}

// servicePrefix starts the names of the pools of plain services, which are no models.
const servicePrefix = "service:"

// ServicePoolName returns the name of the pool of a plain service. No model has such a name.
func ServicePoolName(service string) string { return servicePrefix + service }

// maxServiceCalls bounds the concurrent calls to one server of a plain service. A call counts as one
// token.
const maxServiceCalls = 64

// TargetSpecs returns the configured targets of a pool in a hall.
func TargetSpecs(v *config.View, hall, pool string) []TargetSpec {
	service, isService := strings.CutPrefix(pool, servicePrefix)
	model, _ := v.Model(pool)
	targets := v.Targets(func(t config.Target) bool {
		if isService {
			return t.Hall == hall && t.Service == service
		}
		return t.Hall == hall && t.Model == pool
	})
	specs := make([]TargetSpec, len(targets))
	for i, t := range targets {
		specs[i] = TargetSpec{ID: barleystep.TargetID(t.ID), KVTokens: model.EngineTokens, PrefillRate: model.PrefillRate, Drain: t.Drain}
		if isService {
			specs[i].KVTokens = maxServiceCalls
		}
	}
	return specs
}
