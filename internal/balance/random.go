package balance

import "math/rand/v2"

// chance returns a number from 0 to 1, without 1.
func (b *Balancer) randFloat() float64 {
	if b.Rand != nil {
		return b.Rand.Float64()
	}
	return rand.Float64()
}

// draw returns a number from 0 to n, without n.
func (b *Balancer) randIntN(n int) int {
	if b.Rand != nil {
		return b.Rand.IntN(n)
	}
	return rand.IntN(n)
}

// shuffle puts n things in an order by chance.
func (b *Balancer) shuffle(n int, swap func(i, k int)) {
	if b.Rand != nil {
		b.Rand.Shuffle(n, swap)
		return
	}
	rand.Shuffle(n, swap)
}
