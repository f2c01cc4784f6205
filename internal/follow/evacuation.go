package follow

import (
	"maps"

	"github.com/barleystep/barleystep"
)

// resetEvacuations replaces the evacuated halls by those of a whole topic.
func (c *Configuration) resetEvacuations(records []barleystep.Record) {
	halls := make(map[barleystep.HallID]bool)
	for _, r := range records {
		if hall, ok := barleystep.EvacuatedHall(r.Key()); ok {
			halls[hall] = true
			c.checkEvacuation(r)
		}
	}
	c.setEvacuated(halls)
}

// applyEvacuation evacuates a hall, or takes it back if the record was removed.
func (c *Configuration) applyEvacuation(hall barleystep.HallID, r barleystep.Record) {
	halls := maps.Clone(c.Evacuated())
	if halls == nil {
		halls = make(map[barleystep.HallID]bool)
	}
	if r.Removed() {
		delete(halls, hall)
		c.dropRefusal(r.Key())
	} else {
		halls[hall] = true
		c.checkEvacuation(r)
	}
	c.setEvacuated(halls)
}

// checkEvacuation counts an evacuation whose value the operator cannot have written. It holds all
// the same: not sending to a hall is the safe side.
func (c *Configuration) checkEvacuation(r barleystep.Record) {
	if c.CheckEvacuation == nil {
		return
	}
	err := c.CheckEvacuation(r.Value())
	if err == nil {
		c.dropRefusal(r.Key())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if line := c.refusals.add(r.Key(), err, c.Clock.Now(), c.Log); line != nil {
		line.Str("record", r.Key()).Msg(logPrefix + "The value of an evacuation is invalid; the hall is evacuated all the same.")
	}
}

func (c *Configuration) dropRefusal(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals.drop(key)
}

// Evacuated returns the evacuated halls. The map must not be modified.
func (c *Configuration) Evacuated() map[barleystep.HallID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated
}

// setEvacuated puts a set of evacuated halls in force.
func (c *Configuration) setEvacuated(halls map[barleystep.HallID]bool) {
	old := c.Evacuated()
	if maps.Equal(old, halls) {
		return
	}
	c.mu.Lock()
	c.evacuated = halls
	c.mu.Unlock()
	if c.OnEvacuation != nil {
		c.OnEvacuation(halls)
	}
	for hall := range halls {
		if !old[hall] {
			c.logEvacuation(hall, "A hall is evacuated; its targets get no further requests.")
		}
	}
	for hall := range old {
		if !halls[hall] {
			c.logEvacuation(hall, "A hall is no longer evacuated.")
		}
	}
}

func (c *Configuration) logEvacuation(hall barleystep.HallID, text string) {
	c.Log.Info().Str("hall", string(hall)).Int64("version", c.Version()).Dur("confirmed", c.Age()).Msg(logPrefix + text)
}
