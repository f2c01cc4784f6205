package soak

import (
	_ "embed" // The list of regressions stands in a file of its own.
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/settings"
)

// Regression is a run that has failed once.
type Regression struct {
	Seed    uint64            `toml:"seed"`
	Length  settings.Duration `toml:"length"`
	Boxes   int               `toml:"boxes"`
	Targets int               `toml:"targets"`
	Callers int               `toml:"callers"`
	Profile Profile           `toml:"profile"`
	// CI is set for those that are run in CI.
	CI bool `toml:"ci"`
	// Cause tells in a line why it failed.
	Cause string `toml:"cause"`
}

// Setup returns the setup of the run.
func (r Regression) Setup() Setup {
	return Setup{Seed: r.Seed, Length: time.Duration(r.Length), Boxes: r.Boxes, Targets: r.Targets, Callers: r.Callers, Profile: r.Profile}
}

//go:embed regressions.toml
var regressionsText []byte

// Regressions returns all runs that have failed once.
func Regressions() (list []Regression, err error) {
	var file struct {
		Regressions []Regression `toml:"regression"`
	}
	err = toml.Unmarshal(regressionsText, &file)
	return file.Regressions, eris.Wrap(err, "soak: regressions")
}
