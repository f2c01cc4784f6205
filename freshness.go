package barleystep

import (
	"context"
	"time"
)

// Freshness tells how recent a box's copy of a topic is. Implementations are safe for concurrent use.
type Freshness interface {
	// Age returns how long ago a change that the copy lacks could first have been acknowledged. It is
	// negative if the copy was never confirmed.
	Age() time.Duration
	// AwaitCurrent waits until the copy is recent enough to act upon. It does not wait for a box that
	// cannot get a more recent one. It returns an error if ctx ends first.
	AwaitCurrent(ctx context.Context) error
}
