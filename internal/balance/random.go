package balance

import "math/rand/v2"

// randFloat returns a random number in [0, 1).
func (b *Balancer) randFloat() float64 {
	if b.Rand != nil {
		return b.Rand.Float64()
	}
	return rand.Float64()
}

// randIntN returns a random number in [0, n).
func (b *Balancer) randIntN(n int) int {
	if b.Rand != nil {
		return b.Rand.IntN(n)
	}
	return rand.IntN(n)
}

// shuffle puts n elements in random order.
func (b *Balancer) shuffle(n int, swap func(i, k int)) {
	if b.Rand != nil {
		b.Rand.Shuffle(n, swap)
		return
	}
	rand.Shuffle(n, swap)
}
