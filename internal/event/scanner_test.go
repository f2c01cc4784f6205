package event_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/event"
)

const (
	// maxSkipped is how much may lie between two events that the caller lacks.
	maxSkipped = 1 << 20
	// shortBytes is the length of bodies that are split at each offset. Longer ones are split at some
	// offsets only, since each split scans the whole body.
	shortBytes = 4 << 10
	// splitStep is prime, so that splits of long bodies fall on different offsets of their lines.
	splitStep = 400009
)

type scanCase struct {
	last    string // last is the id of the last event that the caller has.
	framed  bool
	body    string
	fresh   string
	dropped int
	err     error
}

var scanCases = map[string]scanCase{
	"empty":               {},
	"own events":          {body: events(1, 3), fresh: events(1, 3)},
	"own events, framed":  {framed: true, body: events(1, 3), fresh: events(1, 3)},
	"own events, resumed": {last: "4", body: events(5, 7), fresh: events(5, 7)},
	"unfinished event":    {body: events(1, 2) + "id: 3\ndata: x\n", fresh: events(1, 2)},
	"unfinished line":     {body: events(1, 2) + "id: 3", fresh: events(1, 2)},
	"no space before id":  {body: "id:1\n\n", fresh: "id:1\n\n"},
	"id behind data":      {body: "data: x\nid: 1\n\n", fresh: "data: x\nid: 1\n\n"},
	"last id counts":      {last: "1", body: "id: 1\nid: 2\n\n" + events(3, 3), fresh: "id: 1\nid: 2\n\n" + events(3, 3)},

	"repeated, framed":                {framed: true, body: events(1, 3) + events(1, 4), fresh: events(1, 4), dropped: 3},
	"repeated, unframed":              {body: events(1, 3) + events(1, 4), fresh: events(1, 3), err: event.ErrSurplus},
	"repeated at once, framed":        {framed: true, body: events(1, 1) + events(1, 1) + events(2, 2), fresh: events(1, 2), dropped: 1},
	"repeated at once, unframed":      {body: events(1, 1) + events(1, 1), fresh: events(1, 1), err: event.ErrSurplus},
	"repeated behind comment, framed": {framed: true, body: events(1, 2) + ": c\n\n" + events(2, 3), fresh: events(1, 3), dropped: 1},
	"repeated with comment, framed":   {framed: true, body: events(1, 2) + ": c\n" + events(2, 3), fresh: events(1, 3), dropped: 1},
	"back, framed":                    {framed: true, body: events(1, 3) + events(2, 2) + events(4, 4), fresh: events(1, 4), dropped: 1},
	"back, unframed":                  {body: events(1, 3) + events(2, 2) + events(4, 4), fresh: events(1, 3), err: event.ErrSurplus},
	"back below the caller, unframed": {last: "5", body: events(4, 5) + events(3, 6), dropped: 2, err: event.ErrSurplus},

	"comments between events": {body: ": c\n\n" + events(1, 1) + ": c\n: d\n\n" + events(2, 2), fresh: events(1, 2)},
	"comment in event":        {body: ": c\n" + events(1, 1), fresh: ": c\n" + events(1, 1)},
	"comments only":           {body: ": c\n\n:\n\n"},
	"blank lines":             {body: "\n\n" + events(1, 1) + "\n\n\n" + events(2, 2) + "\n", fresh: events(1, 2)},

	"head of another answer":           {body: events(1, 2) + otherAnswer, fresh: events(1, 2), err: event.ErrNextAnswer},
	"head of another answer, framed":   {framed: true, body: events(1, 2) + otherAnswer, fresh: events(1, 2), err: event.ErrNextAnswer},
	"head of another answer at once":   {body: otherAnswer, err: event.ErrNextAnswer},
	"head of another answer cut short": {body: events(1, 2) + "HTTP/1.1 200", fresh: events(1, 2)},
	"head of another answer in event":  {body: "id: 1\n" + otherAnswer, err: event.ErrSurplus},
	"bytes that are none":              {body: events(1, 2) + "\x00\xff{}\n\n" + events(3, 3), fresh: events(1, 2), err: event.ErrSurplus},
	"text that is none":                {body: events(1, 2) + "Internal error\n\n", fresh: events(1, 2), err: event.ErrSurplus},
	"event without id":                 {body: events(1, 1) + "data: x\n\n" + events(2, 2), fresh: events(1, 1), err: event.ErrSurplus},
	"event without id, framed":         {framed: true, body: events(1, 1) + "data: x\n\n" + events(2, 2), fresh: events(1, 2)},
	"text that is none, framed":        {framed: true, body: events(1, 1) + "Internal error\n\n", fresh: events(1, 1), err: event.ErrSurplus},
	"id without value":                 {body: "id\n\n", err: event.ErrSurplus},
	"id that is text":                  {body: events(1, 1) + "id: b\n\n", fresh: events(1, 1), err: event.ErrSurplus},
	"negative id":                      {body: "id: -1\n\n", err: event.ErrSurplus},
	"id beyond 64 bits":                {body: "id: 18446744073709551616\n\n", err: event.ErrSurplus},
	"field in upper case":              {body: "ID: 1\n\n", err: event.ErrSurplus},
	"extra fields":                     {body: "id: 1\nversions: 2\nx-y_2: z\n\n", fresh: "id: 1\nversions: 2\nx-y_2: z\n\n"},

	"CRLF at ends of fields": {body: "id: 1\r\ndata: x\r\n\n", fresh: "id: 1\r\ndata: x\r\n\n"},
	"CRLF as blank line":     {body: "id: 1\r\ndata: x\r\n\r\n", err: event.ErrSurplus},

	"gap on resumption":                 {last: "4", body: events(6, 7), err: event.ErrGap},
	"gap on resumption, framed":         {last: "4", framed: true, body: events(6, 7), err: event.ErrGap},
	"gap behind older events":           {last: "4", body: events(2, 3) + events(6, 6), dropped: 2, err: event.ErrGap},
	"ids that skip":                     {body: event10 + event20, fresh: event10 + event20},
	"ids that skip, resumed":            {last: "9", body: event10 + event20, fresh: event10 + event20},
	"repeats the last and goes on":      {last: "4", body: events(4, 6), fresh: events(5, 6), dropped: 1},
	"repeats the last and skips":        {last: "10", body: event10 + event20, fresh: event20, dropped: 1},
	"repeats all and goes on":           {last: "4", body: events(1, 6), fresh: events(5, 6), dropped: 4},
	"repeats all":                       {last: "4", body: events(1, 4), dropped: 4},
	"id of the caller that is text":     {last: "a", body: events(7, 8), fresh: events(7, 8)},
	"highest id":                        {last: "18446744073709551614", body: "id: 18446744073709551615\n\n", fresh: "id: 18446744073709551615\n\n"},
	"beyond the highest id, framed":     {last: "18446744073709551615", framed: true, body: events(0, 1), dropped: 2},
	"beyond the highest id, from below": {last: "18446744073709551615", body: "id: 18446744073709551615\n\n" + events(0, 0), dropped: 1, err: event.ErrSurplus},

	"long event":                {body: longEvent, fresh: longEvent},
	"comments within bounds":    {body: longComments + events(1, 1), fresh: events(1, 1)},
	"comments after each event": {body: longComments + events(1, 1) + longComments + events(2, 2), fresh: events(1, 2)},
	"endless comments":          {body: events(1, 1) + strings.Repeat(": c\n\n", maxSkipped/5+1) + events(2, 2), fresh: events(1, 1), err: event.ErrTooLong},
	"endless comment":           {body: events(1, 1) + strings.Repeat(": c\n", event.MaxBytes), fresh: events(1, 1), err: event.ErrTooLong},
	"endless blank lines":       {body: strings.Repeat("\n", maxSkipped+1), err: event.ErrTooLong},
	"endless line":              {body: events(1, 1) + "id: 2\ndata: " + strings.Repeat("x", event.MaxBytes), fresh: events(1, 1), err: event.ErrTooLong},
	"endless line that is none": {body: strings.Repeat("\x00", event.MaxBytes+1) + "\n", err: event.ErrTooLong},
	"endless event":             {body: events(1, 1) + "id: 2\n" + strings.Repeat("data: x\n", event.MaxBytes/8) + "\n", fresh: events(1, 1), err: event.ErrTooLong},
	"endless repetition":        {framed: true, body: events(1, 1) + strings.Repeat("id: 1\n\n", maxSkipped/7+9), fresh: events(1, 1), dropped: maxSkipped/7 + 1, err: event.ErrTooLong},
}

