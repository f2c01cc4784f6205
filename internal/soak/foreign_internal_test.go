package soak

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestForeignEntries checks that the schedule draws every way of corrupting a record, that each
// corrupted record differs from the target's own and that raw bytes are not valid JSON.
func TestForeignEntries(t *testing.T) {
	c := quicktest.New(t)
	run := Setup{Seed: 1, Length: 10 * time.Minute, Boxes: 3, Targets: 6, Profile: ProfileUsual}
	drawn := make(map[string]bool)
	for _, e := range (eventSource{streamForeign, foreignGap, map[Action]int{ActionForeign: 1}}).generate(run) {
		c.Assert(e.Action, quicktest.Equals, ActionForeign)
		drawn[e.Detail] = true
	}
	c.Check(drawn, quicktest.HasLen, len(foreignEntries))
	own := func() map[string]any {
		return map[string]any{fieldService: plainService, fieldAddress: "127.0.0.1:1", fieldSlots: 1, fieldState: stateReady}
	}
	for name := range drawn {
		c.Run(name, func(c *quicktest.C) {
			r := foreignEntries[name](own())
			c.Check(r.Value, quicktest.Not(quicktest.DeepEquals), any(own()))
			c.Check(r.Value == nil, quicktest.Equals, r.Bytes != nil)
			c.Check(json.Valid(r.Bytes), quicktest.IsFalse)
		})
	}
}
