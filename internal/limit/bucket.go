// Package limit enforces the token rates that the policy sets for client accounts. A rate holds over
// all halls. It is divided among the halls in proportion to their recent demand, and evenly among
// the boxes of a hall, as the balancer spreads callers evenly over them.
package limit

import "time"

// bucket is a token bucket whose balance may become negative: a request is admitted while the balance
// is positive and then pays its whole cost, since a prompt may be longer than the burst.
type bucket struct {
	balance  float64
	filledAt time.Time
	need     float64 // need is the number of tokens requested since the last round of Limiter.Rebalance.
}

// burst bounds a bucket's balance, as a time at the account's rate.
const burst = 2 * time.Second

// take admits a request of the given cost, or returns the time until one can be admitted.
func (b *bucket) take(now time.Time, rate, cost float64) (wait time.Duration, ok bool) {
	b.refill(now, rate)
	b.need += cost
	if b.balance <= 0 {
		return time.Duration(-b.balance/rate*float64(time.Second)) + time.Millisecond, false
	}
	b.balance -= cost
	return 0, true
}

func (b *bucket) refill(now time.Time, rate float64) {
	maxBalance := rate * burst.Seconds()
	if b.filledAt.IsZero() {
		b.balance = maxBalance
	}
	elapsed := max(now.Sub(b.filledAt).Seconds(), 0)
	if !b.filledAt.IsZero() {
		b.balance = min(b.balance+elapsed*rate, maxBalance)
	}
	b.filledAt = now
}