const (
	otherAnswer = "HTTP/1.1 200 OK\r\nId: other\r\n\r\nid: 3\ndata: other\n\n"
	event10     = "id: 10\ndata: x\n\n"
	event20     = "id: 20\ndata: x\n\n"
)

// longComments are comments within bounds, twice as many are not.
var longComments = strings.Repeat(": c\n\n", maxSkipped/5)

// longEvent is an event of event.MaxBytes.
var longEvent = "id: 1\ndata: " + strings.Repeat("x", event.MaxBytes-len("id: 1\ndata: \n\n")) + "\n\n"

// events returns the events with the ids.
func events(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", id)
	}
	return text.String()
}

// outcome is what a caller of a Scanner sees of a body.
type outcome struct {
	fresh             string
	count, dropped    int
	inside, hasEvents bool
	cursor            event.Cursor
	err               error
}

// progress counts what a Scanner has taken in, in bytes.
type progress struct {
	idle, held int // idle is counted since the last fresh event, held since a read last ended between events.
	longest    int // longest is the length of the longest read.
}

// check fails if an event, or what lies between two of them, grows without bound.
func (p progress) check(t *testing.T, read, fresh, count int, err error) {
	t.Helper()
	switch {
	case fresh > p.held:
		t.Fatalf("%d bytes of events out of %d", fresh, p.held)
	case err != nil:
	case p.longest == 1 && p.held > event.MaxBytes:
		t.Fatalf("%d bytes of an event without an end", p.held)
	case count == 0 && p.idle > maxSkipped+event.MaxBytes+read:
		t.Fatalf("%d bytes without an event", p.idle)
	}
}

