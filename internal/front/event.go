package front

import (
	"bytes"
	"strconv"
)

var (
	eventDelimiter = []byte("\n\n")
	idField        = []byte("id:")
)

// lastEventEnd returns the offset of the end of the last complete event in data, 0 if there is
// none.
func lastEventEnd(data []byte) int {
	i := bytes.LastIndex(data, eventDelimiter)
	if i < 0 {
		return 0
	}
	return i + len(eventDelimiter)
}

// firstEventEnd returns the offset of the end of the first event in data.
func firstEventEnd(data []byte) int {
	i := bytes.Index(data, eventDelimiter)
	if i < 0 {
		return len(data)
	}
	return i + len(eventDelimiter)
}

// lastEventID returns the last event id in complete events, empty if there is none.
func lastEventID(events []byte) string {
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		line := events[start:end]
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		end = start
	}
	return ""
}

// isAtOrBefore reports whether the event id equals other or precedes it. Non-numeric ids are only
// compared for equality.
func isAtOrBefore(id, other string) bool {
	a, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return id == other
	}
	b, err := strconv.ParseUint(other, 10, 64)
	if err != nil {
		return id == other
	}
	return a <= b
}
