package lab_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/lab"
)

// short draws a day of the family and makes it short.
func short(f lab.Family) lab.Load {
	load := f.Draw(rand.New(rand.NewPCG(1, 0)))
	load.Span = 8 * time.Second
	load.Restart = min(load.Restart, load.Span/2)
	return load
}

// TestSameSeed checks that a day depends on its seed alone.
func TestSameSeed(t *testing.T) {
	for _, f := range lab.Families {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			load := short(f)
			first, second := lab.Run(load, lab.Balanced, 7), lab.Run(load, lab.Balanced, 7)
			quicktest.Check(t, first, quicktest.DeepEquals, second)
		})
	}
}

// TestBound checks that no policy earns more than the bound, and that every prompt
// is counted once.
func TestBound(t *testing.T) {
	for _, f := range lab.Families {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			for _, policy := range []lab.Policy{lab.Random, lab.LeastLoaded, lab.Balanced} {
				load := short(f)
				r := lab.Run(load, policy, 2)
				c.Check(r.Earned <= r.Bound, quicktest.IsTrue)
				c.Check(r.Bound <= r.Owed*1.000001, quicktest.IsTrue)
				for _, k := range r.Kinds {
					sum := 0
					for _, n := range k.Causes {
						sum += n
					}
					c.Check(sum, quicktest.Equals, k.Count)
				}
			}
		})
	}
}

// TestTables checks that the tables name each family.
func TestTables(t *testing.T) {
	c := quicktest.New(t)
	var out strings.Builder
	c.Assert(lab.WriteTables(&out, lab.Plan{Seeds: 1, Workers: 2, Family: "one"}), quicktest.IsNil)
	c.Check(strings.Count(out.String(), "| one engine |"), quicktest.Equals, 6)
}
