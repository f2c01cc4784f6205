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

// Cause tells why a stream was late or not served.
type Cause string

// Causes of late streams. For a stream that was not served, the cause is the reason of its
// refusal.
const (
	// CauseQueueing is a late first event after a long wait for engines.
	CauseQueueing Cause = "waited for engines"
	// CauseSlowFirstEvent is a late first event without such a wait: the engine took longer
	// than expected, or the expected time was already too long.
	CauseSlowFirstEvent Cause = "slow first event"
	// CauseResumed is a pause during which another target resumed the stream.
	CauseResumed Cause = "moved to another target"
	// CausePromptPart is a pause at a target that processed a part of a long prompt in that
	// time, and CauseLongPrompt at one that processed a whole long prompt.
	CausePromptPart Cause = "paused by a part of a long prompt"
	CauseLongPrompt Cause = "paused by a long prompt"
	// CauseOther is any other pause, caused by short prompts or by the target itself.
	CauseOther Cause = "paused by something else"
)

// RouteLosses counts the streams of a route, and those that were late or not served, by cause.
type RouteLosses struct {
	route   string
	streams int
	causes  map[Cause]int
}

// Route returns the name of the route.
func (l RouteLosses) Route() string { return l.route }

// Streams returns the number of streams.
func (l RouteLosses) Streams() int { return l.streams }

// Causes returns the number of streams that were late or not served, by cause.
func (l RouteLosses) Causes() map[Cause]int { return l.causes }

const (
	endedMessage = "front: A request ended."
	splitMessage = "front: Several targets read the prompt."
	// queueingShare is the share of the time to the first event above which queueing counts as
	// its cause.
	queueingShare = 0.5
	// readLookback is how long before the start of a stream a target may have received a prompt
	// that still delays the stream.
	readLookback = 2 * time.Second
)

// promptRead is when a target received a long prompt, or a part of one.
type promptRead struct {
	at   time.Time
	part bool
}

// LossesByRoute reads log lines and returns why streams were late, by route. It uses nothing
// but the lines. An error is that of the reader.
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

// promptReads returns the long prompts that each target received.
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

// cause returns why a stream was late, empty if it was not.
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

// started returns when the request arrived.
func (l Line) started() time.Time { return l.at.Add(-l.millis("took")) }

// number returns a numeric field, 0 if it is absent.
func (l Line) number(field string) float64 {
	n, _ := l.fields[field].(float64)
	return n
}

// millis returns a field in milliseconds as a duration.
func (l Line) millis(field string) time.Duration {
	return time.Duration(l.number(field) * float64(time.Millisecond))
}

// String formats the losses for people, most frequent cause first.
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
