package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/settings"
)

const good = `
[box]
id = "b1"
hall = "h"
[listen]
callers = "127.0.0.1:8080"
peers = "10.0.0.1:7070"
[peers]
secret = "s"
`

func TestParse(t *testing.T) {
	cases := map[string]struct {
		text string
		err  string
	}{
		"good":                      {good, ""},
		"unknown key":               {good + "[colour]\nred = 1\n", `line 10: colour: unknown key`},
		"wrong type":                {"[box]\nid = 3\n", `(?s)line 2, column 6: box.id: .*`},
		"no box":                    {"", `(?s)box.id = "": must be a name\nbox.hall = "": must be a name`},
		"listen by name":            {good + "[limits]\nstall = \"-1s\"\n", `limits.stall = -1s: must be a duration above 0, such as 2s`},
		"address by name":           {"[box]\nid = \"b\"\nhall = \"h\"\n[listen]\nadmin = \"localhost:1\"\n", `listen.admin = localhost:1: must be an IP number and port.*`},
		"peers open to all":         {"[box]\nid = \"b\"\nhall = \"h\"\n[listen]\npeers = \"10.0.0.1:7070\"\n", `peers.secret = "": must be set, or peers.certificate or peers.trusted, when listen.peers is not on loopback`},
		"peers on loopback":         {"[box]\nid = \"b\"\nhall = \"h\"\n[listen]\npeers = \"127.0.0.1:7070\"\n", ""},
		"contradictory limits":      {good + "[limits]\nmin_time = \"2s\"\nmax_time = \"1s\"\n", `limits.min_time = 2s: must be at most limits.max_time`},
		"fraction above one":        {good + "[capacity]\nlong_part = 2.0\n", `capacity.long_part = 2: must be from 0 to 1`},
		"cores below zero":          {"[box]\nid = \"b\"\nhall = \"h\"\ncores = -1.0\n", `box.cores = -1: must be a number, 0 or above`},
		"operator without a digest": {good + "[[admin.operator]]\nname = \"o\"\nrole = \"king\"\n", `(?s)admin.operator.sha256 = : must be 64.*admin.operator.role = king: must be viewer, team or admin`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse([]byte(tc.text))
			if tc.err == "" {
				quicktest.Assert(t, err, quicktest.IsNil)
				return
			}
			quicktest.Assert(t, err, quicktest.ErrorMatches, tc.err)
		})
	}
}

// TestStrength checks that boxes are compared by powers of two, and that the strength is never
// zero, the value that a box reports after it was suspended.
func TestStrength(t *testing.T) {
	cases := map[string]struct {
		box  settings.Box
		want uint32
	}{
		"not known":       {settings.Box{}, 1},
		"narrow and slow": {settings.Box{Cores: 0.192, LinkMbit: 20}, 1 + 8 + 5},
		"a little faster": {settings.Box{Cores: 0.2, LinkMbit: 20}, 1 + 8 + 5},
		"wide and fast":   {settings.Box{Cores: 0.8, LinkMbit: 200}, 1 + 10 + 8},
		"a whole core":    {settings.Box{Cores: 1, LinkMbit: 1000}, 1 + 10 + 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, tc.box.Strength(), quicktest.Equals, tc.want)
		})
	}
}

// TestEnvironment checks that the environment overrides the limits of the file, which may be filled by
// somebody who does not know the machine.
func TestEnvironment(t *testing.T) {
	const file = "[box]\nid = \"b\"\nhall = \"h\"\n[limits]\nmemory_mb = 100\n"
	cases := map[string]struct {
		memory, descriptors string
		want                [2]int
		err                 string
	}{
		"none":        {"", "", [2]int{100, 0}, ""},
		"both":        {"284", "4100", [2]int{284, 4100}, ""},
		"no number":   {"284 MB", "", [2]int{}, `.*BARLEYSTEP_MEMORY_MB = "284 MB": must be a number above 0`},
		"not above 0": {"", "0", [2]int{}, `.*BARLEYSTEP_DESCRIPTORS = "0": must be a number above 0`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			t.Setenv(settings.MemoryVariable, tc.memory)
			t.Setenv(settings.DescriptorsVariable, tc.descriptors)
			name := filepath.Join(t.TempDir(), "settings.toml")
			c.Assert(os.WriteFile(name, []byte(file), 0o600), quicktest.IsNil)
			s, err := settings.Read(name)
			if tc.err != "" {
				c.Check(err, quicktest.ErrorMatches, tc.err)
				return
			}
			c.Check(err, quicktest.IsNil)
			c.Check([2]int{s.Limits.MemoryMB, s.Limits.Descriptors}, quicktest.Equals, tc.want)
		})
	}
}

// TestEveryKey guards against files of earlier releases that are refused: none of their keys may go.
func TestEveryKey(t *testing.T) {
	const file = `
[box]
id = "b"
hall = "h"
cores = 0.4
link_mbit = 1000.0
[listen]
callers = "127.0.0.1:1"
admin = "127.0.0.1:2"
peers = "127.0.0.1:3"
ready = "127.0.0.1:4"
[platform]
url = "http://127.0.0.1:5"
timeout = "1s"
within = "2000ms"
leave_within = "2000ms"
[peers]
secret = "s"
certificate = "c"
key = "k"
authority = "a"
trusted = true
seeds = ["127.0.0.1:3"]
[keys]
freshness = "5000ms"
[retries]
ratio = 0.2
extra = 106
window = "10s"
[limits]
body = 1
min_time = "1s"
max_time = "2s"
stall = "20s"
rest = "1m"
grace = "8s"
notice = "5s"
memory_mb = 284
descriptors = 4100
[capacity]
interval = "1s"
long_part = 1
short_memory = 0.1
window = "600ms"
[[admin.operator]]
name = "o"
sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
role = "team"
team = "t"
[log]
level = "info"
`
	_, err := settings.Parse([]byte(file))
	quicktest.Check(t, err, quicktest.IsNil)
}
