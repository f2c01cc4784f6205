package keeper

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/metric"
)

// Issuer orders the hall's targets to load weights while its box holds the
// lease. Its exported fields are set before Serve.
type Issuer struct {
	Clock         barleystep.Clock
	Hall          barleystep.HallID
	IDs           *identity.Generator
	Table         barleystep.Table
	Configuration config.Source
	Targets       Targets
	Watcher       *Watcher
	Meter         *metric.Meter
	Log           *log.Logger
	// Interval is the time between rounds; the default is 2 seconds.
	// OrderInterval is the minimum time between two orders, because the weight
	// store is rate-limited; the default is 10 seconds.
	Interval      time.Duration
	OrderInterval time.Duration

	lease     Lease
	lastOrder time.Time // lastOrder is when the last order was sent.
	// uncertainUntil is the time until which an order whose answer was lost may
	// still arrive at a target.
	uncertainUntil map[barleystep.TargetID]time.Time
	// openIntents is the set of targets for which this box may have an open intent.
	openIntents map[barleystep.TargetID]bool
}

const (
	defaultIssueInterval = 2 * time.Second
	defaultOrderInterval = 10 * time.Second
	// leaseDuration is how long a lease is valid; it is renewed in every round.
	leaseDuration = 15 * time.Second
	// leaseGrace is how long after its expiry another box may take a lease over.
	leaseGrace = 5 * time.Second
	// maxOrderDelay is how long an order whose answer was lost may take to arrive.
	maxOrderDelay = time.Minute
)

func (g *Issuer) leaseKey() string { return "order/lease/" + string(g.Hall) }

// intentPrefix returns the common prefix of the keys of the hall's intents, so
// that one scan reads them all.
func (g *Issuer) intentPrefix() string { return "order/intent/" + string(g.Hall) + "/" }

func (g *Issuer) intentKey(id barleystep.TargetID) string { return g.intentPrefix() + string(id) }

// maxIntents limits how many intents a scan returns: one for each target of the
// hall that ever had one.
const maxIntents = 10_000

// Serve runs rounds until ctx ends.
func (g *Issuer) Serve(ctx context.Context) error {
	if g.Interval == 0 {
		g.Interval = defaultIssueInterval
	}
	if g.OrderInterval == 0 {
		g.OrderInterval = defaultOrderInterval
	}
	return clock.Repeat(ctx, g.Clock, g.Interval, g.Round)
}

// Round checks each target once. It is exported for tests.
func (g *Issuer) Round(ctx context.Context) {
	v, _ := g.Configuration.View()
	if v == nil || !g.hasDesiredWeights(v) {
		return
	}
	held := g.acquireLease(ctx)
	intents, err := g.intents(ctx)
	if err != nil {
		return
	}
	for _, t := range g.targets(v) {
		if held || g.openIntents[barleystep.TargetID(t.ID)] {
			g.checkTarget(ctx, t, intents[g.intentKey(barleystep.TargetID(t.ID))])
		}
	}
}

// intents returns the hall's intent rows by key.
func (g *Issuer) intents(ctx context.Context) (map[string]barleystep.Row, error) {
	rows, err := g.Table.Scan(ctx, g.intentPrefix(), "", maxIntents)
	if err != nil {
		g.Meter.StoreFault("intent_scan", barleystep.FaultOf(err).String())
		return nil, err
	}
	byKey := make(map[string]barleystep.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key()] = r
	}
	return byKey, nil
}

func (g *Issuer) targets(v *config.View) []config.Target {
	return v.Targets(func(t config.Target) bool { return t.Hall == string(g.Hall) && t.Weights != "" })
}

// hasDesiredWeights reports whether any target has configured weights. Without
// one, no lease is taken, which saves its writes.
func (g *Issuer) hasDesiredWeights(v *config.View) bool { return len(g.targets(v)) > 0 }

// acquireLease takes or renews the lease and reports whether this box holds it.
// A write whose answer was lost is resolved by the next round's read; until
// then only the time of an earlier lease counts.
func (g *Issuer) acquireLease(ctx context.Context) bool {
	now := g.Clock.Now()
	rows, err := g.Table.Read(ctx, g.leaseKey())
	if err != nil {
		g.Meter.StoreFault("lease_read", barleystep.FaultOf(err).String())
		return now.Before(g.lease.Until)
	}
	current, err := decode[Lease](rows[0])
	if err != nil {
		g.Log.Error().Err(err).Msg(logPrefix + "Lease row can't be decoded.")
		return false
	}
	isHolder := current.Holder == g.IDs.Box() && current.Incarnation == g.IDs.Incarnation()
	if !isHolder && now.Before(current.Until.Add(leaseGrace)) {
		g.lease = Lease{}
		return false
	}
	return g.writeLease(ctx, rows[0].Version(), current, isHolder, now)
}

func (g *Issuer) writeLease(ctx context.Context, rowVersion int64, current Lease, isHolder bool, now time.Time) bool {
	next := Lease{Holder: g.IDs.Box(), Incarnation: g.IDs.Incarnation(), Token: current.Token, Until: now.Add(leaseDuration)}
	if !isHolder {
		next.Token++
		g.Meter.TookOver("orders")
	}
	err := g.Table.Commit(ctx, barleystep.Txn{
		Conditions: []barleystep.Condition{barleystep.IfVersion(g.leaseKey(), rowVersion)},
		Writes:     []barleystep.Write{barleystep.Put(g.leaseKey(), encode(next))},
	})
	if err != nil {
		g.Meter.StoreFault("lease_write", barleystep.FaultOf(err).String())
		return now.Before(g.lease.Until)
	}
	g.lease = next
	return true
}

