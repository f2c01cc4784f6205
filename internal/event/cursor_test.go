package event_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/event"
)

func TestParseCursor(t *testing.T) {
	cases := map[string]struct {
		id, want string
	}{
		"empty":          {"", ""},
		"text":           {"a", ""},
		"number in text": {"7a", ""},
		"white space":    {" 7", ""},
		"negative":       {"-1", ""},
		"zero":           {"0", "0"},
		"number":         {"7", "7"},
		"leading zero":   {"07", "7"},
		"highest":        {"18446744073709551615", "18446744073709551615"},
		"beyond 64 bits": {"18446744073709551616", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cursor := event.ParseCursor(tc.id)
			quicktest.Check(t, cursor.ID(), quicktest.Equals, tc.want)
			quicktest.Check(t, cursor.IsSet(), quicktest.Equals, tc.want != "")
		})
	}
}

// TestCursorOverAnswers guards against a gap between answers that is taken for one within the stream,
// and against a stream whose ids skip that no further answer can continue.
func TestCursorOverAnswers(t *testing.T) {
	cases := map[string]struct {
		first, second, fresh string
		err                  error
	}{
		"continued":            {events(1, 2), events(3, 4), events(3, 4), nil},
		"repeated":             {events(1, 2), events(1, 4), events(3, 4), nil},
		"gap":                  {events(1, 2), events(4, 4), "", event.ErrGap},
		"gap at first event":   {events(5, 5), events(7, 7), "", event.ErrGap},
		"ids that skip":        {events(1, 1) + event10, event20, event20, nil},
		"repeated, then skips": {event10, events(10, 10) + event20, event20, nil},
		"no event yet":         {": c\n\n", event10, event10, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			first := scan(t, event.Cursor{}, true, []byte(tc.first))
			quicktest.Assert(t, first.err, quicktest.IsNil)
			second := scan(t, first.cursor, true, []byte(tc.second))
			quicktest.Check(t, second.fresh, quicktest.Equals, tc.fresh)
			quicktest.Check(t, second.err, quicktest.Equals, tc.err)
		})
	}
}
