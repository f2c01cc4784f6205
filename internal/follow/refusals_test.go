package follow_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/follow"
	"github.com/barleystep/barleystep/internal/strict"
	"github.com/barleystep/barleystep/platform"
)

// noSlots and noState are two invalid values.
var (
	noSlots = strings.Replace(validValue, `"slots":16,`, ``, 1)
	noState = strings.Replace(validValue, `"ready"`, `"up"`, 1)
)

// refusedLine and announcedLine are the log lines whose number is limited.
const (
	refusedLine   = "A record is not a valid target."
	announcedLine = "A target is announced."
)

// TestRefusalLines checks that each change logs one line and no writer can fill the log, while
// each refusal is counted.
func TestRefusalLines(t *testing.T) {
	const writes = 100
	alternate := func(values ...string) func(i int) (key, value string) {
		return func(i int) (key, value string) { return "a", values[i%len(values)] }
	}
	cases := map[string]struct {
		write               func(i int) (key, value string)
		refused, announced  int
		countMissing, count int64
		unlogged            string
	}{
		"same value repeated":       {alternate(noSlots), 1, 0, writes, writes, `"unlogged":0`},
		"two reasons":               {alternate(noSlots, noState), 20, 0, writes / 2, writes, `"unlogged":80`},
		"valid and invalid in turn": {alternate(noSlots, validValue), 20, 20, writes / 2, writes / 2, `"unlogged":30`},
		"many targets":              {func(i int) (key, value string) { return fmt.Sprint(i), noSlots }, 20, 0, writes, writes, `"unlogged":80`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var out bytes.Buffer
			manual := clock.NewManual(time.Unix(1000, 0))
			s := &follow.Targets{Clock: manual, Decode: platform.DecodeTarget, Log: &log.Logger{Writer: log.IOWriter{Writer: &out}}}
			s.Reset(nil)
			for i := range writes {
				key, value := tc.write(i)
				s.Apply(barleystep.NewRecord(key, []byte(value)))
			}
			c.Check(strings.Count(out.String(), refusedLine), quicktest.Equals, tc.refused)
			c.Check(strings.Count(out.String(), announcedLine), quicktest.Equals, tc.announced)
			c.Check(refusedFor(s.RefusalCounts(), strict.ReasonMissing), quicktest.Equals, tc.countMissing)
			c.Check(sum(s.RefusalCounts()), quicktest.Equals, tc.count)

			out.Reset()
			manual.Advance(10 * time.Second)
			s.Apply(barleystep.NewRecord("later", []byte(noState)))
			c.Check(out.String(), quicktest.Contains, tc.unlogged)
			c.Check(out.String(), quicktest.Contains, `"reason":"unnamed"`)
		})
	}
}

func refusedFor(list []follow.RefusalCount, f strict.Reason) int64 {
	for _, r := range list {
		if r.Flaw == f {
			return r.Count
		}
	}
	return 0
}

func sum(list []follow.RefusalCount) (n int64) {
	for _, r := range list {
		n += r.Count
	}
	return n
}

// TestInvalidRecords checks that invalid records no longer count once they are removed or
// corrected.
func TestInvalidRecords(t *testing.T) {
	bad := barleystep.NewRecord("a", []byte(noSlots))
	cases := map[string]struct {
		then func(*follow.Targets)
		want int
	}{
		"stays":                  {func(*follow.Targets) {}, 1},
		"stays in a full read":   {func(s *follow.Targets) { s.Reset([]barleystep.Record{bad}) }, 1},
		"goes":                   {func(s *follow.Targets) { s.Apply(barleystep.NewRemoval("a")) }, 0},
		"removed by a full read": {func(s *follow.Targets) { s.Reset(nil) }, 0},
		"is corrected":           {func(s *follow.Targets) { s.Apply(barleystep.NewRecord("a", []byte(validValue))) }, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &follow.Targets{Clock: clock.NewManual(time.Unix(1000, 0)), Decode: platform.DecodeTarget, Log: quiet}
			s.Apply(bad)
			tc.then(s)
			quicktest.Check(t, s.InvalidRecords(), quicktest.Equals, tc.want)
		})
	}
}

// TestServiceChanges checks that a record that changes to another service removes the target
// from the former one.
func TestServiceChanges(t *testing.T) {
	s := &follow.Targets{Clock: clock.NewManual(time.Unix(1000, 0)), Decode: platform.DecodeTarget, Log: quiet}
	s.Apply(barleystep.NewRecord("a", []byte(validValue)))
	s.Apply(barleystep.NewRecord("a", []byte(strings.Replace(validValue, `"lm"`, `"nobody's"`, 1))))
	for _, target := range s.List() {
		quicktest.Check(t, target.Service, quicktest.Equals, "nobody's")
	}
}

// TestConfigurationRefusalLines checks the limit of log lines and the counts for the
// configuration, including its removal.
func TestConfigurationRefusalLines(t *testing.T) {
	const writes = 100
	record := func(value string) barleystep.Record { return barleystep.NewRecord("config", []byte(value)) }
	cases := map[string]struct {
		write func(i int) barleystep.Record
		lines int
		count int64
	}{
		"same value repeated": {func(int) barleystep.Record { return record("{") }, 1, writes},
		"two reasons":         {func(i int) barleystep.Record { return record([]string{"{", "[]"}[i%2]) }, 20, writes},
		"removed":             {func(int) barleystep.Record { return barleystep.NewRemoval("config") }, 1, writes},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var out bytes.Buffer
			conf := &follow.Configuration{
				Clock: clock.NewManual(time.Unix(1000, 0)), Decode: platform.DecodeConfiguration,
				Log: &log.Logger{Writer: log.IOWriter{Writer: &out}},
			}
			for i := range writes {
				conf.Apply(tc.write(i))
			}
			c.Check(strings.Count(out.String(), "\n"), quicktest.Equals, tc.lines)
			c.Check(sum(conf.RefusalCounts()), quicktest.Equals, tc.count)
		})
	}
}
