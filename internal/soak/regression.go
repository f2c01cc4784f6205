package soak

import (
	_ "embed" // Embeds regressions.toml.
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/settings"
)

// Regression is the setup of a run that once failed.
type Regression struct {
	Seed    uint64            `toml:"seed"`
	Length  settings.Duration `toml:"length"`
	Boxes   int               `toml:"boxes"`
	Targets int               `toml:"targets"`
	Callers int               `toml:"callers"`
	Profile Profile           `toml:"profile"`
	// CI is set if CI runs it.
	CI bool `toml:"ci"`
	// Cause is the cause of the failure in one line.
	Cause string `toml:"cause"`
}

// Setup returns the setup of the run.
func (r Regression) Setup() Setup {
	return Setup{Seed: r.Seed, Length: time.Duration(r.Length), Boxes: r.Boxes, Targets: r.Targets, Callers: r.Callers, Profile: r.Profile}
}

//go:embed regressions.toml
var regressionsText []byte

// Regressions returns all runs that once failed.
func Regressions() (list []Regression, err error) {
	var file struct {
		Regressions []Regression `toml:"regression"`
	}
	err = toml.Unmarshal(regressionsText, &file)
	return file.Regressions, eris.Wrap(err, "soak: decode regressions")
}