// checkTarget reads the state of one target and takes the next step.
func (g *Issuer) checkTarget(ctx context.Context, t config.Target, row barleystep.Row) {
	id := barleystep.TargetID(t.ID)
	e, ok := g.Targets.Engine(id, true)
	if !ok {
		return
	}
	load, err := e.Load(ctx)
	if err != nil {
		return
	}
	intent, err := decode[Intent](row)
	if err != nil {
		g.Log.Error().Err(err).Msg(logPrefix + "Intent row can't be decoded.")
		return
	}
	self := g.lease
	self.Holder, self.Incarnation = g.IDs.Box(), g.IDs.Incarnation()
	s := TargetState{
		Now:         g.Clock.Now(),
		OwnLease:    self,
		Wanted:      t.Weights,
		Loaded:      load.Weights,
		Drained:     t.Drain && load.Running == 0 && load.Waiting == 0,
		ChecksFence: t.ChecksFence,
		Intent:      intent,
		HolderEnded: g.Watcher.HasEnded(intent.Holder, intent.Incarnation),
	}
	g.act(ctx, id, e, s, row.Version())
}

func (g *Issuer) act(ctx context.Context, id barleystep.TargetID, e barleystep.Engine, s TargetState, rowVersion int64) {
	if g.Clock.Now().Before(g.uncertainUntil[id]) {
		return
	}
	switch Decide(s) {
	case StepSend:
		g.send(ctx, id, e, barleystep.Order{Weights: s.Wanted, Fence: s.OwnLease.Token})
	case StepWriteIntent:
		intent := Intent{Holder: s.OwnLease.Holder, Incarnation: s.OwnLease.Incarnation, Token: s.OwnLease.Token, Weights: s.Wanted, Open: true}
		if g.writeIntent(ctx, id, rowVersion, intent) {
			g.send(ctx, id, e, barleystep.Order{Weights: s.Wanted, Fence: s.OwnLease.Token})
		}
	case StepSendIntended:
		g.send(ctx, id, e, barleystep.Order{Weights: s.Intent.Weights, Fence: s.OwnLease.Token})
	case StepCloseIntent:
		g.closeIntent(ctx, id, rowVersion, s.Intent)
	}
}

func (g *Issuer) setIntentOpen(id barleystep.TargetID, open bool) {
	if g.openIntents == nil {
		g.openIntents = make(map[barleystep.TargetID]bool)
	}
	g.openIntents[id] = open
}

// closeIntent closes this box's own intent. It needs no lease, as no other box
// closes it.
func (g *Issuer) closeIntent(ctx context.Context, id barleystep.TargetID, rowVersion int64, i Intent) {
	i.Open = false
	err := g.Table.Commit(ctx, barleystep.Txn{
		Conditions: []barleystep.Condition{barleystep.IfVersion(g.intentKey(id), rowVersion)},
		Writes:     []barleystep.Write{barleystep.Put(g.intentKey(id), encode(i))},
	})
	if err == nil {
		g.setIntentOpen(id, false)
	}
}

// writeIntent writes the intent on condition that the intent row is unchanged
// and that the table still shows this box's lease. It reports success.
func (g *Issuer) writeIntent(ctx context.Context, id barleystep.TargetID, rowVersion int64, i Intent) bool {
	g.setIntentOpen(id, true)
	rows, err := g.Table.Read(ctx, g.leaseKey())
	if err != nil {
		return false
	}
	if held, err := decode[Lease](rows[0]); err != nil || held.Token != g.lease.Token || held.Holder != g.lease.Holder {
		return false
	}
	err = g.Table.Commit(ctx, barleystep.Txn{
		Conditions: []barleystep.Condition{
			barleystep.IfVersion(g.intentKey(id), rowVersion),
			barleystep.IfVersion(g.leaseKey(), rows[0].Version()),
		},
		Writes: []barleystep.Write{barleystep.Put(g.intentKey(id), encode(i))},
	})
	return err == nil
}

// send sends an order unless the last one was sent within OrderInterval.
func (g *Issuer) send(ctx context.Context, id barleystep.TargetID, e barleystep.Engine, o barleystep.Order) {
	now := g.Clock.Now()
	if now.Sub(g.lastOrder) < g.OrderInterval && !g.lastOrder.IsZero() {
		return
	}
	g.lastOrder = now
	err := e.Order(ctx, o)
	if barleystep.FaultOf(err) == barleystep.FaultUnknownEffect {
		g.recordLostAnswer(id, now)
	}
	g.Log.Info().Str("target", string(id)).Str("weights", o.Weights).Int64("fence", o.Fence).Err(err).
		Msg(logPrefix + "Order sent.")
}

func (g *Issuer) recordLostAnswer(id barleystep.TargetID, now time.Time) {
	g.Meter.AttemptRetried("order_answer_lost")
	if g.uncertainUntil == nil {
		g.uncertainUntil = make(map[barleystep.TargetID]time.Time)
	}
	g.uncertainUntil[id] = now.Add(maxOrderDelay)
}

const logPrefix = "keeper: "
