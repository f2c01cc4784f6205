// Package trial measures the decisions: it drives the real Dispenser and Holder,
// and simple baselines, over small fake engines in simulated time. A run is
// deterministic: the same seed gives the same figures.
package trial

import (
	"container/list"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/timeline"
)

// Speed is how fast the engines of a run are. The users' engines are not
// settled, so several sets are tried.
type EngineSpeed struct {
	Name string
	// Rate is the reading speed in tokens per second.
	PrefillRate float64
	// Step is the time of a step that reads nothing.
	StepTime time.Duration
	// Sequence is what each sequence that generates adds to a step.
	TimePerSequence time.Duration
	// Chunk is how many prompt tokens one step reads at most.
	ChunkTokens int
	// Tokens is the KV memory.
	KVTokens int
}

// Speeds are the sets of engine speeds that are tried.
var EngineSpeeds = []EngineSpeed{
	{Name: "slow", PrefillRate: 3_000, StepTime: 40 * time.Millisecond, TimePerSequence: 400 * time.Microsecond, ChunkTokens: 1024, KVTokens: 400_000},
	{Name: "middle", PrefillRate: 8_000, StepTime: 25 * time.Millisecond, TimePerSequence: 200 * time.Microsecond, ChunkTokens: 2048, KVTokens: 400_000},
	{Name: "fast", PrefillRate: 20_000, StepTime: 15 * time.Millisecond, TimePerSequence: 100 * time.Microsecond, ChunkTokens: 4096, KVTokens: 400_000},
}

// job is one attempt, or a member's part of one, at an engine.
type job struct {
	request      *request
	attempt      barleystep.AttemptID
	priority     int
	arrival      int // order is the arrival at the engine.
	conversation uint64
	toPrefill    int // unread is the prompt tokens left to read.
	toDecode     int // left is the tokens left to generate; a member's part has none.
	kvTokens     int // tokens is the memory that the job takes.
	onFirstToken func(now time.Duration)
	onDone       func(now time.Duration)
	onFailed     func(now time.Duration)
}

// fakeEngine batches continuously, reads prompts in chunks by priority, and
// keeps the prefixes of ended conversations in what memory is left.
type simEngine struct {
	id           barleystep.TargetID
	speed        EngineSpeed
	sim          *timeline.Timeline
	waiting      []*job
	running      []*job
	usedTokens   int // memory is what running jobs take.
	arrival      int
	busy         bool
	dead         bool
	hung         bool
	cache        prefixCache
	cachedTokens int // hits and read count prompt tokens from cache and in all.
	promptTokens int
}

// add queues a job.
func (e *simEngine) add(j *job) {
	if e.dead {
		e.sim.After(0, func() { j.onFailed(e.sim.Elapsed()) })
		return
	}
	e.arrival++
	j.arrival = e.arrival
	e.waiting = append(e.waiting, j)
	sort.SliceStable(e.waiting, func(a, b int) bool { return before(e.waiting[a], e.waiting[b]) })
	e.startStep()
}

func before(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}

func (e *simEngine) startStep() {
	if e.busy || e.hung || e.dead {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	duration, finishStep := e.planStep()
	e.sim.After(duration, func() {
		e.busy = false
		if e.dead || e.hung {
			return
		}
		finishStep()
		e.startStep()
	})
}

// admit starts waiting jobs in order of priority while there is memory.
func (e *simEngine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if e.usedTokens+j.kvTokens > e.speed.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.usedTokens += j.kvTokens
		hit := min(e.cache.take(j.conversation), j.toPrefill)
		e.cachedTokens += hit
		e.promptTokens += j.toPrefill
		j.toPrefill = max(j.toPrefill-hit, 1)
		e.cache.shrink(e.speed.KVTokens - e.usedTokens)
		e.running = append(e.running, j)
		sort.SliceStable(e.running, func(a, b int) bool { return before(e.running[a], e.running[b]) })
	}
}

