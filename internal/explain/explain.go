// Package explain analyzes the log lines of routers. It selects the lines about one request,
// and finds out why streams were late or not served.
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

// Line is a log line.
type Line struct {
	at      time.Time
	source  string
	message string
	fields  map[string]any
}

// At returns the time of the line by the clock of its box.
func (l Line) At() time.Time { return l.at }

// Source returns the text before the JSON of the line, such as the name of the box in collected
// logs.
func (l Line) Source() string { return l.source }

// Message returns the message of the line.
func (l Line) Message() string { return l.message }

// String formats the line for people: time, source, message and the fields that are not empty
// or zero, sorted by name.
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
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20

	fieldTime    = "time"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldRequest = "request"
	fieldTarget  = "target"

	fieldPassed = "passed_over"
)

// targetEventPrefixes are the prefixes of messages about the state of targets.
var targetEventPrefixes = []string{"follow: ", "balance: A target "}

// isTargetEvent reports whether the line is about the state of a target.
func (l Line) isTargetEvent() bool {
	return slices.ContainsFunc(targetEventPrefixes, func(p string) bool { return strings.HasPrefix(l.message, p) })
}

// passedOver returns the targets that the line lists as not considered for the request: the
// first word of each entry.
func (l Line) passedOver() (targets []any) {
	list, _ := l.fields[fieldPassed].([]any)
	for _, entry := range list {
		text, _ := entry.(string)
		id, _, _ := strings.Cut(text, " ")
		targets = append(targets, id)
	}
	return targets
}

// RequestLines reads log lines and returns those about the request, together with those about
// the state of its targets from the boxes that handled it, in order of time. Lines that are not
// valid are skipped. An error is that of the reader.
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

// boxOf returns the last word of the text before a line, which is the name of the box in
// collected logs.
func boxOf(source string) string {
	words := strings.Fields(source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// read returns the valid lines.
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

// parse parses a line, which may have text before its JSON.
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
