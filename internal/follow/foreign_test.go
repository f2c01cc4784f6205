package follow_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/follow"
	"github.com/barleystep/barleystep/platform"
)

// own is what a target writes.
const own = `{"service":"lm","address":"10.0.0.1:80","zone":"z","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"call_seq":4}`

// foreign are values that no target writes.
var foreign = map[string]string{
	"nothing":                  ``,
	"no JSON":                  "\x00\xff{",
	"a part":                   own[:40],
	"something behind":         own + "x",
	"no UTF-8":                 strings.Replace(own, `"z"`, "\"z\xff\"", 1),
	"null":                     `null`,
	"a list":                   `[]`,
	"a text":                   `"ready"`,
	"no fields":                `{}`,
	"no service":               strings.Replace(own, `"service":"lm",`, ``, 1),
	"no address":               strings.Replace(own, `"address":"10.0.0.1:80",`, ``, 1),
	"no zone":                  strings.Replace(own, `"zone":"z",`, ``, 1),
	"no slots":                 strings.Replace(own, `"slots":16,`, ``, 1),
	"no state":                 strings.Replace(own, `"state":"ready",`, ``, 1),
	"no version":               strings.Replace(own, `"version":"v1",`, ``, 1),
	"no cold_left_ms":          strings.Replace(own, `"cold_left_ms":0,`, ``, 1),
	"no call_seq":              strings.Replace(own, `,"call_seq":4`, ``, 1),
	"empty service":            strings.Replace(own, `"lm"`, `""`, 1),
	"empty zone":               strings.Replace(own, `"z"`, `""`, 1),
	"unknown state":            strings.Replace(own, `"ready"`, `"resting"`, 1),
	"state in capitals":        strings.Replace(own, `"ready"`, `"READY"`, 1),
	"field in capitals":        strings.Replace(own, `"state"`, `"State"`, 1),
	"service is a number":      strings.Replace(own, `"lm"`, `3`, 1),
	"zone is a list":           strings.Replace(own, `"z"`, `["z"]`, 1),
	"zone is null":             strings.Replace(own, `"z"`, `null`, 1),
	"slots is a text":          strings.Replace(own, `16`, `"16"`, 1),
	"slots is no whole number": strings.Replace(own, `16`, `1.5`, 1),
	"slots is null":            strings.Replace(own, `16`, `null`, 1),
	"slots is 0":               strings.Replace(own, `16`, `0`, 1),
	"slots is below 0":         strings.Replace(own, `16`, `-16`, 1),
	"slots is huge":            strings.Replace(own, `16`, `160000000000000000000`, 1),
	"state is true":            strings.Replace(own, `"ready"`, `true`, 1),
	"address is a name":        strings.Replace(own, `10.0.0.1:80`, `lm.example:80`, 1),
	"address without port":     strings.Replace(own, `10.0.0.1:80`, `10.0.0.1`, 1),
	"address with port 0":      strings.Replace(own, `10.0.0.1:80`, `10.0.0.1:0`, 1),
	"address of nobody":        strings.Replace(own, `10.0.0.1:80`, `0.0.0.0:80`, 1),
	"address is an object":     strings.Replace(own, `"10.0.0.1:80"`, `{"ip":"10.0.0.1"}`, 1),
	"version is a number":      strings.Replace(own, `"v1"`, `1`, 1),
	"cold_left_ms is a text":   strings.Replace(own, `"cold_left_ms":0`, `"cold_left_ms":"0"`, 1),
	"call_seq is a text":       strings.Replace(own, `"call_seq":4`, `"call_seq":"4"`, 1),
	"stage is a number":        strings.Replace(own, `{`, `{"stage":1,`, 1),
	"models is a text":         strings.Replace(own, `{`, `{"models":"m",`, 1),
	"born is a text":           strings.Replace(own, `{`, `{"born":"1791239589394",`, 1),
	"born is no whole number":  strings.Replace(own, `{`, `{"born":1791239589394.5,`, 1),
	"born is null":             strings.Replace(own, `{`, `{"born":null,`, 1),
}

// ids returns the ids of the targets in use, sorted.
func ids(t *follow.Targets) []string {
	var list []string
	for _, target := range t.List() {
		list = append(list, string(target.ID))
	}
	slices.Sort(list)
	return list
}

// TestForeignEntry checks that an entry that another writer left names no target,
// whichever way it comes, that the other targets hold, and that the target is back with
// its own entry.
func TestForeignEntry(t *testing.T) {
	good := func(id string) barleystep.Record { return barleystep.NewRecord(id, []byte(own)) }
	for name, value := range foreign {
		bad := barleystep.NewRecord("a", []byte(value))
		ways := map[string]func(*follow.Targets){
			"by a change":       func(s *follow.Targets) { s.Apply(bad) },
			"by a full reading": func(s *follow.Targets) { s.Reset([]barleystep.Record{bad, good("b")}) },
			"while the store is away": func(s *follow.Targets) {
				s.Unavailable(s.Clock.Now())
				s.Apply(bad)
			},
			"after its record had lapsed": func(s *follow.Targets) {
				s.Unavailable(s.Clock.Now())
				s.Apply(barleystep.NewRemoval("a"))
				s.Apply(bad)
			},
		}
		for way, come := range ways {
			t.Run(name+" "+way, func(t *testing.T) {
				c := quicktest.New(t)
				s := &follow.Targets{Clock: clock.NewManual(time.Unix(1000, 0)), Decode: platform.DecodeTarget, Log: quiet}
				s.Reset([]barleystep.Record{good("a"), good("b")})
				c.Assert(ids(s), quicktest.DeepEquals, []string{"a", "b"})
				come(s)
				c.Check(ids(s), quicktest.DeepEquals, []string{"b"})
				s.Apply(good("a"))
				c.Check(ids(s), quicktest.DeepEquals, []string{"a", "b"})
			})
		}
	}
}
