package event_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/event"
)

// blockID returns the id that a caller reads from a block of lines, which is the last one in it.
func blockID(block string) (id uint64, ok bool) {
	for line := range strings.SplitSeq(block, "\n") {
		if value, isID := strings.CutPrefix(line, "id:"); isID {
			parsed, err := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
			id, ok = parsed, err == nil
		}
	}
	return id, ok
}

// hasID reports whether one of the blocks of a body has the id.
func hasID(body string, id uint64) bool {
	for block := range strings.SplitSeq(body, "\n\n") {
		if got, ok := blockID(block); ok && got == id {
			return true
		}
	}
	return false
}

// checkFresh compares events for a caller who has the one with the id start with what it is owed: whole
// blocks of the body in their order, with ids that rise from start, and none missing before the first.
func checkFresh(t *testing.T, body string, start uint64, got outcome) {
	t.Helper()
	last, count, rest := start, 0, body
	for block := range strings.SplitAfterSeq(got.fresh, "\n\n") {
		if block == "" {
			continue
		}
		quicktest.Assert(t, strings.HasSuffix(block, "\n\n"), quicktest.IsTrue, quicktest.Commentf("not whole: %q", block))
		id, ok := blockID(block)
		quicktest.Assert(t, ok, quicktest.IsTrue, quicktest.Commentf("without id: %q", block))
		quicktest.Assert(t, id > last, quicktest.IsTrue, quicktest.Commentf("%d after %d", id, last))
		before, after, found := strings.Cut(rest, block)
		quicktest.Assert(t, found, quicktest.IsTrue, quicktest.Commentf("not in the body: %q", block))
		if count == 0 && id != start+1 {
			quicktest.Assert(t, hasID(before, start), quicktest.IsTrue, quicktest.Commentf("%d joined to %d", id, start))
		}
		last, rest = id, after
		count++
	}
	quicktest.Assert(t, got.count, quicktest.Equals, count)
	quicktest.Assert(t, got.cursor.ID(), quicktest.Equals, strconv.FormatUint(last, 10))
}

// FuzzScanner guards against bytes that no caller is owed, and against reads that change the outcome.
func FuzzScanner(f *testing.F) {
	for _, tc := range scanCases {
		// Long bodies slow the search down.
		if start, _ := strconv.ParseUint(tc.last, 10, 64); len(tc.body) <= shortBytes {
			f.Add([]byte(tc.body), uint16(len(tc.body)/2), start, tc.framed)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, split uint16, start uint64, framed bool) {
		cursor := event.ParseCursor(strconv.FormatUint(start, 10))
		i := int(split) % (len(data) + 1)
		whole := scan(t, cursor, framed, data)
		quicktest.Assert(t, scan(t, cursor, framed, data[:i], data[i:]), quicktest.Equals, whole)
		quicktest.Assert(t, scan(t, cursor, framed, bytewise(data)...), quicktest.Equals, whole)
		checkFresh(t, string(data), start, whole)
		if whole.err != nil {
			more := scan(t, cursor, framed, data, []byte("\n\nid: 18446744073709551615\n\n"), data)
			quicktest.Assert(t, more.fresh, quicktest.Equals, whole.fresh)
		}
	})
}
