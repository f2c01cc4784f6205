package soak

import (
	"time"

	"github.com/rotisserie/eris"
)

// Setup is the size of a run and the seed from which it is drawn.
type Setup struct {
	Seed uint64
	// Length is how long callers send requests.
	Length time.Duration
	// Boxes, Targets and Callers are the numbers of boxes, of targets that are engines, and of
	// callers. There are half as many targets of a plain service as engines.
	Boxes   int
	Targets int
	Callers int
	Profile Profile
}

// targetCount returns the number of targets of both services.
func (s Setup) targetCount() int { return s.Targets + s.Targets/2 }

// load returns the load of the profile.
func (s Setup) load() load { return loads[s.Profile] }

// Profile names the load that callers put on the boxes.
type Profile string

const (
	// ProfileUsual has targets with spare slots and short streams.
	ProfileUsual Profile = "usual"
	// ProfileCrowded has targets with few slots and long streams, and callers that wait longer than
	// a planned stop lasts, so that requests are queued when boxes stop.
	ProfileCrowded Profile = "crowded"
)

// String returns the profile's name.
func (p *Profile) String() string { return string(*p) }

// Set sets the profile by name. It fails if there is no such profile.
func (p *Profile) Set(name string) error {
	if _, ok := loads[Profile(name)]; !ok {
		return eris.Errorf("soak: unknown profile %q", name)
	}
	*p = Profile(name)
	return nil
}

// Type returns the name of the flag's type in help texts.
func (*Profile) Type() string { return "profile" }

// load holds the parameters of a profile.
type load struct {
	// timeLimit is how long callers wait.
	timeLimit time.Duration
	objective time.Duration
	// slots is the number of requests that an engine serves at once, pause the time between two
	// events of its streams.
	slots int
	pause time.Duration
	// One in oversizedEvery resumable streams has a prompt that exceeds an engine's KV cache.
	oversizedEvery int
	// stops is the divisor of the rate of additional planned stops: Boxes/stops boxes are told to
	// stop in each grace period. Zero adds none.
	stops int
}

var loads = map[Profile]load{
	ProfileUsual: {
		timeLimit: 4 * time.Second, objective: 500 * time.Millisecond, slots: 16, pause: 8 * time.Millisecond, oversizedEvery: 25,
	},
	ProfileCrowded: {
		timeLimit: 15 * time.Second, objective: 3 * time.Second, slots: 2, pause: 400 * time.Millisecond, oversizedEvery: 4,
		stops: 2,
	},
}
