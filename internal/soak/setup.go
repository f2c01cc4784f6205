package soak

import (
	"time"

	"github.com/rotisserie/eris"
)

// Setup says how large a run is and what it is drawn from.
type Setup struct {
	Seed uint64
	// Length is how long callers send requests.
	Length time.Duration
	// Boxes, Targets and Callers count processes of boxes, targets that are engines,
	// and callers. There are half as many targets of a plain service.
	Boxes   int
	Targets int
	Callers int
	Profile Profile
}

// allTargets counts the targets of both services.
func (s Setup) targetCount() int { return s.Targets + s.Targets/2 }

// load returns the load of the profile.
func (s Setup) load() load { return loads[s.Profile] }

// Profile names the load that callers put on the boxes.
type Profile string

const (
	// ProfileUsual has targets with room and short streams.
	ProfileUsual Profile = "usual"
	// ProfileCrowded has targets with few places and long streams, and callers that wait
	// longer than a planned stop lasts, so that requests wait for places when boxes stop.
	ProfileCrowded Profile = "crowded"
)

// String returns the name.
func (p *Profile) String() string { return string(*p) }

// Set takes the name of a profile.
func (p *Profile) Set(name string) error {
	if _, ok := loads[Profile(name)]; !ok {
		return eris.Errorf("soak: there is no profile %q", name)
	}
	*p = Profile(name)
	return nil
}

// Type names the type in the program's help.
func (*Profile) Type() string { return "profile" }

// load is what a profile stands for.
type load struct {
	// timeLimit is how long callers wait.
	timeLimit time.Duration
	objective time.Duration
	// slots is how many requests an engine takes, and pause the time between two events
	// of its streams.
	slots int
	pause time.Duration
	// giantEvery is how seldom a prompt is over an engine's memory.
	oversizedEvery int
	// stops is how many boxes are told to stop in series, as a divisor; 0 for none.
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
