// Package fleet holds what a box needs to route requests: the operator's configuration and the
// available targets. All types are plain data; View is an immutable index over the configuration.
package fleet

import (
	"time"

	"github.com/barleystep/barleystep"
)

// Kind is how requests of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// KindOnce marks requests that run at most once.
	KindOnce Kind = iota
	// KindRepeatable marks requests that may run any number of times.
	KindRepeatable
	// KindStream marks requests that are answered by a stream of events. They run at most once
	// unless the route is resumable.
	KindStream
)

// String returns the kind's name for logs and metric attributes.
func (k Kind) String() string { return [...]string{"once", "repeatable", "stream"}[k] }

// Configuration is one version of the operator's settings.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts are the client accounts. If it is nil, no request needs a key; if it is empty, no key is
	// valid.
	Accounts []Account
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is held.
	Timeout time.Duration
	// Objective is the latency objective for an answer, or for a stream's first event.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that meets its objective.
	MaxPause time.Duration
	// Priority ranks routes; 0 goes first.
	Priority int
	// Split divides the route's requests among services by weight.
	Split []Share
	// MaxTries is the largest number of targets that one request is sent to.
	MaxTries int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another target.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// Cost models the speed of the service's model engines; nil for plain services.
	Cost *CostModel
	// ColdLimit is the rate that a cold target of the service accepts; unset if its targets are
	// never cold.
	ColdLimit barleystep.RateLimit
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	IdleTimeout time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Target is a target as its record describes it.
type Target struct {
	ID      barleystep.TargetID
	Service string
	// Addr is the IP address and port.
	Addr  string
	Hall  barleystep.HallID
	Slots int
	// Draining targets finish their requests and are about to end.
	Draining bool
	// Evacuated is set while the target's hall is evacuated: the target finishes its requests and
	// gets no others.
	Evacuated bool
	// ColdFor is how much longer the target is cold by its record, and ColdUntil when it is warm by
	// the clock of this box. Both are zero if it is warm.
	ColdFor   time.Duration
	ColdUntil time.Time
	// StartMS is when the target started, by its own clock, in Unix milliseconds; zero if unknown.
	// It tells incarnations under one id apart but does not order them: a clock may be set back.
	StartMS int64
}

// TakesRequests reports whether the target may get further requests.
func (t Target) TakesRequests() bool { return !t.Draining && !t.Evacuated }

// Restarted reports whether the target has restarted under its id since it had the given start
// time. It is false if either time is zero.
func (t Target) Restarted(startMS int64) bool {
	return startMS != 0 && t.StartMS != 0 && t.StartMS != startMS
}
