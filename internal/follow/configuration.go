package follow

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/internal/strict"
)

// Configuration holds the configuration in force on this box and the halls that are evacuated. Its
// version never decreases. Its exported fields are set before use; it is safe for concurrent use.
type Configuration struct {
	Clock  barleystep.Clock
	Decode func(value []byte) (fleet.Configuration, error)
	// CheckEvacuation returns an error for an evacuation's value that the operator cannot have
	// written; nil accepts all.
	CheckEvacuation func(value []byte) error
	// OnEvacuation is called with all evacuated halls whenever they change; it may be nil.
	OnEvacuation func(halls map[barleystep.HallID]bool)
	Log          *log.Logger

	view      atomic.Pointer[fleet.View]
	confirmed atomic.Int64 // confirmed is when the last confirmation was requested, in nanoseconds after origin.

	mu     mutex.Mutex
	origin time.Time
	// invalid is set while the newest version cannot be decoded, so that no confirmation proves
	// that keys are current.
	invalid bool
	// refusals counts the configurations that could not be decoded, and the evacuations with an
	// invalid value.
	refusals refusals
	// evacuated holds the evacuated halls. It is replaced, never modified.
	evacuated map[barleystep.HallID]bool
}

// recordName is the key of the configuration in refusals.
const recordName = "configuration"

// View returns the configuration in force, nil if there is none yet.
func (c *Configuration) View() *fleet.View { return c.view.Load() }

// Version returns the version of the configuration in force, 0 if there is none.
func (c *Configuration) Version() int64 {
	if v := c.view.Load(); v != nil {
		return v.Version()
	}
	return 0
}

// Age returns the age of the last confirmation: every change acknowledged before it is in
// force. It is negative without a confirmation.
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

// install puts an encoded configuration in force unless it is older than the current one. If it
// cannot be decoded, the last valid one stays in force.
func (c *Configuration) install(value []byte) {
	decoded, err := c.Decode(value)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalid = err != nil
	if err != nil {
		if line := c.refusals.add(recordName, err, c.Clock.Now(), c.Log); line != nil {
			line.Msg(logPrefix + "A configuration is invalid; the last valid one stays in force.")
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
		Int("accounts", len(decoded.Accounts)).Msg(logPrefix + "A new configuration is in force.")
}

// Reset implements Handler. The evacuations come first, so that no request goes by a configuration
// without them.
func (c *Configuration) Reset(records []barleystep.Record) {
	c.resetEvacuations(records)
	for _, r := range records {
		if _, evacuates := barleystep.EvacuatedHall(r.Key()); !evacuates {
			c.Apply(r)
		}
	}
}

// Apply implements Handler. The operator never removes the configuration, so a removal leaves
// the last one in force.
func (c *Configuration) Apply(r barleystep.Record) {
	if hall, ok := barleystep.EvacuatedHall(r.Key()); ok {
		c.applyEvacuation(hall, r)
		return
	}
	if r.Removed() {
		c.handleRemoval()
		return
	}
	c.install(r.Value())
}

// errRemoved is the reason that is counted when the configuration's record was removed.
var errRemoved = strict.Errorf(strict.ReasonMissing, "the record was removed")

func (c *Configuration) handleRemoval() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if line := c.refusals.add(recordName, errRemoved, c.Clock.Now(), c.Log); line != nil {
		line.Msg(logPrefix + "The configuration was removed from the store; the last one stays in force.")
	}
}

// RefusalCounts returns how many configurations could not be used since the start, by reason;
// one that is read again counts again.
func (c *Configuration) RefusalCounts() []RefusalCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals.list()
}

// Confirmed implements Handler.
func (c *Configuration) Confirmed(requestedAt time.Time, _ barleystep.Revision) {
	if c.view.Load() != nil {
		c.recordConfirmation(requestedAt)
	}
}

// Unavailable implements Handler. It does nothing, since Age covers it.
func (c *Configuration) Unavailable(time.Time) {}
