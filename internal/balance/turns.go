package balance

import (
	"math"
	"time"
)

// turns counts how many of a service's longest prompts were asked for and how many were
// placed, lately; those over an engine's memory apart.
type turns struct {
	over  tally
	below tally
	at    time.Time
}

// tally is a pair of decaying counts.
type tally struct {
	asked  float64
	placed float64
}

const (
	// turnsLife is the mean age of what counts: longer than a prompt waits, and shorter
	// than a burst. Not measured against others.
	turnsLife = 5 * time.Second
	// peerPart is the part of an engine's memory, as a divisor, from which on prompts below
	// it count: shorter ones are served nearly always, and would make the others seem
	// served too often. With a fifth of the long prompts over memory 0.756 of the worth of
	// long prompts is served in the laboratory, 0.749 where all of them count, 0.739 where
	// those over it have no turn of their own.
	peerPart = 3
)

// decay lets what was counted before the given time count less.
func (t *turns) decay(now time.Time) {
	keep := 0.0
	if !t.at.IsZero() {
		keep = math.Exp(-float64(now.Sub(t.at)) / float64(turnsLife))
	}
	for _, c := range []*tally{&t.over, &t.below} {
		c.asked *= keep
		c.placed *= keep
	}
	t.at = now
}

// turnsOf returns the counts of the job's service, as they stand now.
func (b *Balancer) turnsOf(j Job) *turns {
	if b.turns == nil {
		b.turns = make(map[string]*turns)
	}
	t, ok := b.turns[j.Service]
	if !ok {
		t = &turns{}
		b.turns[j.Service] = t
	}
	t.decay(b.Clock.Now())
	return t
}

// tallyOf returns the tally in which the job counts, or nil.
func (b *Balancer) tallyOf(j Job) *tally {
	switch {
	case !Heavy(j) || j.Prompt < j.Cost.Memory/peerPart:
		return nil
	case giant(j):
		return &b.turnsOf(j).over
	default:
		return &b.turnsOf(j).below
	}
}

func (b *Balancer) noteAsked(j Job) {
	if t := b.tallyOf(j); t != nil {
		t.asked++
	}
}

func (b *Balancer) notePlaced(j Job) {
	if t := b.tallyOf(j); t != nil {
		t.placed++
	}
}

// overIsBehind reports whether prompts over an engine's memory were placed less often than
// the next longest ones.
func (b *Balancer) overIsBehind(j Job) bool {
	t := b.turnsOf(j)
	return t.over.placed*t.below.asked < t.below.placed*t.over.asked
}
