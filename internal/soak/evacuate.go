package soak

import (
	"context"
	"time"
)

const (
	// evacuationKey begins the key of the row that evacuates a hall, in the operator's table.
	evacuationKey = "evacuate/"
	// evacuationBound is how long boxes that can read the store may take to obey an evacuation.
	evacuationBound = 5 * time.Second
	// evacuationTime is the minimum duration of an evacuation. The behaviour of the boxes after the
	// bound must be observable.
	evacuationTime = evacuationBound + 5*time.Second
)

// evacuate evacuates a hall for the given time. While a hall is evacuated already it does nothing:
// without any target, all requests would be refused and the other checks would see none.
func (s *Runner) evacuate(ctx context.Context, hall string, wait time.Duration) {
	if !s.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer s.evacuating.Store(false)
	row := record{Table: tableOperator, Key: evacuationKey + hall, Value: map[string]any{}}
	s.store.execute(command{Put: &row})
	s.history.RecordEvacuation(hall, s.Clock.Now())
	s.sleep(ctx, wait)
	s.history.RecordEvacuationEnd(hall, s.Clock.Now())
	s.store.execute(command{Remove: &row})
}
