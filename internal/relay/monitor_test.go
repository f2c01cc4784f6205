package relay_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/relay"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// TestMonitor checks what makes a box regard itself as cut off, and what it does not mistake for
// that: a target that nobody reaches, one that is silent for a moment, and its own slowness.
func TestMonitor(t *testing.T) {
	type step struct {
		// failed, connected and relayed are addresses; pass is time that passes afterwards.
		failed, connected, relayed string
		pass                       time.Duration
	}
	cases := map[string]struct {
		steps []step
		// cutOff, doubtful and usesRelay are the state at the end, the last one for target "a".
		cutOff, doubtful, usesRelay bool
	}{
		"nothing yet":                       {nil, false, false, false},
		"a dead target":                     {[]step{{failed: "a"}, {failed: "a"}, {failed: "a"}}, false, false, false},
		"two dead targets":                  {[]step{{failed: "a"}, {failed: "b"}}, false, true, false},
		"two dead targets, a third answers": {[]step{{failed: "a"}, {failed: "b"}, {connected: "c"}}, false, false, false},
		"one target out of reach":           {[]step{{failed: "a"}, {relayed: "a"}}, false, false, true},
		"out of reach a while ago":          {[]step{{failed: "a"}, {relayed: "a", pass: 3 * time.Second}}, false, false, false},
		"two targets out of reach":          {[]step{{failed: "a"}, {relayed: "a"}, {failed: "b"}, {relayed: "b"}}, true, true, true},
		"the relay is faster":               {[]step{{relayed: "b"}, {relayed: "c"}, {failed: "b"}, {failed: "c"}}, true, true, true},
		"slow, not cut off":                 {[]step{{relayed: "a"}, {connected: "a"}, {relayed: "b"}, {connected: "b"}}, false, false, false},
		"other targets answer in between":   {[]step{{failed: "a"}, {relayed: "a"}, {connected: "c"}, {failed: "b"}, {relayed: "b"}}, false, false, false},
		"failures far apart":                {[]step{{failed: "a"}, {relayed: "a", pass: 3 * time.Second}, {failed: "b"}, {relayed: "b"}}, false, false, false},
		"one connection is no recovery":     {[]step{{failed: "a"}, {relayed: "a"}, {failed: "b"}, {relayed: "b"}, {connected: "c"}}, true, true, true},
		"connections that flap":             {[]step{{failed: "a"}, {relayed: "a"}, {failed: "b"}, {relayed: "b"}, {connected: "c"}, {failed: "d"}, {connected: "c"}}, true, true, true},
		"recovered":                         {[]step{{failed: "a"}, {relayed: "a"}, {failed: "b"}, {relayed: "b"}, {connected: "c"}, {connected: "d"}}, false, false, false},
		"stays cut off without news":        {[]step{{failed: "a"}, {relayed: "a"}, {failed: "b"}, {relayed: "b", pass: time.Minute}}, true, true, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(time.Unix(1000, 0))
			told := 0
			m := &relay.Monitor{Clock: manual, Log: quiet, OnCutOff: func() { told++ }}
			for _, s := range tc.steps {
				switch {
				case s.failed != "":
					m.Failed(s.failed)
				case s.connected != "":
					m.Connected(s.connected)
				default:
					m.Relayed(s.relayed)
				}
				manual.Advance(s.pass)
			}
			quicktest.Check(t, m.IsCutOff(), quicktest.Equals, tc.cutOff)
			quicktest.Check(t, m.IsDoubtful(), quicktest.Equals, tc.doubtful)
			quicktest.Check(t, m.UsesRelay("a"), quicktest.Equals, tc.usesRelay)
			if tc.cutOff {
				quicktest.Check(t, told, quicktest.Equals, 1)
			}
		})
	}
}
