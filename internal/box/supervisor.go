package box

import (
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
)

const logPrefix = "box: "

// NewSupervisor returns a supervisor that logs its events and waits for its
// services for the grace when it stops.
func NewSupervisor(name string, l *log.Logger, grace time.Duration) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) {
			l.Warn().Str("event", e.String()).Msg(logPrefix + "Supervisor event.")
		},
		Timeout: grace,
	})
}
