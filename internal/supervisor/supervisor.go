// Package supervisor creates the supervisor trees that all programs run.
package supervisor

import (
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
)

const logPrefix = "supervisor: "

// New returns a supervisor that logs its events, and that waits for its services for the grace
// period when it stops.
func New(name string, l *log.Logger, grace time.Duration) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) {
			l.Warn().Str("event", e.String()).Msg(logPrefix + "A service ended. It is restarted or backs off.")
		},
		Timeout: grace,
	})
}