// scan scans the reads and checks what holds for all of them: nothing follows an error, and neither an
// event nor what lies between two grows without bound.
func scan(t *testing.T, cursor event.Cursor, framed bool, reads ...[]byte) outcome {
	t.Helper()
	var got outcome
	var fresh strings.Builder
	var p progress
	s := &event.Scanner{Cursor: &cursor, Framed: framed}
	for _, read := range reads {
		text, count, err := s.Scan(read)
		if got.err != nil && (len(text) > 0 || count > 0 || err != got.err) {
			t.Fatalf("%d events and error %v after error %v", count, err, got.err)
		}
		p.idle, p.held, p.longest = p.idle+len(read), p.held+len(read), max(p.longest, len(read))
		p.check(t, len(read), len(text), count, err)
		fresh.Write(text)
		got.count, got.err = got.count+count, err
		if count > 0 {
			p.idle = 0
		}
		if !s.IsInside() {
			p.held = 0
		}
	}
	return outcome{fresh.String(), got.count, s.Dropped(), s.IsInside(), s.HasEvents(), cursor, got.err}
}

// bytewise returns reads of one byte each.
func bytewise(body []byte) [][]byte {
	reads := make([][]byte, len(body))
	for i := range body {
		reads[i] = body[i : i+1]
	}
	return reads
}

// splits returns the offsets at which a body is split into two reads, for long bodies some and those
// at the bounds.
func splits(body []byte) []int {
	step := 1
	if len(body) > shortBytes {
		step = splitStep
	}
	var offsets []int
	for i := 1; i < len(body); i += step {
		offsets = append(offsets, i)
	}
	if step == 1 {
		return offsets
	}
	for _, bound := range []int{event.MaxBytes, maxSkipped, len(body) - 1} {
		for i := bound - 1; i <= min(bound+1, len(body)-1); i++ {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

// TestScanner guards against bytes that are passed on or dropped depending on how reads split them.
func TestScanner(t *testing.T) {
	for name, tc := range scanCases {
		t.Run(name, func(t *testing.T) {
			body, cursor := []byte(tc.body), event.ParseCursor(tc.last)
			whole := scan(t, cursor, tc.framed, body)
			quicktest.Check(t, whole.fresh, quicktest.Equals, tc.fresh)
			quicktest.Check(t, whole.count, quicktest.Equals, strings.Count(tc.fresh, "\n\n"))
			quicktest.Check(t, whole.dropped, quicktest.Equals, tc.dropped)
			for _, target := range []error{event.ErrSurplus, event.ErrNextAnswer, event.ErrGap, event.ErrTooLong} {
				quicktest.Check(t, eris.Is(whole.err, target), quicktest.Equals, eris.Is(tc.err, target), quicktest.Commentf("%v is %v", whole.err, target))
			}
			quicktest.Check(t, scan(t, cursor, tc.framed, bytewise(body)...) == whole, quicktest.IsTrue, quicktest.Commentf("byte by byte"))
			for _, i := range splits(body) {
				got := scan(t, cursor, tc.framed, body[:i], body[i:])
				quicktest.Assert(t, got == whole, quicktest.IsTrue, quicktest.Commentf("split at %d", i))
			}
		})
	}
}

// TestScannerAfterError guards against events that are passed on behind bytes of another answer.
func TestScannerAfterError(t *testing.T) {
	for name, tc := range scanCases {
		if tc.err == nil {
			continue
		}
		t.Run(name, func(t *testing.T) {
			got := scan(t, event.ParseCursor(tc.last), tc.framed, []byte(tc.body), []byte("\n\n"), []byte(events(1000, 1001)))
			quicktest.Check(t, got.fresh, quicktest.Equals, tc.fresh)
			quicktest.Check(t, eris.Is(got.err, tc.err), quicktest.IsTrue)
		})
	}
}
