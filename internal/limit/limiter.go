package limit

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/internal/place"
)

// Limiter enforces the rates of client accounts on one box. Its exported fields are set before use;
// it is safe for concurrent use.
//
// While the table service is unavailable, the last shares stay in force. When demand moves between
// halls, two halls may use different rows for one interval; an account may then get up to twice its
// rate for that time.
type Limiter struct {
	Clock      barleystep.Clock
	Box        barleystep.BoxID
	Hall       barleystep.HallID
	Table      barleystep.Table
	Membership barleystep.Membership
	Meter      *metric.Meter
	// Interval is the time between calls of Rebalance; the default is 5 seconds.
	Interval time.Duration

	mu      mutex.Mutex
	buckets map[string]*bucket
	needs   map[barleystep.HallID]needs
}

// needs is a hall's row in the table: the tokens per second that each client account requests.
type needs struct {
	At       time.Time          `json:"at"`
	Accounts map[string]float64 `json:"accounts"`
}

const (
	defaultInterval = 5 * time.Second
	prefix          = "limit/"
	maxHalls        = 64
	// maxNeedsAge is how old a hall's row may be. A hall with an older row gets its even share only.
	maxNeedsAge = 5 * time.Minute
	// evenShare is the share of a rate that is divided evenly among all halls, so that a hall can
	// admit requests before its demand has been recorded.
	evenShare = 0.2
	// minNeed is the least demand that is written to a hall's row, in tokens per second.
	minNeed = 1.0
)

// Take admits a request that costs the account the given tokens, or returns the time until a request
// can be admitted. Rate is in tokens per second over all halls; zero means no limit.
func (l *Limiter) Take(account string, rate float64, tokens int) (wait time.Duration, ok bool) {
	if rate == 0 {
		return 0, true
	}
	boxes := max(1, len(l.Membership.Alive()))
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	own := rate * l.hallShare(now, account) / float64(boxes)
	return l.bucket(account).take(now, own, float64(tokens))
}

func (l *Limiter) bucket(account string) *bucket {
	b, ok := l.buckets[account]
	if !ok {
		b = &bucket{}
		if l.buckets == nil {
			l.buckets = make(map[string]*bucket)
		}
		l.buckets[account] = b
	}
	return b
}

// hallShare returns this hall's share of the account's rate, from 0 to 1.
func (l *Limiter) hallShare(now time.Time, account string) float64 {
	sum, own := 0.0, 0.0
	halls := 0
	for hall, n := range l.needs {
		halls++
		if now.Sub(n.At) > maxNeedsAge {
			continue
		}
		sum += n.Accounts[account]
		if hall == l.Hall {
			own = n.Accounts[account]
		}
	}
	return HallShare(own, sum, halls)
}

// HallShare returns a hall's share of a rate, from 0 to 1. A fixed part of the rate is divided evenly
// among the halls, the rest in proportion to demand: own of sum.
func HallShare(own, sum float64, halls int) float64 {
	switch {
	case halls <= 1:
		return 1
	case sum == 0:
		return 1 / float64(halls)
	default:
		return evenShare/float64(halls) + (1-evenShare)*own/sum
	}
}

// Serve calls Rebalance at intervals until ctx ends.
func (l *Limiter) Serve(ctx context.Context) error {
	if l.Interval == 0 {
		l.Interval = defaultInterval
	}
	return clock.Repeat(ctx, l.Clock, l.Interval, l.Rebalance)
}

// Rebalance writes the hall's demand, if this box is the hall's writer, and reads the demand of all
// halls. It is exported for tests; Serve calls it.
func (l *Limiter) Rebalance(ctx context.Context) {
	own := l.collect()
	if l.isWriter() && len(own.Accounts) > 0 {
		l.write(ctx, own)
	}
	rows, err := l.Table.Scan(ctx, prefix, "", maxHalls)
	if err != nil {
		l.Meter.StoreFault("limit_read", barleystep.FaultOf(err).String())
		return
	}
	found := make(map[barleystep.HallID]needs, len(rows))
	for _, r := range rows {
		var n needs
		if json.Unmarshal(r.Value(), &n) == nil {
			found[barleystep.HallID(strings.TrimPrefix(r.Key(), prefix))] = n
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.needs = found
}

// isWriter reports whether this box writes its hall's row.
func (l *Limiter) isWriter() bool {
	return place.Owner("limit", l.Membership.Alive()) == l.Box
}

// collect returns the hall's demand and resets the counts. It multiplies the demand at this box by the
// number of boxes in the hall, as the balancer spreads callers evenly.
func (l *Limiter) collect() needs {
	interval := l.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	factor := float64(max(1, len(l.Membership.Alive()))) / interval.Seconds()
	n := needs{At: l.Clock.Now(), Accounts: make(map[string]float64)}
	l.mu.Lock()
	defer l.mu.Unlock()
	for account, b := range l.buckets {
		if need := b.need * factor; need >= minNeed {
			n.Accounts[account] = need
		}
		b.need = 0
	}
	return n
}

// write replaces the hall's row. It does not retry, since the next round writes the row again.
func (l *Limiter) write(ctx context.Context, n needs) {
	data, err := json.Marshal(n)
	if err != nil {
		return
	}
	err = l.Table.Commit(ctx, barleystep.Txn{Writes: []barleystep.Write{barleystep.Put(prefix+string(l.Hall), data)}})
	if err != nil {
		l.Meter.StoreFault("limit_write", barleystep.FaultOf(err).String())
	}
}
