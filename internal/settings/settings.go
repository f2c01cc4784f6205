// Package settings reads and validates the TOML file that a program is started with.
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

// Settings is the content of the settings file. All programs share one format; a program
// ignores sections that it does not use.
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

	file string // file is the name of the file.
}

// Box identifies this box.
type Box struct {
	ID   string `toml:"id"`
	Hall string `toml:"hall"`
	// Cores is the processor time that the box may use, in cores, and LinkMbit the bandwidth of
	// its link in Mbit/s; zero means unknown. The boxes with most of both take on the duties
	// that one box performs for its hall.
	Cores    float64 `toml:"cores"`
	LinkMbit float64 `toml:"link_mbit"`
}

// Strength compares boxes by their capacity to serve others: it is one higher for twice the
// processor time or twice the bandwidth.
func (b Box) Strength() uint32 {
	const milli = 1000
	return uint32(1 + bits.Len(uint(b.Cores*milli)) + bits.Len(uint(b.LinkMbit)))
}

// Listen holds the addresses of the listeners, each an IP and port.
type Listen struct {
	Callers string `toml:"callers"`
	Admin   string `toml:"admin"`
	Peers   string `toml:"peers"`
	// Ready is where the platform's load balancer probes whether the box accepts callers.
	Ready string `toml:"ready"`
}

// Platform holds the location of the platform's services.
type Platform struct {
	// URL is the root of the platform's store.
	URL string `toml:"url"`
	// Timeout bounds one call, in addition to the time that the store is asked to wait; the
	// default is 1 second.
	Timeout Duration `toml:"timeout"`
	// MaxDelay is how soon a change that the store has accepted must be in force on all boxes;
	// the default is 2 seconds.
	MaxDelay Duration `toml:"within"`
	// MaxLeaveDelay is how soon after the store has accepted that a target leaves no request may
	// reach it any more; the default is MaxDelay.
	MaxLeaveDelay Duration `toml:"leave_within"`
}

// Peers configures how boxes authenticate to each other.
type Peers struct {
	// Secret is shared by all boxes and signs their messages. It may be empty only if the peer
	// listener is on loopback.
	Secret string `toml:"secret"`
	// Certificate, Key and Authority are PEM files for TLS between boxes.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	// Trusted says that nobody else has access to the network between the boxes, so that they
	// need not authenticate.
	Trusted bool `toml:"trusted"`
	// Seeds are addresses of some boxes to contact first. They may be out of date.
	Seeds []string `toml:"seeds"`
}

// Keys configures how the keys of client accounts are checked.
type Keys struct {
	// Freshness is how long a key may still be accepted after its revocation; zero means no
	// bound.
	Freshness Duration `toml:"freshness"`
}

// Retries bounds how often requests are retried at another target, over all boxes.
type Retries struct {
	// Ratio is the number of retries allowed per request to a service within Window; Extra is a
	// number of retries allowed in addition.
	Ratio  float64  `toml:"ratio"`
	Extra  float64  `toml:"extra"`
	Window Duration `toml:"window"`
}

// Limits bounds requests.
type Limits struct {
	// MaxBody bounds the body of a request in bytes; the default is 16 MiB.
	MaxBody int64 `toml:"body"`
	// MinTime and MaxTime bound the time limit of a request.
	MinTime Duration `toml:"min_time"`
	MaxTime Duration `toml:"max_time"`
	// StallTimeout is how long a target may send nothing; the default is 20 seconds.
	StallTimeout Duration `toml:"stall"`
	// Grace is how long a planned stop waits for running requests; the default is one hour, the
	// longest a request may take.
	Grace Duration `toml:"grace"`
	// MaxRest bounds for how long a target may ask to get no requests; the default is one
	// minute.
	MaxRest Duration `toml:"rest"`
	// Notice is the time between the failure of the readiness probe and the stop, in which the
	// load balancer reacts; the default is 5 seconds.
	Notice Duration `toml:"notice"`
	// MemoryMB is the memory that the process may use, in megabytes; the default is 256.
	MemoryMB int `toml:"memory_mb"`
	// Descriptors is how many descriptors the process may have open; the default is the limit of the
	// operating system.
	Descriptors int `toml:"descriptors"`
}

// Memory returns the memory that the process may use in bytes, zero if it is not stated.
func (l Limits) Memory() int64 { return int64(l.MemoryMB) * bytesPerMB }

const bytesPerMB = 1_000_000

// Capacity tunes the dispensers, which share out the capacity of engines.
type Capacity struct {
	// Interval is the time between a box's reports; the default is 1 second.
	Interval Duration `toml:"interval"`
	// LongShare is the share of engines that may process long prompts at the same time.
	LongShare float64 `toml:"long_part"`
	// ShortMemoryShare is the share of an engine's memory that long prompts leave free.
	ShortMemoryShare float64 `toml:"short_memory"`
	// Window bounds how far ahead of time short prompts are sent to an engine.
	Window Duration `toml:"window"`
}

// Admin lists who may use the administration API.
type Admin struct {
	Operators []Operator `toml:"operator"`
}

// Operator is a person or program that may use the administration API.
type Operator struct {
	Name string `toml:"name"`
	// SHA256 is the hexadecimal hash of the operator's token.
	SHA256 string `toml:"sha256"`
	// Role is "viewer", "team" or "admin".
	Role string `toml:"role"`
	// Team is the team whose accounts a "team" operator may change.
	Team string `toml:"team"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error; the default is info.
	Level string `toml:"level"`
}

// Duration is a time.Duration in text form, such as "2s".
type Duration time.Duration

// UnmarshalText parses a duration such as "2s".
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

// Read reads and validates the file and the environment variables that override it.
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
	if s, err = Parse(text); err != nil {
		return Settings{}, err
	}
	s.file = name
	return s, s.Limits.readEnvironment()
}

// Parse parses and validates the text of a file. The error has one line for each problem:
// position or key, value, and what is allowed.
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

// describeDecodeError returns the message of a decoder's error with its line and key.
func describeDecodeError(err error) string {
	var strict *toml.StrictMissingError
	if eris.As(err, &strict) {
		lines := make([]string, len(strict.Errors))
		for i, e := range strict.Errors {
			row, _ := e.Position()
			lines[i] = fmt.Sprintf("line %d: %s: unknown key", row, strings.Join(e.Key(), "."))
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
