package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// reportedLoadTTL is how long the load that a target has stated counts. Its streams last for longer
// than that, and peers report theirs within this time.
const reportedLoadTTL = 200 * time.Millisecond

// reportedLoad is the load that an incarnation of a target has last stated to this box.
type reportedLoad struct {
	load barleystep.ReportedLoad
	at   time.Time
}

// note stores the load that an answer states, if it does.
func (r *reportedLoad) note(load barleystep.ReportedLoad, now time.Time) {
	if load.IsSet() {
		*r = reportedLoad{load: load, at: now}
	}
}

// excess returns the number of requests that the target has besides those that the boxes know of. The
// statement is a lower bound: it holds what no box has reported yet, but not what was sent since.
func (r *reportedLoad) excess(known Work, now time.Time) int {
	if !r.load.IsSet() || now.Sub(r.at) >= reportedLoadTTL {
		return 0
	}
	return max(r.load.Requests()-known.Short-known.Long, 0)
}
