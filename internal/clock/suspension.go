package clock

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspension measures for how long the machine was suspended by comparing the operating system's
// clocks.
type suspension struct {
	start time.Time
	// readClocks returns the time since the start by the monotonic clock, which stops during
	// suspensions, and by the time of day, both at one moment. boot returns the same by the clock
	// that includes suspensions.
	readClocks func() (steady, day time.Duration)
	boot       func() time.Duration

	// offset is the lead of the time of day over the monotonic clock at the last measurement, and
	// total the time for which the machine was suspended, both in nanoseconds. total only rises.
	offset atomic.Int64
	total  atomic.Int64
}

// offsetTolerance is the change of offset that triggers a measurement. The time of day comes at no
// extra cost, while reading the third clock takes a system call each time.
const offsetTolerance = time.Millisecond

// processClock measures for this process.
var processClock = newSuspension()

// startReadings is how often the clocks are read at the start: the reading in which the least time
// passed between them is the most exact.
const startReadings = 8

func newSuspension() *suspension {
	start, first := readStart()
	return &suspension{
		start: start.Round(0),
		readClocks: func() (steady, day time.Duration) {
			now := time.Now()
			return now.Sub(start), now.Round(0).Sub(start.Round(0))
		},
		boot: func() time.Duration { return bootTime() - first },
	}
}

// readStart returns the time and the boot clock at one moment. The time is never the earlier one, so
// that a suspension is not measured too short by what passed between the two.
func readStart() (start time.Time, boot time.Duration) {
	least := time.Duration(math.MaxInt64)
	for range startReadings {
		before := time.Now()
		b := bootTime()
		after := time.Now()
		if gap := after.Sub(before); gap < least {
			least, start, boot = gap, after, b
		}
	}
	return start, boot
}

// bootTime returns the time since the machine was booted, suspensions included, or zero on a system
// that does not provide it.
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

// measure updates total from the boot clock and returns it.
func (s *suspension) measure() time.Duration {
	boot := s.boot()
	steady, _ := s.readClocks()
	// The process may have been delayed between the two reads. The difference then is at most the
	// time of suspension, and a later measurement finds more.
	found := int64(boot - steady)
	for {
		known := s.total.Load()
		if found <= known || s.total.CompareAndSwap(known, found) {
			return time.Duration(max(found, known))
		}
	}
}
