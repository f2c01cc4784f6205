package follow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/strict"
)

// Configuration is the configuration that a box goes by. It never goes back to
// an older version. Its exported fields are set before use; it is safe for
// concurrent use.
type Configuration struct {
	Clock  barleystep.Clock
	Decode func(value []byte) (fleet.Configuration, error)
	Log    *log.Logger

	view      atomic.Pointer[fleet.View]
	confirmed atomic.Int64 // proof is when the last proof was asked for, in nanoseconds after origin.

	mu     sync.Mutex
	origin time.Time
	// refused is set while the newest version cannot be used, so that nothing
	// proves that keys are current.
	invalid bool
	// refusals counts what cannot be used.
	refusals refusals
}

// recordName stands for the one record of the configuration.
const recordName = "configuration"

// View returns the configuration in force, nil as long as there is none.
func (c *Configuration) View() *fleet.View { return c.view.Load() }

// Version returns the number of the configuration in force, 0 if there is none.
func (c *Configuration) Version() int64 {
	if v := c.view.Load(); v != nil {
		return v.Version()
	}
	return 0
}

// Age returns how long ago the box could last have missed a change: every
// change acknowledged before that is in force. It is negative if there was no
// proof yet.
func (c *Configuration) Age() time.Duration {
	c.mu.Lock()
	origin := c.origin
	c.mu.Unlock()
	if origin.IsZero() {
		return -1
	}
	return c.Clock.Now().Sub(origin) - time.Duration(c.confirmed.Load())
}

func (c *Configuration) recordConfirmation(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalid {
		return
	}
	if c.origin.IsZero() {
		c.origin = at
	}
	if since := int64(at.Sub(c.origin)); since > c.confirmed.Load() {
		c.confirmed.Store(since)
	}
}

// apply puts an encoded configuration in force unless it is older than the one
// in force. One that cannot be read leaves the last good one in force.
func (c *Configuration) install(value []byte) {
	decoded, err := c.Decode(value)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalid = err != nil
	if err != nil {
		if line := c.refusals.add(recordName, err, c.Clock.Now(), c.Log); line != nil {
			line.Msg(logPrefix + "A configuration was refused. The last good one stays in force.")
		}
		return
	}
	c.refusals.drop(recordName)
	old := c.view.Load()
	if old != nil && old.Version() >= decoded.Version {
		return
	}
	c.view.Store(fleet.NewView(decoded))
	c.Log.Info().Int64("version", decoded.Version).Int("routes", len(decoded.Routes)).
		Int("accounts", len(decoded.Accounts)).Msg(logPrefix + "A configuration is in force.")
}

// Reset is part of Handler.
func (c *Configuration) Reset(records []barleystep.Record) {
	for _, r := range records {
		c.Apply(r)
	}
}

// Change is part of Handler. The operator never removes the configuration, and
// one that cannot be read proves nothing about keys.
func (c *Configuration) Apply(r barleystep.Record) {
	if r.Removed() {
		c.handleRemoval()
		return
	}
	c.install(r.Value())
}

// errRemoved is why there is no configuration to read.
var errRemoved = strict.Errorf(strict.ReasonMissing, "the record was removed")

func (c *Configuration) handleRemoval() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if line := c.refusals.add(recordName, errRemoved, c.Clock.Now(), c.Log); line != nil {
		line.Msg(logPrefix + "The configuration was removed from the store. The last one stays in force.")
	}
}

// Refused returns how many configurations could not be used since the start, by reason;
// one that is read again counts again.
func (c *Configuration) RefusalCounts() []RefusalCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals.byReason()
}

// Proved is part of Handler.
func (c *Configuration) Confirmed(requestedAt time.Time, _ barleystep.Revision) {
	if c.view.Load() != nil {
		c.recordConfirmation(requestedAt)
	}
}

// Lost is part of Handler. The age of the last proof says all that is needed.
func (c *Configuration) Unavailable(time.Time) {}
