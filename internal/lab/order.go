package lab

import "time"

// OrderLoss is a period in which engines leave a fraction of the orders without an answer. An order
// reserves memory at a helper for a prompt that exceeds an engine's KV cache.
type OrderLoss struct {
	Fraction float64
	From     time.Duration
	Until    time.Duration
}

const (
	// orderTimeout is how long a box waits for the answers to its orders, orderRepeatInterval the
	// interval at which it sends those without an answer again.
	orderTimeout        = 500 * time.Millisecond
	orderRepeatInterval = 60 * time.Millisecond
)

// orderLossAt returns the fraction of the orders that get no answer at the given time of the day.
func (l Scenario) orderLossAt(at time.Duration) float64 {
	for _, o := range l.OrderLosses {
		if o.From <= at && at < o.Until {
			return o.Fraction
		}
	}
	return 0
}

// reserveMemory returns the time until all helpers have answered the order for memory. ok is false if
// one of them does not before the timeout.
func (d *day) reserveMemory(c *choice) (took time.Duration, ok bool) {
	loss := d.scenario.orderLossAt(d.timeline.Elapsed())
	if c.memory != 0 || loss == 0 {
		return 0, true
	}
	for range c.helpers {
		answered := time.Duration(0)
		for d.rng.Float64() < loss {
			answered += orderRepeatInterval
			if answered >= orderTimeout {
				return orderTimeout, false
			}
		}
		took = max(took, answered)
	}
	return took, true
}
