package guard_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/guard"
)

// TestPlaces guards against machines whose descriptors or memory are used up by connections that all lists
// of limits allow.
func TestPlaces(t *testing.T) {
	const (
		kernelBytes   = 80 << 10 // kernelBytes is what the kernel holds at most for a connection and its target's.
		heapPercent   = 70       // heapPercent is the part of the memory up to which the heap may grow.
		perCaller     = 2        // perCaller is the number of descriptors for a caller: its connection and the target's.
		forOthers     = 2        // forOthers is the same for a box that uses this one as a relay.
		leastReserved = 200
	)
	cases := map[string]struct {
		descriptors int
		memory      int64
	}{
		"small machine":               {4100, 184_000_000},
		"usual machine":               {4100, 284_000_000},
		"large machine":               {8192, 536_000_000},
		"much memory, few to open":    {1024, 4_000_000_000},
		"little memory, many to open": {65536, 64_000_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			callers, peers := guard.CallerPlaces(tc.descriptors, tc.memory), guard.PeerPlaces(tc.descriptors)
			c.Check(perCaller*callers+callers/8+forOthers*peers+2*guard.ProbePlaces+leastReserved <= tc.descriptors, quicktest.IsTrue)
			c.Check(tc.memory*heapPercent/100+int64(callers)*kernelBytes <= tc.memory, quicktest.IsTrue)
		})
	}
	c := quicktest.New(t)
	c.Check(guard.CallerPlaces(0, 0) > 0, quicktest.IsTrue)
}
