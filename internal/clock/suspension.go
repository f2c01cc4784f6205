package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspension counts for how long the machine was suspended, by what the operating system's
// clocks say.
type suspension struct {
	start time.Time
	// read returns how far the steady clock and the time of day have moved on since the start,
	// both as of one moment, and boot the same of the clock that counts suspensions too.
	readClocks func() (steady, day time.Duration)
	boot       func() time.Duration

	// lead is by how much the time of day was ahead when it was last looked, and total the time
	// for which the machine was suspended, both in nanoseconds. total only rises.
	offset atomic.Int64
	total  atomic.Int64
}

// leadChange is the change of the time of day against the steady clock upon which it is looked
// whether the machine was suspended. Asking for the time of day costs nothing besides, asking
// for the third clock a call to the system each time.
const offsetTolerance = time.Millisecond

// process counts for this process.
var processClock = newSuspension()

func newSuspension() *suspension {
	start := time.Now()
	first := bootTime()
	return &suspension{
		start: start.Round(0),
		readClocks: func() (steady, day time.Duration) {
			now := time.Now()
			return now.Sub(start), now.Round(0).Sub(start.Round(0))
		},
		boot: func() time.Duration { return bootTime() - first },
	}
}

// bootTime returns the time since the machine was started, suspensions included, or zero on a
// system that does not count it.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// now returns the time, suspensions included.
func (s *suspension) now() time.Time {
	steady, day := s.readClocks()
	offset := day - steady
	if change := offset - time.Duration(s.offset.Load()); change > offsetTolerance || change < -offsetTolerance {
		s.offset.Store(int64(offset))
		s.measure()
	}
	return s.start.Add(steady + time.Duration(s.total.Load()))
}

// look looks whether the machine was suspended, and returns the whole time for which it was.
func (s *suspension) measure() time.Duration {
	boot := s.boot()
	steady, _ := s.readClocks()
	// This process may have been held up between the two: the difference is no more than
	// the time of suspension, and another look finds more.
	found := int64(boot - steady)
	for {
		known := s.total.Load()
		if found <= known || s.total.CompareAndSwap(known, found) {
			return time.Duration(max(found, known))
		}
	}
}
