package capacity

import "time"

// Settings tunes a dispenser. The zero value takes the defaults, which the
// table in docs/PLACEMENT.md speaks for.
type Settings struct {
	// Window bounds how far ahead short prompts are sent to an engine, as
	// reading time; the default is 600 ms.
	Window time.Duration
	// LongReads is how many long prompts an engine reads at a time; the default
	// is 1.
	LongPrefills int
	// LongPart is the part of the engines that may read long prompts at the same
	// time, from 0 to 1; the default is 1. It grows with Weighing.
	LongShare float64
	// ShortMemory is the part of an engine's memory that long prompts leave
	// free; the default is 0.1.
	ShortMemoryShare float64
	// GiantPart is the part of an engine's memory beyond which a prompt has
	// engines set aside for it; the default is 0.4.
	LargeShare float64
	// AsidePart bounds the part of the engines that are set aside at the same
	// time, unless a single prompt needs more; the default is 0.4.
	ReservedShare float64
	// Weighing moves the balance from short prompts (0) to long ones (1).
	Weighing float64
	// Interval is the time between a box's reports; the default is 1 second.
	Interval time.Duration
	// QueueLimit bounds the waiting requests; the default is 20,000.
	QueueLimit int
	// Least is the reading credit, in tokens, that every box gets at every
	// usable target of a pool that is not contended; the default is 4,096.
	MinPrefillCredit int
}

func (s Settings) withDefaults() Settings {
	if s.Window == 0 {
		s.Window = 600 * time.Millisecond
	}
	if s.LongPrefills == 0 {
		s.LongPrefills = 1
	}
	if s.LongShare == 0 {
		s.LongShare = 1
	}
	if s.ShortMemoryShare == 0 {
		s.ShortMemoryShare = 0.1
	}
	if s.LargeShare == 0 {
		s.LargeShare = 0.4
	}
	if s.ReservedShare == 0 {
		s.ReservedShare = 0.4
	}
	if s.Interval == 0 {
		s.Interval = time.Second
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = 20_000
	}
	if s.MinPrefillCredit == 0 {
		s.MinPrefillCredit = 4_096
	}
	return s
}

// creditLife is how many report intervals credits last.
const creditIntervals = 4

func (s Settings) creditLifetime() time.Duration { return creditIntervals * s.Interval }

// poolsPerInterval is how many pools a box reports in one interval. With more,
// it reports less often, so that the bytes per second stay bounded.
const poolsPerInterval = 10

// every returns the time between reports of a box that uses as many pools.
func (s Settings) reportInterval(pools int) time.Duration {
	return s.Interval * time.Duration(max(1, (pools+poolsPerInterval-1)/poolsPerInterval))
}
