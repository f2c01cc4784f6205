package follow

import (
	"context"
	"time"

	"github.com/barleystep/barleystep"
)

// Oldest is the freshness of several copies that are acted upon together: that of the oldest one.
type Oldest []barleystep.Freshness

// Age returns the largest age, or a negative one if a copy was never confirmed.
func (o Oldest) Age() (oldest time.Duration) {
	for _, f := range o {
		age := f.Age()
		if age < 0 {
			return age
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// AwaitCurrent waits for each copy, the last one at the end.
func (o Oldest) AwaitCurrent(ctx context.Context) error {
	for _, f := range o {
		if err := f.AwaitCurrent(ctx); err != nil {
			return err
		}
	}
	return nil
}
