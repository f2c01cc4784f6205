// Package explain reads the log lines of routers and tells the story of one
// request: what each box decided about it, and what became of its targets.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one line of a log.
type Line struct {
	at      time.Time
	source  string
	message string
	fields  map[string]any
}

// At returns when the line was written, by its box's time of day.
func (l Line) At() time.Time { return l.at }

// Source returns what stood before the line, such as the name of the box where
// logs were gathered.
func (l Line) Source() string { return l.source }

// Message returns the line's message.
func (l Line) Message() string { return l.message }

// String returns the line for a person: time, source, message and the fields that
// hold something, by name.
func (l Line) String() string {
	var names []string
	for name, v := range l.fields {
		if v != "" && v != 0.0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.UTC().Format("15:04:05.000"), l.source, l.message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

const (
	// longestLine bounds a log line in bytes.
	maxLineBytes = 1 << 20

	fieldTime    = "time"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldRequest = "request"
	fieldTarget  = "target"

	fieldPassed = "passed_over"
)

// beliefPrefixes open the lines that tell what a box believes of targets.
var targetEventPrefixes = []string{"follow: ", "balance: A target "}

// tellsBelief reports whether the line tells what a box believes of targets.
func (l Line) isTargetEvent() bool {
	return slices.ContainsFunc(targetEventPrefixes, func(p string) bool { return strings.HasPrefix(l.message, p) })
}

// passedOver returns the targets that the line says a request was not offered to: the first
// word of each entry.
func (l Line) passedOver() (targets []any) {
	list, _ := l.fields[fieldPassed].([]any)
	for _, entry := range list {
		text, _ := entry.(string)
		id, _, _ := strings.Cut(text, " ")
		targets = append(targets, id)
	}
	return targets
}

// Story reads log lines and returns those about the request, and those that tell
// what its boxes believed of its targets, in order of time. Lines that are no JSON
// are passed over. The error is that of the reader.
func RequestLines(r io.Reader, request string) (selected []Line, err error) {
	lines, err := read(r)
	if err != nil {
		return nil, err
	}
	targets := make(map[any]bool)
	boxes := make(map[string]bool)
	for _, l := range lines {
		if l.fields[fieldRequest] == request {
			targets[l.fields[fieldTarget]] = true
			for _, id := range l.passedOver() {
				targets[id] = true
			}
			boxes[boxOf(l.source)] = true
		}
	}
	delete(targets, "")
	delete(targets, nil)
	for _, l := range lines {
		isEvent := l.isTargetEvent() && targets[l.fields[fieldTarget]] && boxes[boxOf(l.source)]
		if l.fields[fieldRequest] == request || isEvent {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.at.Compare(b.at) })
	return selected, nil
}

// box returns the last word of what stood before a line: its box, where gathered
// logs name it.
func boxOf(source string) string {
	words := strings.Fields(source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func read(r io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "explain: read")
}

// parse reads one line, which may have something before its JSON.
func parse(text string) (l Line, ok bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	at, ok := fields[fieldTime].(float64)
	if !ok {
		return Line{}, false
	}
	message, ok := fields[fieldMessage].(string)
	if !ok {
		return Line{}, false
	}
	for _, name := range []string{fieldTime, fieldMessage, fieldLevel} {
		delete(fields, name)
	}
	return Line{
		at:      time.UnixMilli(int64(at)),
		source:  strings.TrimSpace(text[:start]),
		message: message,
		fields:  fields,
	}, true
}
