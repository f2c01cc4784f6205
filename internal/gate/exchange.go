package gate

import (
	"net/http"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/config"
)

// Exchange is the state of one request in the pipeline. It is used by one goroutine at a time.
type Exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	view    *config.View
	started time.Time

	account config.Account
	class   config.Class
	prompt  prompt
	service string // service is the plain service that is called; empty for a prompt.
	path    string // path is the path and query sent to the target.

	deadline       time.Time
	repeatable     bool
	key            string // key is the caller's idempotency key.
	answer         *answer
	attemptOutcome barleystep.Outcome // attemptOutcome is the outcome of the attempts so far.
	outcome        barleystep.Outcome // outcome is the outcome reported by the box that the request was forwarded to.
}

// ID returns the id of the request.
func (x *Exchange) ID() string { return x.id }

// isService reports whether the exchange is a call of a plain service.
func (x *Exchange) isService() bool { return x.service != "" }
