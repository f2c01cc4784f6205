package relay

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestEndOfResetConnection guards against relays that pass on the end of a connection that was reset as a
// regular one: the reset may only show in what is sent to the target.
func TestEndOfResetConnection(t *testing.T) {
	frame := "\x00\x04part"
	cases := map[string]struct {
		failed bool
		want   string
	}{
		"regular": {false, frame + "\x00\x00"},
		"reset":   {true, frame},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var box bytes.Buffer
			err := sendFrames(&box, strings.NewReader("part"), func() bool { return tc.failed })
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, box.String(), quicktest.Equals, tc.want)
		})
	}
}
