package trial

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/timeline"
)

// Fault is what fails in the midst of a run.
type Fault string

// The faults of runs.
const (
	FaultNone        Fault = "none"
	FaultEngineCrash Fault = "engine dies"
	FaultEngineHang  Fault = "engine hangs"
	FaultBoxCrash    Fault = "box dies"
	FaultLateReports Fault = "reports late"
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultEngineCrash, FaultEngineHang, FaultBoxCrash, FaultLateReports}

// Variant is one way to decide.
type Strategy struct {
	Name  string
	build func(f *fleet, seed uint64) dispatcher
}

// Variants are the baselines and our own versions, the present one last.
var Strategies = []Strategy{
	{"random", simple(pickRandom, false)},
	{"round robin", simple(pickRoundRobin, false)},
	{"least loaded", simple(pickLeastLoaded, false)},
	{"first come", simple(pickFewestSent, true)},
	{"barleystep, no credits", decided(capacity.Settings{}, false)},
	{"barleystep", decided(capacity.Settings{}, true)},
}

func simple(pick func(*baseline) []*fakeEngine, central bool) func(*fleet, uint64) dispatcher {
	return func(f *fleet, seed uint64) dispatcher {
		b := newBaseline(f, seed, pick)
		b.central = central
		return b
	}
}

func decided(s capacity.Settings, credits bool) func(*fleet, uint64) dispatcher {
	return func(f *fleet, _ uint64) dispatcher { return newOurs(f, s, credits) }
}

// Case is one run.
type Case struct {
	Strategy    Strategy
	Workload    Workload
	EngineSpeed EngineSpeed
	Utilization float64
	Fault       Fault
	// Short leaves the long prompts out.
	ShortOnly bool
	Seed      uint64
}

// Result is what a run measured.
type Result struct {
	Case Case
	// First holds the times to first token in microseconds, by band.
	TTFT [len(barleystep.Bands)]*hdrhistogram.Histogram
	// ShortFirst holds those of both short bands.
	ShortTTFT *hdrhistogram.Histogram
	// Requests counts what was measured; Good was answered within the time
	// limit, Refused was told at once, Starved got nothing by its limit.
	Requests int
	InTime   int
	Refused  int
	Starved  int
	// Fairness is Jain's index of the accounts' answered part.
	Fairness float64
	// Cached is the part of prompt tokens that came from cache.
	CachedShare float64
}

const (
	span    = 20 * time.Minute
	warmup  = 2 * time.Minute
	tail    = 30 * time.Minute // tail is how long after the last arrival a run goes on.
	faultAt = 8 * time.Minute
	healAt  = 11 * time.Minute
	lateBy  = 5 * time.Second
)

// Run carries out one case.
func Run(c Case) Result {
	s := &timeline.Timeline{}
	f := newFleet(s, c.EngineSpeed)
	f.dispatch = c.Strategy.build(f, c.Seed)
	list := c.Workload.requests(c.Seed, c.EngineSpeed, engines, c.Utilization, span, warmup, !c.ShortOnly)
	for _, r := range list {
		s.After(r.at, func() { f.dispatch.submit(r) })
	}
	c.fault(s, f)
	s.RunUntil(span + tail)
	return measure(c, f, list)
}

func (c Case) fault(s *timeline.Timeline, f *fleet) {
	e := f.engines[3]
	switch c.Fault {
	case FaultEngineCrash:
		s.After(faultAt, e.kill)
		s.After(healAt, e.revive)
	case FaultEngineHang:
		s.After(faultAt, func() { e.hung = true })
		s.After(healAt, e.revive)
	case FaultBoxCrash:
		s.After(faultAt, func() {
			f.killBox(0)
			f.dispatch.boxDied(0)
		})
	case FaultLateReports:
		f.lag = lateBy
	}
}

const (
	longestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

func measure(c Case, f *fleet, list []*request) Result {
	res := Result{Case: c, ShortTTFT: hdrhistogram.New(1, longestMicros, digits)}
	for i := range res.TTFT {
		res.TTFT[i] = hdrhistogram.New(1, longestMicros, digits)
	}
	asked, served := make(map[string]float64), make(map[string]float64)
	for _, r := range list {
		if !r.warmedUp || (c.Fault == FaultBoxCrash && r.box == 0) {
			continue
		}
		res.count(r)
		asked[r.account] += float64(r.prompt)
		if r.first > 0 && r.first-r.at <= r.limit {
			served[r.account] += float64(r.prompt)
		}
	}
	res.Fairness = jain(asked, served)
	hits, read := 0, 0
	for _, e := range f.engines {
		hits += e.hits
		read += e.read
	}
	res.CachedShare = float64(hits) / float64(max(read, 1))
	return res
}

func (res *Result) count(r *request) {
	res.Requests++
	if r.refused {
		res.Refused++
		return
	}
	took := r.first - r.at
	if r.first == 0 || took > r.limit {
		res.Starved++
		took = max(r.limit, took)
	} else {
		res.InTime++
	}
	micros := min(took.Microseconds(), longestMicros)
	_ = res.TTFT[r.band()].RecordValue(micros) // The value is within the histogram's range.
	if !r.band().Long() {
		_ = res.ShortTTFT.RecordValue(micros) // As above.
	}
}

// add takes in another run of the same case.
func (res *Result) add(other Result) {
	n, m := float64(res.Requests), float64(other.Requests)
	res.Fairness = (n*res.Fairness + m*other.Fairness) / (n + m)
	res.CachedShare = (n*res.CachedShare + m*other.CachedShare) / (n + m)
	res.Requests += other.Requests
	res.InTime += other.InTime
	res.Refused += other.Refused
	res.Starved += other.Starved
	for i, h := range res.TTFT {
		h.Merge(other.TTFT[i])
	}
	res.ShortTTFT.Merge(other.ShortTTFT)
}

// jain returns Jain's fairness index of the served parts, 1 when all accounts
// got the same part of what they asked for.
func jain(asked, served map[string]float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	names := make([]string, 0, len(asked))
	for a := range asked {
		names = append(names, a)
	}
	sort.Strings(names)
	for _, a := range names {
		part := served[a] / asked[a]
		sum += part
		squares += part * part
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

func sortedRequests(m map[barleystep.AttemptID]*request) []*request {
	list := make([]*request, 0, len(m))
	for _, r := range m {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
