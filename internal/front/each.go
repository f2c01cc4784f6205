package front

import "sync"

// each calls f for all numbers below n at once and returns the results in their order.
func each(n int, f func(i int) bool) []bool {
	results := make([]bool, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { results[i] = f(i) })
	}
	wait.Wait()
	return results
}
