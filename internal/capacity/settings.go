package capacity

import "time"

// Settings configures a dispenser. A zero field takes its default; the table in docs/PLACEMENT.md
// gives the reasons for the defaults.
type Settings struct {
	// Window bounds the short prompts that wait for prefill in an engine, as prefill time; the
	// default is 600 ms.
	Window time.Duration
	// LongPrefills is how many long prompts an engine prefills at a time; the default is 1.
	LongPrefills int
	// LongShare is the share of the engines that may prefill long prompts at the same time, from 0 to
	// 1; the default is 1. The share in force grows with Weighing.
	LongShare float64
	// ShortMemoryShare is the share of an engine's memory that long prompts leave free; the default
	// is 0.1.
	ShortMemoryShare float64
	// LargeShare is the share of an engine's memory beyond which engines are reserved for a prompt;
	// the default is 0.4.
	LargeShare float64
	// ReservedShare bounds the share of the engines that are reserved at the same time, unless a
	// single prompt needs more; the default is 0.4.
	ReservedShare float64
	// Weighing is the balance between short prompts (0) and long ones (1).
	Weighing float64
	// Interval is the time between a box's reports; the default is 1 second.
	Interval time.Duration
	// QueueLimit bounds the queued requests of each lane; the default is 20,000.
	QueueLimit int
	// MinPrefillCredit is the prefill credit, in tokens, that every box gets at every usable target
	// of a pool without contention; the default is 4,096.
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

// creditIntervals is how many report intervals credits last.
const creditIntervals = 4

func (s Settings) creditLifetime() time.Duration { return creditIntervals * s.Interval }

// poolsPerInterval is how many pools a box reports in one interval. A box with more pools reports less
// often, which bounds the bytes per second.
const poolsPerInterval = 10

// reportInterval returns the time between the reports of a box that uses the given number of pools.
func (s Settings) reportInterval(pools int) time.Duration {
	return s.Interval * time.Duration(max(1, (pools+poolsPerInterval-1)/poolsPerInterval))
}
