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

// validValue is the value of a valid target record.
const validValue = `{"service":"lm","address":"10.0.0.1:80","zone":"z","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"call_seq":4}`

// invalidValues are values that no target writes.
var invalidValues = map[string]string{
	"nothing":                  ``,
	"not JSON":                 "\x00\xff{",
	"truncated value":          validValue[:40],
	"trailing data":            validValue + "x",
	"invalid UTF-8":            strings.Replace(validValue, `"z"`, "\"z\xff\"", 1),
	"null":                     `null`,
	"a list":                   `[]`,
	"a string":                 `"ready"`,
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
	"slots is a string":        strings.Replace(validValue, `16`, `"16"`, 1),
	"slots is not an integer":  strings.Replace(validValue, `16`, `1.5`, 1),
	"slots is null":            strings.Replace(validValue, `16`, `null`, 1),
	"slots is 0":               strings.Replace(validValue, `16`, `0`, 1),
	"slots is negative":        strings.Replace(validValue, `16`, `-16`, 1),
	"slots is huge":            strings.Replace(validValue, `16`, `160000000000000000000`, 1),
	"state is true":            strings.Replace(validValue, `"ready"`, `true`, 1),
	"address is a name":        strings.Replace(validValue, `10.0.0.1:80`, `lm.example:80`, 1),
	"address without port":     strings.Replace(validValue, `10.0.0.1:80`, `10.0.0.1`, 1),
	"address with port 0":      strings.Replace(validValue, `10.0.0.1:80`, `10.0.0.1:0`, 1),
	"unspecified address":      strings.Replace(validValue, `10.0.0.1:80`, `0.0.0.0:80`, 1),
	"address is an object":     strings.Replace(validValue, `"10.0.0.1:80"`, `{"ip":"10.0.0.1"}`, 1),
	"version is a number":      strings.Replace(validValue, `"v1"`, `1`, 1),
	"cold_left_ms is a string": strings.Replace(validValue, `"cold_left_ms":0`, `"cold_left_ms":"0"`, 1),
	"call_seq is a string":     strings.Replace(validValue, `"call_seq":4`, `"call_seq":"4"`, 1),
	"stage is a number":        strings.Replace(validValue, `{`, `{"stage":1,`, 1),
	"models is a string":       strings.Replace(validValue, `{`, `{"models":"m",`, 1),
	"born is a string":         strings.Replace(validValue, `{`, `{"born":"1791239589394",`, 1),
	"born is not an integer":   strings.Replace(validValue, `{`, `{"born":1791239589394.5,`, 1),
	"born is null":             strings.Replace(validValue, `{`, `{"born":null,`, 1),
}

// ids returns the sorted ids of the targets in use.
func ids(t *follow.Targets) []string {
	var list []string
	for _, target := range t.List() {
		list = append(list, string(target.ID))
	}
	slices.Sort(list)
	return list
}

// TestInvalidRecord checks that an invalid record removes its target, whichever way it arrives,
// that the other targets stay, and that the target returns with its own record.
func TestInvalidRecord(t *testing.T) {
	good := func(id string) barleystep.Record { return barleystep.NewRecord(id, []byte(validValue)) }
	for name, value := range invalidValues {
		bad := barleystep.NewRecord("a", []byte(value))
		ways := map[string]func(*follow.Targets){
			"by a change":    func(s *follow.Targets) { s.Apply(bad) },
			"by a full read": func(s *follow.Targets) { s.Reset([]barleystep.Record{bad, good("b")}) },
			"while the store is unavailable": func(s *follow.Targets) {
				s.Unavailable(s.Clock.Now())
				s.Apply(bad)
			},
			"after its record expired": func(s *follow.Targets) {
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
