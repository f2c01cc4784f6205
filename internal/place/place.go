// Package place scores targets for a request by the time to its first token
// that is expected there.
package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
)

// Target is what is known of a target when a request is placed.
type Target struct {
	ID barleystep.TargetID
	// Rate is the reading speed in tokens per second.
	PrefillRate float64
	// Slow is how much longer than expected the target has lately taken; 1 is
	// as expected.
	Slowdown float64
	// Short and Long are the prompt tokens that wait to be read, ahead of a
	// short and in addition ahead of a long prompt.
	ShortPrefillTokens int
	LongPrefillTokens  int
	// Running counts attempts.
	Running int
	// Free is the KV memory that may be used, in tokens.
	FreeKVTokens int
}

// Delays that reading does not explain. Measured effects on the fake engine are
// in docs/design/placement.md.
const (
	// besideLong is what a short prompt waits for the chunk of a long prompt
	// that the engine is reading.
	longChunkDelay = 120 * time.Millisecond
	// perRunning is how much each attempt that is generating slows a step.
	delayPerAttempt = time.Millisecond
)

// Expect returns the expected time to first token of a prompt at the target, of
// which cached tokens need not be read.
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

// Rank returns a number by which boxes that share no state order the same
// targets the same way for one key: rendezvous hashing.
func Rank(key string, node string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)  // A hash never fails to write.
	_, _ = d.WriteString("\n") //
	_, _ = d.WriteString(node) //
	return d.Sum64()
}

// Owner returns the box whose duty the key is: the one with the highest rank
// among those alive, "" if there are none. Boxes with the same picture agree
// without a message.
func Owner(key string, alive []barleystep.BoxID) barleystep.BoxID {
	names := make([]string, len(alive))
	for i, id := range alive {
		names[i] = string(id)
	}
	return barleystep.BoxID(HighestRanked(key, names))
}

// Highest returns the node with the highest rank for the key, "" if there are
// no nodes.
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
