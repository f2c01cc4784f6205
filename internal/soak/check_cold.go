package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// checkCold checks that no cold target falls over. A violation names the requests of the second in
// which the target fell over, with their boxes.
func (c *check) checkCold(calls map[string]*Call) {
	for _, a := range c.history.arrivals {
		if a.FellOver {
			c.addViolation("cold targets", a.Request, "%s fell over at %s, at %d requests in a second:%s", a.Target, a.At.Format(clockFormat), a.ColdCount, c.describeSecond(a, calls))
		}
	}
}

// clockFormat is the format of times in violations, to be found in the logs of the boxes.
const clockFormat = "15:04:05.000"

// describeSecond lists what reached the target in the second before it fell over.
func (c *check) describeSecond(last platformtest.Arrival, calls map[string]*Call) string {
	var list []platformtest.Arrival
	for _, a := range c.history.arrivals {
		if before := last.At.Sub(a.At); a.Target == last.Target && a.Born == last.Born && before >= 0 && before < time.Second {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	var text strings.Builder
	for _, a := range list {
		from := "?"
		if x := calls[a.Request]; x != nil {
			from = incarnationID(x.Box, x.Incarnation)
		}
		fmt.Fprintf(&text, " -%dms %s %s;", last.At.Sub(a.At).Milliseconds(), a.Request, from)
	}
	return text.String()
}
