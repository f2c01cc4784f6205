package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/explain"
)

// ended returns the line of a stream that ran at the target i-1 from second 2 to 4.
func ended(fields string) string {
	return `a {"time":4000,"request":"r","target":"i-1","route":"short","objective":300,"max_pause":250,"took":2000,` +
		fields + `,"message":"front: A request ended."}`
}

// split returns the line of a prompt that i-8 and two other targets processed together.
func split(millis int, helpers string) string {
	return fmt.Sprintf(`b {"time":%d,"request":"q","target":"i-8","helpers":[%s],"message":"front: Several targets read the prompt."}`, millis, helpers)
}

func TestLossesByRoute(t *testing.T) {
	alone := `b {"time":3900,"request":"q","target":"i-1","route":"long","objective":3000,"max_pause":1000,"took":900,"expected":2000,"first":800,"message":"front: A request ended."}`
	cases := map[string]struct {
		lines []string
		want  explain.Cause
	}{
		"in time":               {[]string{ended(`"first":100,"pause":60`)}, ""},
		"refused":               {[]string{ended(`"reason":"queue_full"`)}, "queue_full"},
		"waited":                {[]string{ended(`"first":400,"queued":300`)}, explain.CauseQueueing},
		"slow":                  {[]string{ended(`"first":400,"queued":3`)}, explain.CauseSlowFirstEvent},
		"moved":                 {[]string{ended(`"first":100,"pause":900,"sends":2`)}, explain.CauseResumed},
		"part":                  {[]string{ended(`"first":100,"pause":900`), split(3000, `"i-2","i-1"`)}, explain.CausePromptPart},
		"part at other targets": {[]string{ended(`"first":100,"pause":900`), split(3000, `"i-2","i-3"`)}, explain.CauseOther},
		"part long before":      {[]string{ended(`"first":100,"pause":900`), split(-1000, `"i-2","i-1"`)}, explain.CauseOther},
		"part afterwards":       {[]string{ended(`"first":100,"pause":900`), split(4001, `"i-2","i-1"`)}, explain.CauseOther},
		"whole long prompt":     {[]string{ended(`"first":100,"pause":900`), alone}, explain.CauseLongPrompt},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			list, err := explain.LossesByRoute(strings.NewReader(strings.Join(tc.lines, "\n")))
			c.Assert(err, quicktest.IsNil)
			short := list[len(list)-1]
			c.Check(short.Route(), quicktest.Equals, "short")
			c.Check(short.Streams(), quicktest.Equals, 1)
			want := map[explain.Cause]int{}
			if tc.want != "" {
				want[tc.want] = 1
				c.Check(strings.HasSuffix(short.String(), string(tc.want)), quicktest.IsTrue)
			}
			c.Check(short.Causes(), quicktest.DeepEquals, want)
		})
	}
}
