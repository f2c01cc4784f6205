// Package trial measures request placement in simulated time. It drives the
// production code of package capacity, and simple baselines, over small simulated
// engines. A run is deterministic: the same seed gives the same results.
package trial

import (
	"container/list"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/timeline"
)

// EngineSpeed describes the engines of a run. The users have not chosen their
// engines yet, so runs cover several sets.
type EngineSpeed struct {
	Name string
	// PrefillRate is the prefill rate in tokens per second.
	PrefillRate float64
	// StepTime is the duration of a step without prefill and without decoding.
	StepTime time.Duration
	// TimePerSequence is what each decoding sequence adds to a step.
	TimePerSequence time.Duration
	// ChunkTokens is the maximum number of prompt tokens that one step prefills.
	ChunkTokens int
	// KVTokens is the size of the KV cache in tokens.
	KVTokens int
}

// EngineSpeeds lists the sets of engine speeds that runs cover.
var EngineSpeeds = []EngineSpeed{
	{Name: "slow", PrefillRate: 3_000, StepTime: 40 * time.Millisecond, TimePerSequence: 400 * time.Microsecond, ChunkTokens: 1024, KVTokens: 400_000},
	{Name: "middle", PrefillRate: 8_000, StepTime: 25 * time.Millisecond, TimePerSequence: 200 * time.Microsecond, ChunkTokens: 2048, KVTokens: 400_000},
	{Name: "fast", PrefillRate: 20_000, StepTime: 15 * time.Millisecond, TimePerSequence: 100 * time.Microsecond, ChunkTokens: 4096, KVTokens: 400_000},
}

// job is an attempt at an engine, or one engine's part of an attempt that several
// engines share.
type job struct {
	request      *request
	attempt      barleystep.AttemptID
	priority     int
	arrival      int // arrival is the position in the engine's order of arrival.
	conversation uint64
	toPrefill    int // toPrefill is the number of prompt tokens left to prefill.
	toDecode     int // toDecode is the number of tokens left to generate.
	kvTokens     int // kvTokens is the KV cache that the job occupies, in tokens.
	onFirstToken func(now time.Duration)
	onDone       func(now time.Duration)
	onFailed     func(now time.Duration)
}

// simEngine simulates an engine with continuous batching and chunked prefill in
// order of priority. It caches the prefixes of finished conversations in the KV
// cache that running jobs leave free.
type simEngine struct {
	id           barleystep.TargetID
	speed        EngineSpeed
	sim          *timeline.Timeline
	waiting      []*job
	running      []*job
	usedTokens   int // usedTokens is the KV cache that running jobs occupy, in tokens.
	arrival      int
	busy         bool
	crashed      bool
	hung         bool
	cache        prefixCache
	cachedTokens int // cachedTokens and promptTokens count admitted prompt tokens: those found in the cache, and all.
	promptTokens int
}

// add queues a job. A crashed engine fails it.
func (e *simEngine) add(j *job) {
	if e.crashed {
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

// startStep admits waiting jobs and schedules the next step, unless one is in
// progress, nothing runs, or the engine has crashed or hangs.
func (e *simEngine) startStep() {
	if e.busy || e.hung || e.crashed {
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
		if e.crashed || e.hung {
			return
		}
		finishStep()
		e.startStep()
	})
}

// admit starts waiting jobs in order of priority while the KV cache has space.
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

// planStep returns the duration of the next step and a function that applies its
// results. Each decoding sequence gets one token; the chunk is shared among the
// other jobs in order of priority.
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

// finishStep applies the results of a step to the running jobs.
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

// finish ends a job and moves its tokens to the prefix cache.
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

// cancel removes a running or waiting job.
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

// crash stops the engine and fails its jobs. Its prefix cache is lost.
func (e *simEngine) crash() {
	e.crashed = true
	jobs := append(append([]*job(nil), e.running...), e.waiting...)
	e.running, e.waiting, e.usedTokens = nil, nil, 0
	e.cache = prefixCache{}
	for _, j := range jobs {
		j.onFailed(e.sim.Elapsed())
	}
}

// restore restarts the engine after a crash or resumes it after a hang.
func (e *simEngine) restore() {
	e.crashed, e.hung = false, false
	e.startStep()
}

// loadReport returns the engine's load report. A hung engine still reports.
func (e *simEngine) loadReport() barleystep.Load {
	return barleystep.Load{
		At:          e.sim.Now(),
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		FreeTokens:  e.speed.KVTokens - e.usedTokens,
		TotalTokens: e.speed.KVTokens,
	}
}

// prefixCache is an LRU cache of the prompts of conversations.
type prefixCache struct {
	order          list.List
	byConversation map[uint64]*list.Element
	tokens         int
}

type cacheEntry struct {
	conversation uint64
	tokens       int
}

// take removes the conversation and returns how many of its tokens were cached:
// from now on they belong to the running job.
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

// shrink evicts entries until the cache holds at most capacity tokens.
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
