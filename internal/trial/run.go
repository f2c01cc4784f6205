package trial

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/timeline"
)

// Fault is a fault that is injected into a run.
type Fault string

// The faults that a run can have.
const (
	FaultNone        Fault = "none"
	FaultEngineCrash Fault = "engine dies"
	FaultEngineHang  Fault = "engine hangs"
	FaultBoxCrash    Fault = "box dies"
	FaultLateReports Fault = "reports late"
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultEngineCrash, FaultEngineHang, FaultBoxCrash, FaultLateReports}

// Strategy is one way to place requests.
type Strategy struct {
	Name  string
	build func(f *fleet, seed uint64) dispatcher
}

// Strategies lists the baselines and then barleystep's own versions, the current
// one last.
var Strategies = []Strategy{
	{"random", baselineStrategy(pickRandom, false)},
	{"round robin", baselineStrategy(pickRoundRobin, false)},
	{"least loaded", baselineStrategy(pickLeastLoaded, false)},
	{"first come", baselineStrategy(pickFewestInFlight, true)},
	{"barleystep, no credits", capacityStrategy(capacity.Settings{}, false)},
	{"barleystep", capacityStrategy(capacity.Settings{}, true)},
}

func baselineStrategy(pick func(*baseline) []*simEngine, centralQueue bool) func(*fleet, uint64) dispatcher {
	return func(f *fleet, seed uint64) dispatcher {
		b := newBaseline(f, seed, pick)
		b.centralQueue = centralQueue
		return b
	}
}

func capacityStrategy(s capacity.Settings, credits bool) func(*fleet, uint64) dispatcher {
	return func(f *fleet, _ uint64) dispatcher { return newCapacityDispatcher(f, s, credits) }
}

// Case describes one run.
type Case struct {
	Strategy    Strategy
	Workload    Workload
	EngineSpeed EngineSpeed
	Utilization float64
	Fault       Fault
	// ShortOnly leaves out the long prompts.
	ShortOnly bool
	Seed      uint64
}

// Result holds the measurements of a run.
type Result struct {
	Case Case
	// TTFT holds the times to first token in microseconds, by band.
	TTFT [len(barleystep.Bands)]*hdrhistogram.Histogram
	// ShortTTFT holds the times to first token of all short requests.
	ShortTTFT *hdrhistogram.Histogram
	// Requests counts the measured requests: InTime got their first token within
	// their time limit, Refused were rejected, Starved got no token in time.
	Requests int
	InTime   int
	Refused  int
	Starved  int
	// Fairness is Jain's fairness index over the fraction of each account's prompt
	// tokens that was served.
	Fairness float64
	// CachedShare is the fraction of prompt tokens found in engines' prefix caches.
	CachedShare float64
}

const (
	arrivalSpan     = 20 * time.Minute
	warmup          = 2 * time.Minute
	drainTime       = 30 * time.Minute // drainTime is how long a run continues after the last arrival.
	faultStart      = 8 * time.Minute
	faultEnd        = 11 * time.Minute
	lateReportDelay = 5 * time.Second
)

// Run simulates one case.
func Run(c Case) Result {
	s := &timeline.Timeline{}
	f := newFleet(s, c.EngineSpeed)
	f.dispatch = c.Strategy.build(f, c.Seed)
	list := c.Workload.requests(c.Seed, c.EngineSpeed, engines, c.Utilization, arrivalSpan, warmup, !c.ShortOnly)
	for _, r := range list {
		s.After(r.at, func() { f.dispatch.submit(r) })
	}
	c.scheduleFault(s, f)
	s.RunUntil(arrivalSpan + drainTime)
	return measure(c, f, list)
}

// scheduleFault schedules the case's fault and its end.
func (c Case) scheduleFault(s *timeline.Timeline, f *fleet) {
	e := f.engines[3]
	switch c.Fault {
	case FaultEngineCrash:
		s.After(faultStart, e.crash)
		s.After(faultEnd, e.restore)
	case FaultEngineHang:
		s.After(faultStart, func() { e.hung = true })
		s.After(faultEnd, e.restore)
	case FaultBoxCrash:
		s.After(faultStart, func() {
			f.crashBox(0)
			f.dispatch.boxCrashed(0)
		})
	case FaultLateReports:
		f.reportDelay = lateReportDelay
	}
}

const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// measure sums up the requests after the warm-up. With a box crash the requests of
// box 0 are left out, since the crash drops them.
func measure(c Case, f *fleet, list []*request) Result {
	res := Result{Case: c, ShortTTFT: hdrhistogram.New(1, maxMicros, significantDigits)}
	for i := range res.TTFT {
		res.TTFT[i] = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	requested, served := make(map[string]float64), make(map[string]float64)
	for _, r := range list {
		if !r.measured || (c.Fault == FaultBoxCrash && r.box == 0) {
			continue
		}
		res.count(r)
		requested[r.account] += float64(r.prompt)
		if r.firstToken > 0 && r.firstToken-r.at <= r.timeLimit {
			served[r.account] += float64(r.prompt)
		}
	}
	res.Fairness = jain(requested, served)
	cachedTokens, promptTokens := 0, 0
	for _, e := range f.engines {
		cachedTokens += e.cachedTokens
		promptTokens += e.promptTokens
	}
	res.CachedShare = float64(cachedTokens) / float64(max(promptTokens, 1))
	return res
}

func (res *Result) count(r *request) {
	res.Requests++
	if r.refused {
		res.Refused++
		return
	}
	took := r.firstToken - r.at
	if r.firstToken == 0 || took > r.timeLimit {
		res.Starved++
		took = max(r.timeLimit, took)
	} else {
		res.InTime++
	}
	micros := min(took.Microseconds(), maxMicros)
	_ = res.TTFT[r.band()].RecordValue(micros) // The value is within the histogram's range.
	if !r.band().Long() {
		_ = res.ShortTTFT.RecordValue(micros) // As above.
	}
}

// merge adds the measurements of another run of the same case.
func (res *Result) merge(other Result) {
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

// jain returns Jain's fairness index. It is 1 when all accounts were served the same
// fraction of what they requested.
func jain(requested, served map[string]float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	names := make([]string, 0, len(requested))
	for a := range requested {
		names = append(names, a)
	}
	sort.Strings(names)
	for _, a := range names {
		part := served[a] / requested[a]
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
