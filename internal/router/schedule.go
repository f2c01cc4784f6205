package router

import "time"

// schedule says when the steps of a planned stop come, counted from its start.
type schedule struct {
	// notice is until when the box serves as before, and refuse when it begins to refuse
	// what still comes, if there is anything to wait for.
	notice, refuseAt time.Duration
	// answer is when all requests are answered that are still being served, close when no
	// more callers are taken to be refused, and exit when the process ends by itself, with
	// all answers on their way or not.
	answerBy, closeAt, exitAt time.Duration
}

const (
	// noticeTime is how long a stopping box goes on serving as before: the
	// platform takes it out after two questions, one a second.
	noticePeriod = 2500 * time.Millisecond
	// refuseTime is when a stopping box begins to refuse what still comes: what
	// it took later might not be finished in time.
	refuseDelay = 3 * time.Second
	// answerMargin, closeMargin and exitMargin are how long before the end of the grace
	// the other steps come. A box that has a tenth of a core writes some dozens of answers
	// between the first and the last of them.
	answerMargin = 700 * time.Millisecond
	closeMargin  = 500 * time.Millisecond
	exitMargin   = 300 * time.Millisecond
	// fullGrace is the shortest grace that has room for all of these. In a shorter one,
	// the steps come at the same parts of it.
	minFullGrace = 8 * time.Second
)

// newSchedule returns the schedule of a stop that the platform gives so much time.
func newSchedule(grace time.Duration) schedule {
	scale := func(d time.Duration) time.Duration {
		if grace >= minFullGrace {
			return d
		}
		return time.Duration(float64(d) * float64(grace) / float64(minFullGrace))
	}
	return schedule{
		notice:   scale(noticePeriod),
		refuseAt: scale(refuseDelay),
		answerBy: grace - scale(answerMargin),
		closeAt:  grace - scale(closeMargin),
		exitAt:   grace - scale(exitMargin),
	}
}
