package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/timeline"
)

// request is one request of a workload.
type request struct {
	id           int
	at           time.Duration
	account      string
	class        string
	rank         int
	prompt       int
	output       int
	conversation uint64
	timeLimit    time.Duration
	box          int
	measured     bool // measured is false for requests of the warm-up.

	firstToken    time.Duration // firstToken is when the first token came, zero if none did.
	ended         bool
	refused       bool
	failedTargets []barleystep.TargetID
	tries         int
}

// band returns the band of the request's prompt length.
func (r *request) band() barleystep.Band { return barleystep.BandOf(r.prompt) }

// prefixes returns the prefix hashes that an entry box would compute from the
// prompt: one for 1024 tokens and for each doubling of that.
func (r *request) prefixes() []uint64 {
	const firstTokens = 1024
	var hashes []uint64
	for size := firstTokens; size <= r.prompt; size *= 2 {
		hashes = append(hashes, r.conversation*prefixMultiplier+uint64(size))
	}
	return hashes
}

// prefixMultiplier separates the prefix hashes of different conversations.
const prefixMultiplier = 0x9E3779B97F4A7C15

// Workload describes the requests of a run.
type Workload struct {
	Name string
	// BandShares is the fraction of requests in each band of prompt length.
	BandShares [len(barleystep.Bands)]float64
	// ContinuedShare is the fraction of requests that continue a conversation.
	ContinuedShare float64
	// BulkBurst is the number of long bulk prompts that arrive together halfway
	// through a run.
	BulkBurst int
	// UrgentLongShare is the fraction of long prompts that are urgent.
	UrgentLongShare float64
}

// Workloads lists the workloads of the two users. One prompt in fifty is longer
// than 100,000 tokens.
var Workloads = []Workload{
	{Name: "Conversia", BandShares: [...]float64{0.42, 0.36, 0.20, 0.02}, ContinuedShare: 0.2, UrgentLongShare: 0.4},
	{Name: "Chaiyaphruek", BandShares: [...]float64{0.60, 0.28, 0.10, 0.02}, ContinuedShare: 0.4, BulkBurst: 40, UrgentLongShare: 0.1},
}

// bandRanges is the shortest and the longest prompt of each band, in tokens.
var bandRanges = [...][2]float64{{1_000, 4_000}, {4_000, 16_000}, {16_000, 100_000}, {100_000, 1_000_000}}

// meanPromptTokens returns the mean prompt length of the workload in tokens.
func (l Workload) meanPromptTokens() float64 {
	sum := 0.0
	for i, part := range l.BandShares {
		low, high := bandRanges[i][0], bandRanges[i][1]
		sum += part * (high - low) / math.Log(high/low)
	}
	return sum
}

const (
	accountCount     = 10
	meanOutputTokens = 150
	turnTokens       = 1_500
)

// requests draws the requests of a run. utilization is the fraction of the fleet's
// prefill rate that they use. Without withLong the long requests are left out and
// the short ones stay the same.
func (l Workload) requests(seed uint64, speed EngineSpeed, engines int, utilization float64, span, warmup time.Duration, withLong bool) []*request {
	rng := rand.New(rand.NewPCG(seed, seed))
	rate := utilization * speed.PrefillRate * float64(engines) / l.meanPromptTokens()
	var list []*request
	var convs []*request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		r := l.draw(rng, len(list), convs)
		r.at = time.Duration(at * float64(time.Second))
		if r.at > span {
			break
		}
		r.measured = r.at >= warmup
		convs = append(convs, r)
		list = append(list, r)
	}
	list = append(list, l.burst(rng, len(list), span/2)...)
	if withLong {
		return list
	}
	var short []*request
	for _, r := range list {
		if !r.band().Long() {
			short = append(short, r)
		}
	}
	return short
}

// draw draws one request, which may continue one of the earlier ones in convs.
func (l Workload) draw(rng *rand.Rand, id int, convs []*request) *request {
	r := &request{id: id, conversation: uint64(id) + 1, box: rng.IntN(boxes)}
	r.account = drawAccount(rng)
	r.prompt = l.drawPrompt(rng)
	r.output = int(min(rng.ExpFloat64()*meanOutputTokens+8, 2_000))
	growing, pick, urgent := rng.Float64(), rng.IntN(recentConversations), rng.Float64()
	if growing < l.ContinuedShare && len(convs) > recentConversations {
		old := convs[len(convs)-1-pick]
		r.conversation, r.account = old.conversation, old.account
		r.prompt = min(old.prompt+old.output+turnTokens, 1_000_000)
	}
	l.classify(r, urgent)
	return r
}

// recentConversations is how many requests back a continued conversation may be.
const recentConversations = 40

func (l Workload) drawPrompt(rng *rand.Rand) int {
	u, v := rng.Float64(), rng.Float64()
	for i, part := range l.BandShares {
		if u < part || i == len(l.BandShares)-1 {
			low, high := bandRanges[i][0], bandRanges[i][1]
			return int(low * math.Pow(high/low, v))
		}
		u -= part
	}
	return 0
}

// drawAccount draws an account. The first two accounts send half of all requests.
func drawAccount(rng *rand.Rand) string {
	if rng.Float64() < 0.5 {
		return string(rune('a' + rng.IntN(2)))
	}
	return string(rune('a' + 2 + rng.IntN(accountCount-2)))
}

// weightOf returns the weight of an account. The two large accounts have four
// times the weight of the others.
func weightOf(account string) float64 {
	if account < "c" {
		return 4
	}
	return 1
}

// classify sets the request's class, rank and time limit.
func (l Workload) classify(r *request, urgent float64) {
	switch {
	case !r.band().Long():
		r.class, r.rank, r.timeLimit = "urgent", 0, 2*time.Minute
	case urgent < l.UrgentLongShare:
		r.class, r.rank, r.timeLimit = "urgent", 0, 10*time.Minute
	default:
		r.class, r.rank, r.timeLimit = "normal", 1, 20*time.Minute
	}
}

// burst returns the monthly burst of long bulk prompts of one account.
func (l Workload) burst(rng *rand.Rand, id int, at time.Duration) []*request {
	var list []*request
	for i := range l.BulkBurst {
		v := rng.Float64()
		list = append(list, &request{
			id:           id + i,
			at:           at,
			account:      "a",
			class:        "bulk",
			rank:         2,
			prompt:       int(30_000 * math.Pow(10, v)),
			output:       meanOutputTokens,
			conversation: uint64(id+i) + 1,
			timeLimit:    time.Hour,
			box:          rng.IntN(boxes),
			measured:     true,
		})
	}
	return list
}

// demand returns the request in the form that the placement packages use.
func (r *request) demand(id barleystep.AttemptID) barleystep.Demand {
	return barleystep.Demand{
		Attempt:         id,
		Account:         r.account,
		Class:           r.class,
		Model:           "model",
		PromptTokens:    r.prompt,
		MaxOutputTokens: r.output,
		AdmittedAt:      timeline.At(r.at),
		Deadline:        timeline.At(r.at + r.timeLimit),
		PrefixHashes:    r.prefixes(),
		FailedTargets:   r.failedTargets,
	}
}