// plan decides one step: every sequence that generates gets a token, and the
// chunk is read for the others in order of priority.
func (e *simEngine) planStep() (d time.Duration, finishStep func()) {
	d = e.speed.StepTime
	budget := e.speed.ChunkTokens
	chunks := make(map[*job]int)
	var decoding []*job
	for _, j := range e.running {
		if j.toPrefill == 0 {
			decoding = append(decoding, j)
			d += e.speed.TimePerSequence
			continue
		}
		n := min(j.toPrefill, budget)
		if n > 0 {
			chunks[j] = n
			budget -= n
		}
	}
	d += time.Duration(float64(e.speed.ChunkTokens-budget) / e.speed.PrefillRate * float64(time.Second))
	return d, func() { e.finishStep(chunks, decoding) }
}

func (e *simEngine) finishStep(chunks map[*job]int, decoding []*job) {
	for _, j := range decoding {
		j.toDecode--
	}
	for _, j := range append([]*job(nil), e.running...) {
		if n, ok := chunks[j]; ok {
			j.toPrefill -= n
			if j.toPrefill == 0 {
				j.toDecode--
				j.onFirstToken(e.sim.Elapsed())
			}
		}
		if j.toPrefill == 0 && j.toDecode <= 0 {
			e.finish(j)
		}
	}
}

// finish ends a job. A member's part stays in memory until the whole has ended.
func (e *simEngine) finish(j *job) {
	if !e.remove(j) {
		return
	}
	e.usedTokens -= j.kvTokens
	e.cache.put(j.conversation, j.kvTokens)
	e.cache.shrink(e.speed.KVTokens - e.usedTokens)
	j.onDone(e.sim.Elapsed())
}

func (e *simEngine) remove(j *job) bool {
	for i, other := range e.running {
		if other == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return true
		}
	}
	return false
}

// cancel drops a job wherever it stands.
func (e *simEngine) cancel(j *job) {
	if e.remove(j) {
		e.usedTokens -= j.kvTokens
		return
	}
	for i, other := range e.waiting {
		if other == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// kill ends the engine; its jobs fail.
func (e *simEngine) crash() {
	e.dead = true
	jobs := append(append([]*job(nil), e.running...), e.waiting...)
	e.running, e.waiting, e.usedTokens = nil, nil, 0
	e.cache = prefixCache{}
	for _, j := range jobs {
		j.onFailed(e.sim.Elapsed())
	}
}

// revive starts the engine anew, or lets it go on after a hang.
func (e *simEngine) restore() {
	e.dead, e.hung = false, false
	e.startStep()
}

// load is the engine's report. A hung engine still reports.
func (e *simEngine) loadReport() barleystep.Load {
	return barleystep.Load{
		At:          e.sim.Now(),
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		FreeTokens:  e.speed.KVTokens - e.usedTokens,
		TotalTokens: e.speed.KVTokens,
	}
}

// prefixCache keeps the prompts of conversations, the latest used longest.
type prefixCache struct {
	order          list.List
	byConversation map[uint64]*list.Element
	tokens         int
}

type cacheEntry struct {
	conversation uint64
	tokens       int
}

// take returns how many tokens of the conversation are cached, and removes them:
// the running job holds them now.
func (c *prefixCache) take(conversation uint64) int {
	el, ok := c.byConversation[conversation]
	if !ok {
		return 0
	}
	n := el.Value.(cacheEntry).tokens
	c.drop(el)
	return n
}

func (c *prefixCache) put(conversation uint64, tokens int) {
	c.take(conversation)
	if c.byConversation == nil {
		c.byConversation = make(map[uint64]*list.Element)
	}
	c.byConversation[conversation] = c.order.PushFront(cacheEntry{conversation, tokens})
	c.tokens += tokens
}

// shrink evicts until the cache fits the room.
func (c *prefixCache) shrink(capacity int) {
	for c.tokens > capacity && c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
}

func (c *prefixCache) drop(el *list.Element) {
	entry := el.Value.(cacheEntry)
	c.order.Remove(el)
	delete(c.byConversation, entry.conversation)
	c.tokens -= entry.tokens
}
