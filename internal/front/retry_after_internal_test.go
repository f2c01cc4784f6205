package front

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barleystep/barleystep/internal/fleet"
)

// TestRetryAfterBounds checks that the delay until capacity is expected is spread by at most a tenth
// and never exceeds a third of the time that the caller has left: callers ignore longer delays.
func TestRetryAfterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "left"))
		capacityAfter := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "after"))
		random := rapid.Float64Range(0, 0.999999).Draw(t, "random")
		x := &Exchange{route: &fleet.Route{Objective: time.Minute}, deadline: now.Add(left)}
		got, least := x.retryAfterCapacity(now, capacityAfter, random), x.retryAfterCapacity(now, capacityAfter, 0)
		switch {
		case got > max(left, 0)/3:
			t.Fatalf("%v is over a third of %v", got, left)
		case got < least || got > least+least/10:
			t.Fatalf("%v is not within a tenth over %v", got, least)
		case least > capacityAfter:
			t.Fatalf("%v is over the time until capacity, %v", least, capacityAfter)
		case capacityAfter+capacityAfter/10 < left/3 && least != capacityAfter:
			t.Fatalf("%v although there is time for %v", least, capacityAfter)
		}
	})
}
