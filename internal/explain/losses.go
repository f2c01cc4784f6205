package explain

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Cause says why a stream was late, or was not served.
type Cause string

// The causes of late streams. Streams that were not served have the reason of their
// refusal as cause.
const (
	// CauseWait is a first event that came late after a wait for engines.
	CauseQueueing Cause = "waited for engines"
	// CauseSlow is one that came late although the stream was sent at once: its engine
	// took longer than was expected of it, or that was too long already.
	CauseSlowFirstEvent Cause = "slow first event"
	// CauseMove is a pause while another target took the stream up.
	CauseResumed Cause = "moved to another target"
	// CausePart is a pause at a target that was given a part of a long prompt while it
	// wrote the stream, and CauseLong at one that was given a whole one.
	CausePromptPart Cause = "paused by a part of a long prompt"
	CauseLongPrompt Cause = "paused by a long prompt"
	// CauseOther is a pause with neither: short prompts, or the target itself.
	CauseOther Cause = "paused by something else"
)

// Losses is how the streams of a route ended.
type RouteLosses struct {
	route   string
	streams int
	causes  map[Cause]int
}

// Route returns the route's name.
func (l RouteLosses) Route() string { return l.route }

// Streams returns how many streams there were.
func (l RouteLosses) Streams() int { return l.streams }

// Causes returns how many of them were late or not served, by cause.
func (l RouteLosses) Causes() map[Cause]int { return l.causes }

const (
	endedMessage = "front: A request ended."
	splitMessage = "front: Several targets read the prompt."
	// longWait is the part of the time to the first event from which on the wait
	// counts as its cause.
	queueingShare = 0.5
	// memory is how long before a stream began a part may have been given that still
	// holds it up.
	readLookback = 2 * time.Second
)

// reading is a time at which a target was given something long to read.
type promptRead struct {
	at   time.Time
	part bool
}

// FindLosses reads log lines and returns, by route, why streams were late. It goes by
// the lines alone. The error is that of the reader.
func LossesByRoute(r io.Reader) (list []RouteLosses, err error) {
	lines, err := read(r)
	if err != nil {
		return nil, eris.Wrap(err, "explain: losses")
	}
	reads := promptReads(lines)
	routes := make(map[string]*RouteLosses)
	for _, l := range lines {
		name, _ := l.fields["route"].(string)
		if l.message != endedMessage || l.number("max_pause") == 0 {
			continue
		}
		if routes[name] == nil {
			routes[name] = &RouteLosses{route: name, causes: make(map[Cause]int)}
		}
		routes[name].streams++
		if cause := l.cause(reads); cause != "" {
			routes[name].causes[cause]++
		}
	}
	for _, losses := range routes {
		list = append(list, *losses)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].route < list[j].route })
	return list, nil
}

// readingsOf returns when targets were given something long to read.
func promptReads(lines []Line) map[string][]promptRead {
	reads := make(map[string][]promptRead)
	for _, l := range lines {
		target, _ := l.fields[fieldTarget].(string)
		switch {
		case l.message == splitMessage:
			reads[target] = append(reads[target], promptRead{l.at, true})
			helpers, _ := l.fields["helpers"].([]any)
			for _, h := range helpers {
				id, _ := h.(string)
				reads[id] = append(reads[id], promptRead{l.at, true})
			}
		case l.message == endedMessage && l.number("helpers") == 0 && l.number("expected") > l.number("max_pause"):
			reads[target] = append(reads[target], promptRead{l.started().Add(l.millis("queued")), false})
		}
	}
	return reads
}

// cause returns why a stream was late, empty if it was in time.
func (l Line) cause(reads map[string][]promptRead) Cause {
	if reason, ok := l.fields["reason"].(string); ok {
		return Cause(reason)
	}
	first := l.number("first")
	switch {
	case first > l.number("objective") && l.number("queued") > queueingShare*first:
		return CauseQueueing
	case first > l.number("objective"):
		return CauseSlowFirstEvent
	case l.number("pause") <= l.number("max_pause"):
		return ""
	case l.number("sends") > 1:
		return CauseResumed
	}
	target, _ := l.fields[fieldTarget].(string)
	during := func(part bool) bool {
		return slices.ContainsFunc(reads[target], func(r promptRead) bool {
			return r.part == part && r.at.After(l.started().Add(-readLookback)) && r.at.Before(l.at)
		})
	}
	switch {
	case during(true):
		return CausePromptPart
	case during(false):
		return CauseLongPrompt
	default:
		return CauseOther
	}
}

// begin returns when the request came.
func (l Line) started() time.Time { return l.at.Add(-l.millis("took")) }

func (l Line) number(field string) float64 {
	n, _ := l.fields[field].(float64)
	return n
}

func (l Line) millis(field string) time.Duration {
	return time.Duration(l.number(field) * float64(time.Millisecond))
}

// String returns the losses for a person, the largest first.
func (l RouteLosses) String() string {
	causes := make([]Cause, 0, len(l.causes))
	late := 0
	for c, n := range l.causes {
		causes = append(causes, c)
		late += n
	}
	sort.Slice(causes, func(i, j int) bool {
		if l.causes[causes[i]] != l.causes[causes[j]] {
			return l.causes[causes[i]] > l.causes[causes[j]]
		}
		return causes[i] < causes[j]
	})
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d streams, %d late or not served", l.route, l.streams, late)
	for _, c := range causes {
		fmt.Fprintf(&b, "\n  %5d %s", l.causes[c], c)
	}
	return b.String()
}
