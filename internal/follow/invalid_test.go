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
const validValue = `{"service":"lm","address":"10.0.0.1:80","zone":"z","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"call_seq":4}`

// foreign are values that no target writes.
var invalidValues = map[string]string{
	"nothing":                  ``,
	"no JSON":                  "\x00\xff{",
	"a part":                   validValue[:40],
	"something behind":         validValue + "x",
	"no UTF-8":                 strings.Replace(validValue, `"z"`, "\"z\xff\"", 1),
	"null":                     `null`,
	"a list":                   `[]`,
	"a text":                   `"ready"`,
	"no fields":                `{}`,
	"no service":               strings.Replace(validValue, `"service":"lm",`, ``, 1),
	"no address":               strings.Replace(validValue, `"address":"10.0.0.1:80",`, ``, 1),
	"no zone":                  strings.Replace(validValue, `"zone":"z",`, ``, 1),
	"no slots":                 strings.Replace(validValue, `"slots":16,`, ``, 1),
	"no state":                 strings.Replace(validValue, `"state":"ready",`, ``, 1),
	"no version":               strings.Replace(validValue, `"version":"v1",`, ``, 1),
	"no cold_left_ms":          strings.Replace(validValue, `"cold_left_ms":0,`, ``, 1),
	"no call_seq":              strings.Replace(validValue, `,"call_seq":4`, ``, 1),
	"empty service":            strings.Replace(validValue, `"lm"`, `""`, 1),
	"empty zone":               strings.Replace(validValue, `"z"`, `""`, 1),
	"unknown state":            strings.Replace(validValue, `"ready"`, `"resting"`, 1),
	"state in capitals":        strings.Replace(validValue, `"ready"`, `"READY"`, 1),
	"field in capitals":        strings.Replace(validValue, `"state"`, `"State"`, 1),
	"service is a number":      strings.Replace(validValue, `"lm"`, `3`, 1),
	"zone is a list":           strings.Replace(validValue, `"z"`, `["z"]`, 1),
	"zone is null":             strings.Replace(validValue, `"z"`, `null`, 1),
	"slots is a text":          strings.Replace(validValue, `16`, `"16"`, 1),
	"slots is no whole number": strings.Replace(validValue, `16`, `1.5`, 1),
	"slots is null":            strings.Replace(validValue, `16`, `null`, 1),
	"slots is 0":               strings.Replace(validValue, `16`, `0`, 1),
	"slots is below 0":         strings.Replace(validValue, `16`, `-16`, 1),
	"slots is huge":            strings.Replace(validValue, `16`, `160000000000000000000`, 1),
	"state is true":            strings.Replace(validValue, `"ready"`, `true`, 1),
	"address is a name":        strings.Replace(validValue, `10.0.0.1:80`, `lm.example:80`, 1),
	"address without port":     strings.Replace(validValue, `10.0.0.1:80`, `10.0.0.1`, 1),
	"address with port 0":      strings.Replace(validValue, `10.0.0.1:80`, `10.0.0.1:0`, 1),
	"address of nobody":        strings.Replace(validValue, `10.0.0.1:80`, `0.0.0.0:80`, 1),
	"address is an object":     strings.Replace(validValue, `"10.0.0.1:80"`, `{"ip":"10.0.0.1"}`, 1),
	"version is a number":      strings.Replace(validValue, `"v1"`, `1`, 1),
	"cold_left_ms is a text":   strings.Replace(validValue, `"cold_left_ms":0`, `"cold_left_ms":"0"`, 1),
	"call_seq is a text":       strings.Replace(validValue, `"call_seq":4`, `"call_seq":"4"`, 1),
	"stage is a number":        strings.Replace(validValue, `{`, `{"stage":1,`, 1),
	"models is a text":         strings.Replace(validValue, `{`, `{"models":"m",`, 1),
	"born is a text":           strings.Replace(validValue, `{`, `{"born":"1791239589394",`, 1),
	"born is no whole number":  strings.Replace(validValue, `{`, `{"born":1791239589394.5,`, 1),
	"born is null":             strings.Replace(validValue, `{`, `{"born":null,`, 1),
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
func TestInvalidRecord(t *testing.T) {
	good := func(id string) barleystep.Record { return barleystep.NewRecord(id, []byte(validValue)) }
	for name, value := range invalidValues {
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
		for way, deliver := range ways {
			t.Run(name+" "+way, func(t *testing.T) {
				c := quicktest.New(t)
				s := &follow.Targets{Clock: clock.NewManual(time.Unix(1000, 0)), Decode: platform.DecodeTarget, Log: quiet}
				s.Reset([]barleystep.Record{good("a"), good("b")})
				c.Assert(ids(s), quicktest.DeepEquals, []string{"a", "b"})
				deliver(s)
				c.Check(ids(s), quicktest.DeepEquals, []string{"b"})
				s.Apply(good("a"))
				c.Check(ids(s), quicktest.DeepEquals, []string{"a", "b"})
			})
		}
	}
}
