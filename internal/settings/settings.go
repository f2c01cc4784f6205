// Package settings reads the TOML file with which a program is started and
// checks it.
package settings

import (
	"bytes"
	"fmt"
	"math/bits"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Settings is the content of the file. All programs share one format; a program
// ignores the sections that it has no use for.
type Settings struct {
	Box      Box      `toml:"box"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Limits   Limits   `toml:"limits"`
	Capacity Capacity `toml:"capacity"`
	Admin    Admin    `toml:"admin"`
	Keys     Keys     `toml:"keys"`
	Retries  Retries  `toml:"retries"`
	Log      Log      `toml:"log"`

	file string // file is where the settings were read.
}

// Box says which box this is.
type Box struct {
	ID   string `toml:"id"`
	Hall string `toml:"hall"`
	// Cores is the processor time that the box may use, in cores, and LinkMbit the
	// width of its link in Mbit/s; zero is not known. The boxes with most of both
	// do for their hall what one of them has to do.
	Cores    float64 `toml:"cores"`
	LinkMbit float64 `toml:"link_mbit"`
}

// Strength compares boxes by what they can carry for others: one more is twice the
// processor or twice the link.
func (b Box) Strength() uint32 {
	const milli = 1000
	return uint32(1 + bits.Len(uint(b.Cores*milli)) + bits.Len(uint(b.LinkMbit)))
}

// Listen holds the addresses of the listeners, IP and port each.
type Listen struct {
	Callers string `toml:"callers"`
	Admin   string `toml:"admin"`
	Peers   string `toml:"peers"`
	// Ready is asked by the platform's balancer whether the box takes callers.
	Ready string `toml:"ready"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the root of the platform's store.
	URL string `toml:"url"`
	// Timeout bounds one call, besides the time that the store is asked to wait;
	// the default is 1 second.
	Timeout Duration `toml:"timeout"`
	// Within is how soon a change that the store has taken must be in force on all
	// boxes; the default is 2 seconds.
	MaxDelay Duration `toml:"within"`
}

// Peers says how boxes prove themselves to each other.
type Peers struct {
	// Secret is shared by all boxes; it signs what they send. It may be empty
	// only while the peer listener is on loopback.
	Secret string `toml:"secret"`
	// Certificate, Key and Authority are PEM files for TLS between boxes.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	// Trusted says that the network between the boxes admits nobody else, so
	// that they need not prove themselves.
	Trusted bool `toml:"trusted"`
	// Seeds are addresses of some boxes to begin with; they may be stale.
	Seeds []string `toml:"seeds"`
}

// Keys says how keys of client accounts are checked.
type Keys struct {
	// Freshness is how long after a key was taken away it may still be served;
	// zero is no bound.
	Freshness Duration `toml:"freshness"`
}

// Retries bounds how often requests are sent to a second target, over all boxes.
type Retries struct {
	// Ratio is the retries for each request to a service within Window; Extra
	// are allowed besides.
	Ratio  float64  `toml:"ratio"`
	Extra  float64  `toml:"extra"`
	Window Duration `toml:"window"`
}

// Limits bounds requests.
type Limits struct {
	// Body bounds a request's body in bytes; the default is 16 MiB.
	MaxBody int64 `toml:"body"`
	// MinTime and MaxTime bound the time limit of a request.
	MinTime Duration `toml:"min_time"`
	MaxTime Duration `toml:"max_time"`
	// Stall is how long a target may send nothing; the default is 20 seconds.
	StallTimeout Duration `toml:"stall"`
	// Grace is how long a planned stop waits for running requests; the default
	// is one hour, the longest a request may take.
	Grace Duration `toml:"grace"`
	// Rest bounds for how long a target may ask to get nothing; the default is a minute.
	MaxRest Duration `toml:"rest"`
	// Notice is how long the balancer is given after readiness goes off; the
	// default is 5 seconds.
	Notice Duration `toml:"notice"`
}

// Capacity tunes the dispensers.
type Capacity struct {
	// Interval is the time between a box's reports; the default is 1 second.
	Interval Duration `toml:"interval"`
	// LongPart is the part of the engines that may read long prompts at once.
	LongShare float64 `toml:"long_part"`
	// ShortMemory is the part of an engine's memory that long prompts leave free.
	ShortMemoryShare float64 `toml:"short_memory"`
	// Window bounds how far ahead short prompts are sent to an engine.
	Window Duration `toml:"window"`
}

// Admin says who may use the administration API.
type Admin struct {
	Operators []Operator `toml:"operator"`
}

// Operator is one person or program that may use the administration API.
type Operator struct {
	Name string `toml:"name"`
	// SHA256 is the hexadecimal hash of the operator's token.
	SHA256 string `toml:"sha256"`
	// Role is "viewer", "team" or "admin".
	Role string `toml:"role"`
	// Team names the accounts' team that a "team" operator may change.
	Team string `toml:"team"`
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error; the default is info.
	Level string `toml:"level"`
}

// Duration is a time.Duration written as text, such as "2s".
type Duration time.Duration

// UnmarshalText reads a duration such as "2s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Or returns the duration, or other if it is zero.
func (d Duration) Or(other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return time.Duration(d)
}

// Read reads and checks the file.
func Read(name string) (s Settings, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "settings: %s", name)
		}
	}()
	text, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, err
	}
	s, err = Parse(text)
	s.file = name
	return s, err
}

// Parse reads and checks the text of a file. The error lists all that is wrong,
// a line each: place, key, value and what is allowed.
func Parse(text []byte) (s Settings, err error) {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err = d.Decode(&s); err != nil {
		return Settings{}, eris.New(describeDecodeError(err))
	}
	if problems := s.check(); len(problems) > 0 {
		return Settings{}, eris.New(strings.Join(problems, "\n"))
	}
	return s, nil
}

// place words an error of the decoder with its line and key.
func describeDecodeError(err error) string {
	var strict *toml.StrictMissingError
	if eris.As(err, &strict) {
		lines := make([]string, len(strict.Errors))
		for i, e := range strict.Errors {
			row, _ := e.Position()
			lines[i] = fmt.Sprintf("line %d: %s: there is no such key", row, strings.Join(e.Key(), "."))
		}
		return strings.Join(lines, "\n")
	}
	var bad *toml.DecodeError
	if eris.As(err, &bad) {
		row, column := bad.Position()
		return fmt.Sprintf("line %d, column %d: %s: %s", row, column, strings.Join(bad.Key(), "."), bad.Error())
	}
	return err.Error()
}
