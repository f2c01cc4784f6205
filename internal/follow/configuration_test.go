package follow_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/follow"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// decode decodes a configuration whose value is its version number.
func decode(value []byte) (c fleet.Configuration, err error) {
	if err = json.Unmarshal(value, &c.Version); err != nil {
		return c, eris.Wrap(err, "decode")
	}
	return c, nil
}

func newConfiguration() (*follow.Configuration, *clock.Manual) {
	manual := clock.NewManual(time.Unix(1000, 0))
	return &follow.Configuration{Clock: manual, Decode: decode, Log: quiet}, manual
}

func record(value string) barleystep.Record { return barleystep.NewRecord("config", []byte(value)) }

// TestNoRollback checks that no source brings back an older version, and that a version that
// cannot be decoded leaves the last valid one in force.
func TestNoRollback(t *testing.T) {
	cases := map[string]struct {
		values []string
		want   int64
	}{
		"rises":            {[]string{"1", "5"}, 5},
		"older afterwards": {[]string{"5", "3"}, 5},
		"unreadable":       {[]string{"5", "zzz"}, 5},
		"none":             {nil, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			conf, _ := newConfiguration()
			for _, v := range tc.values {
				conf.Apply(record(v))
			}
			c.Check(conf.Version(), quicktest.Equals, tc.want)
		})
	}
}

// TestAge checks that the age counts from the request of the newest confirmation.
func TestAge(t *testing.T) {
	c := quicktest.New(t)
	conf, manual := newConfiguration()
	conf.Confirmed(manual.Now(), 1)
	c.Check(conf.Age() < 0, quicktest.IsTrue, quicktest.Commentf("no configuration has been read yet"))

	conf.Apply(record("1"))
	requestedAt := manual.Now()
	manual.Advance(time.Second)
	conf.Confirmed(requestedAt, 1)
	c.Check(conf.Age(), quicktest.Equals, time.Second, quicktest.Commentf("the age counts from the request"))

	manual.Advance(time.Second)
	conf.Confirmed(manual.Now().Add(-3*time.Second), 1)
	c.Check(conf.Age(), quicktest.Equals, 2*time.Second, quicktest.Commentf("an older confirmation changes nothing"))
	conf.Confirmed(manual.Now(), 1)
	c.Check(conf.Age(), quicktest.Equals, time.Duration(0))
}

// TestUnreadableConfirmsNothing checks that keys are not regarded as current while the newest
// version cannot be decoded.
func TestUnreadableConfirmsNothing(t *testing.T) {
	c := quicktest.New(t)
	conf, manual := newConfiguration()
	conf.Apply(record("1"))
	conf.Confirmed(manual.Now(), 1)
	conf.Apply(record("zzz"))
	manual.Advance(time.Second)
	conf.Confirmed(manual.Now(), 2)
	c.Check(conf.Age(), quicktest.Equals, time.Second)
	conf.Apply(record("3"))
	conf.Confirmed(manual.Now(), 3)
	c.Check(conf.Age(), quicktest.Equals, time.Duration(0))
}
