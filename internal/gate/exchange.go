package gate

import (
	"net/http"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/config"
)

// Exchange is one request on its way through the stages. It is used by one
// goroutine at a time.
type Exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	view    *config.View
	started time.Time

	account config.Account
	class   config.Class
	prompt  prompt
	service string // service is set for a call of a plain service.
	path    string // path is what the target is asked for.

	deadline       time.Time
	repeatable     bool
	key            string // key is the caller's idempotency key.
	answer         *answer
	attemptOutcome barleystep.Outcome // targetState is what the attempts have come to.
	outcome        barleystep.Outcome // outcome is what another box has said of the request.
}

// ID returns the id of the request.
func (x *Exchange) ID() string { return x.id }

// isService reports whether the exchange is a call of a plain service.
func (x *Exchange) isService() bool { return x.service != "" }
