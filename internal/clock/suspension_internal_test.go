package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
)

// readings are the values of the operating system's clocks in a test.
type readings struct{ steady, day, boot time.Duration }

// counter returns a suspension that uses the readings.
func (r *readings) counter() *suspension {
	return &suspension{
		start:      time.Unix(1000, 0),
		readClocks: func() (steady, day time.Duration) { return r.steady, r.day },
		boot:       func() time.Duration { return r.boot },
	}
}

// TestSuspension checks how much time passes for readings of the three clocks.
func TestSuspension(t *testing.T) {
	const s = time.Second
	cases := map[string]struct {
		after readings
		want  time.Duration
	}{
		"nothing happens":                      {readings{10 * s, 10 * s, 10 * s}, 10 * s},
		"the machine is suspended":             {readings{10 * s, 15 * s, 15 * s}, 15 * s},
		"the time of day is set forward":       {readings{10 * s, 15 * s, 10 * s}, 10 * s},
		"the time of day is set back":          {readings{10 * s, 5 * s, 10 * s}, 10 * s},
		"suspended, and set forward":           {readings{10 * s, 22 * s, 15 * s}, 15 * s},
		"suspended, and set back":              {readings{10 * s, 12 * s, 15 * s}, 15 * s},
		"no boot clock":                        {readings{10 * s, 15 * s, 0}, 10 * s},
		"for longer than it has run":           {readings{1 * s, 3600 * s, 3600 * s}, 3600 * s},
		"the process is delayed between reads": {readings{10 * s, 15 * s, 9 * s}, 10 * s},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var r readings
			clk := r.counter()
			begin := clk.now()
			r = tc.after
			quicktest.Check(t, clk.now().Sub(begin), quicktest.Equals, tc.want)
			quicktest.Check(t, clk.now().Sub(begin), quicktest.Equals, tc.want)
		})
	}
}

// TestSuspensionsAccumulate checks that time never goes back, and that the watcher's measurement
// finds a suspension which a change of the time of day hides.
func TestSuspensionsAccumulate(t *testing.T) {
	c := quicktest.New(t)
	var r readings
	clk := r.counter()
	begin := clk.now()
	r = readings{1 * time.Second, 3 * time.Second, 3 * time.Second}
	c.Check(clk.now().Sub(begin), quicktest.Equals, 3*time.Second)
	r = readings{2 * time.Second, 8 * time.Second, 8 * time.Second}
	c.Check(clk.now().Sub(begin), quicktest.Equals, 8*time.Second)
	r = readings{3 * time.Second, 9 * time.Second, 19 * time.Second} // The time of day is set back by as much.
	c.Check(clk.now().Sub(begin), quicktest.Equals, 9*time.Second)
	c.Check(clk.measure(), quicktest.Equals, 16*time.Second)
	c.Check(clk.now().Sub(begin), quicktest.Equals, 19*time.Second)
}

// TestAlarms checks that a timer which came due while the machine was suspended fires on waking,
// that one which is not due does not, and that a stopped one stays stopped.
func TestAlarms(t *testing.T) {
	c := quicktest.New(t)
	simulate.Do(func() {
		boot := processClock.boot
		processClock.boot = func() time.Duration { return boot() + time.Duration(simulated.Load()) }
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&Watcher{Log: &log.Logger{Level: log.PanicLevel}}).Serve(ctx)
	}()
	defer func() { cancel(); <-done }()
	for !alarms.isWatched() {
		Sleep(ctx, System{}, time.Millisecond)
	}
	due, later, stopped := System{}.NewTimer(time.Hour), System{}.NewTimer(3*time.Hour), System{}.NewTimer(time.Hour)
	c.Check(stopped.Stop(), quicktest.IsTrue)
	begin := System{}.Now()
	suspend(2 * time.Hour)
	c.Check(System{}.Now().Sub(begin) >= 2*time.Hour, quicktest.IsTrue)
	<-due.C()
	c.Check(due.Stop(), quicktest.IsFalse)
	c.Check(later.Stop(), quicktest.IsTrue)
	c.Check(len(stopped.C()), quicktest.Equals, 0)
	short := System{}.NewTimer(minAlarm)
	<-short.C()
	c.Check(short.Stop(), quicktest.IsFalse)
}

// simulated is the total simulated time of suspension, in effect once simulate was done.
var (
	simulate  sync.Once
	simulated atomic.Int64
)

// suspend simulates a suspension of the machine.
func suspend(d time.Duration) {
	simulated.Add(int64(d))
	processClock.measure()
}
