package router

import "time"

// schedule holds the times of the steps of a planned stop, counted from its start.
type schedule struct {
	// refuseAt is when the box begins to refuse all new requests.
	refuseAt time.Duration
	// answerBy is when all running requests must be answered, closeAt when new callers are no
	// longer accepted to be refused, readBy when bodies that are not complete are not read any
	// further, and exitAt when the process exits even if answers are still in transit.
	answerBy, closeAt, readBy, exitAt time.Duration
}

const (
	// noticePeriod is how long a stopping box takes new requests: the platform removes it from
	// rotation after two failed readiness probes, one per second. Callers that come later use
	// connections from before the stop and reach another box when they retry.
	noticePeriod = 2500 * time.Millisecond
	// answerMargin, closeMargin, readMargin and exitMargin are how long before the end of the grace
	// period the other steps take place. A box with a tenth of a core writes some dozens of answers
	// between the first and the last of them.
	answerMargin = 700 * time.Millisecond
	closeMargin  = 500 * time.Millisecond
	readMargin   = 400 * time.Millisecond
	exitMargin   = 300 * time.Millisecond
	// minFullGrace is the shortest grace period that has room for all of these. In a shorter
	// one, all times are scaled down in proportion.
	minFullGrace = 8 * time.Second
)

// newSchedule returns the schedule of a stop with the given grace period.
func newSchedule(grace time.Duration) schedule {
	scale := func(d time.Duration) time.Duration {
		if grace >= minFullGrace {
			return d
		}
		return time.Duration(float64(d) * float64(grace) / float64(minFullGrace))
	}
	return schedule{
		refuseAt: scale(noticePeriod),
		answerBy: grace - scale(answerMargin),
		closeAt:  grace - scale(closeMargin),
		readBy:   grace - scale(readMargin),
		exitAt:   grace - scale(exitMargin),
	}
}
