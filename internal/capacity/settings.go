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
	LongReads int
	// LongPart is the part of the engines that may read long prompts at the same
	// time, from 0 to 1; the default is 1. It grows with Weighing.
	LongPart float64
	// ShortMemory is the part of an engine's memory that long prompts leave
	// free; the default is 0.1.
	ShortMemory float64
	// GiantPart is the part of an engine's memory beyond which a prompt has
	// engines set aside for it; the default is 0.4.
	GiantPart float64
	// AsidePart bounds the part of the engines that are set aside at the same
	// time, unless a single prompt needs more; the default is 0.4.
	AsidePart float64
	// Weighing moves the balance from short prompts (0) to long ones (1).
	Weighing float64
	// Interval is the time between a box's reports; the default is 1 second.
	Interval time.Duration
	// QueueLimit bounds the waiting requests; the default is 20,000.
	QueueLimit int
	// Least is the reading credit, in tokens, that every box gets at every
	// usable target of a pool that is not contended; the default is 4,096.
	Least int
}

func (s Settings) withDefaults() Settings {
	if s.Window == 0 {
		s.Window = 600 * time.Millisecond
	}
	if s.LongReads == 0 {
		s.LongReads = 1
	}
	if s.LongPart == 0 {
		s.LongPart = 1
	}
	if s.ShortMemory == 0 {
		s.ShortMemory = 0.1
	}
	if s.GiantPart == 0 {
		s.GiantPart = 0.4
	}
	if s.AsidePart == 0 {
		s.AsidePart = 0.4
	}
	if s.Interval == 0 {
		s.Interval = time.Second
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = 20_000
	}
	if s.Least == 0 {
		s.Least = 4_096
	}
	return s
}

// creditLife is how many report intervals credits last.
const creditLife = 4

func (s Settings) life() time.Duration { return creditLife * s.Interval }

// poolsPerInterval is how many pools a box reports in one interval. With more,
// it reports less often, so that the bytes per second stay bounded.
const poolsPerInterval = 10

// every returns the time between reports of a box that uses as many pools.
func (s Settings) every(pools int) time.Duration {
	return s.Interval * time.Duration(max(1, (pools+poolsPerInterval-1)/poolsPerInterval))
}
