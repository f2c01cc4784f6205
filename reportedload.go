package barleystep

// ReportedLoad is the load that a target states in the head of an answer. The zero value states
// nothing.
type ReportedLoad struct {
	running int
	waiting int
	slots   int
	set     bool
}

// maxReportedLoad is the largest number that a target can state: no engine has as many slots or lets
// as many requests wait, so a larger one is a fault of the target.
const maxReportedLoad = 10_000

// NewReportedLoad returns the load of a target with the given numbers of running and of waiting
// requests and of slots. ok is false if one of them is negative or over 10,000.
func NewReportedLoad(running, waiting, slots int) (l ReportedLoad, ok bool) {
	for _, n := range []int{running, waiting, slots} {
		if n < 0 || n > maxReportedLoad {
			return ReportedLoad{}, false
		}
	}
	return ReportedLoad{running: running, waiting: waiting, slots: slots, set: true}, true
}

// IsSet reports whether the target states its load.
func (l ReportedLoad) IsSet() bool { return l.set }

// Running returns the number of requests that run.
func (l ReportedLoad) Running() int { return l.running }

// Waiting returns the number of requests that wait for a slot.
func (l ReportedLoad) Waiting() int { return l.waiting }

// Slots returns the number of requests that can run at the same time.
func (l ReportedLoad) Slots() int { return l.slots }

// Requests returns the number of requests that run or wait.
func (l ReportedLoad) Requests() int { return l.running + l.waiting }
