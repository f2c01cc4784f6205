// Package limit holds client accounts to the token rates that the policy gives
// them. A rate counts over all halls: it is divided among the halls by what they
// have lately needed, and evenly among the boxes of a hall, which the balancer
// loads evenly.
package limit

import "time"

// bucket is a token bucket that may go into debt: a request is admitted while
// there is anything left, and then pays its whole cost. A prompt may be longer
// than any burst.
type bucket struct {
	balance  float64
	filledAt time.Time
	need     float64 // need is the tokens asked for since the last division.
}

// burst is how much unused time an account may save.
const burst = 2 * time.Second

// take admits a request of the given cost, or returns how long to wait.
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
