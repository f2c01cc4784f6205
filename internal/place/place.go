// Package place estimates the time to first token of a request at a target, and assigns keys to boxes
// by rendezvous hashing.
package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
)

// Target is the state of a target when a request is placed.
type Target struct {
	ID barleystep.TargetID
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// Slowdown is the recent ratio of measured to expected time to first token; 1 is as expected.
	Slowdown float64
	// ShortPrefillTokens and LongPrefillTokens are the prompt tokens that wait for prefill. A short
	// prompt waits for the former only, a long one for both.
	ShortPrefillTokens int
	LongPrefillTokens  int
	// Running is the number of running attempts.
	Running int
	// FreeKVTokens is the free KV cache, in tokens.
	FreeKVTokens int
}

// Delays in addition to prefill. docs/design/placement.md lists their effects on the simulated
// engine.
const (
	// longChunkDelay is how long a short prompt waits for the chunk of a long prompt that the engine
	// prefills.
	longChunkDelay = 120 * time.Millisecond
	// delayPerAttempt is how much each running attempt slows an engine's forward pass.
	delayPerAttempt = time.Millisecond
)

// ExpectedTTFT returns the expected time to first token of a prompt at the target. Prompt and cached
// are in tokens; the cached ones need no prefill.
func ExpectedTTFT(t Target, prompt, cached int) time.Duration {
	long := barleystep.BandOf(prompt).Long()
	queued := t.ShortPrefillTokens
	if long {
		queued += t.LongPrefillTokens
	}
	prefill := float64(queued+max(prompt-cached, 0)) / t.PrefillRate
	d := time.Duration(prefill * float64(time.Second))
	if !long && t.LongPrefillTokens > 0 {
		d += longChunkDelay
	}
	d += time.Duration(t.Running) * delayPerAttempt
	return time.Duration(float64(d) * max(t.Slowdown, minSlowdown))
}

const minSlowdown = 0.1

// Rank returns the rendezvous hash of a key and a node: boxes that share no state order the same nodes
// in the same way for one key.
func Rank(key string, node string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)  // A hash never fails to write.
	_, _ = d.WriteString("\n") //
	_, _ = d.WriteString(node) //
	return d.Sum64()
}

// Owner returns the box that owns the key: the one with the highest rank among those alive, "" if
// there are none. Boxes with the same membership agree on it without messages.
func Owner(key string, alive []barleystep.BoxID) barleystep.BoxID {
	names := make([]string, len(alive))
	for i, id := range alive {
		names[i] = string(id)
	}
	return barleystep.BoxID(HighestRanked(key, names))
}

// HighestRanked returns the node with the highest rank for the key, "" if there are no nodes.
func HighestRanked(key string, nodes []string) string {
	best, bestRank := "", uint64(0)
	for _, n := range nodes {
		r := Rank(key, n)
		if best == "" || r > bestRank || (r == bestRank && n < best) {
			best, bestRank = n, r
		}
	}
	return best
}
