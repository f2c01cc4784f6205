// Package fleet holds what a box must know to route requests: the operator's
// configuration and the targets that are there. All types are plain data; View
// is an index over them that never changes.
package fleet

import (
	"time"

	"github.com/barleystep/barleystep"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// KindOnce marks requests that run at most once.
	KindOnce Kind = iota
	// KindRepeatable marks requests that may run any number of times.
	KindRepeatable
	// KindStream marks requests that are answered by a stream of events. They
	// run at most once unless the route is resumable.
	KindStream
)

// String returns the kind's name for logs and metric attributes.
func (k Kind) String() string { return [...]string{"once", "repeatable", "stream"}[k] }

// Configuration is one version of what the operator set.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts are the client accounts; without any, no request needs a key.
	Accounts []Account
}

// Route says what becomes of the requests of a host below a path.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// is in time.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is in time.
	MaxPause time.Duration
	// Priority ranks routes, 0 first.
	Priority int
	// Split shares the route's requests between services by weight.
	Split []Share
	// MaxSends is the largest number of targets that one request is sent to.
	MaxTries int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
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

// Service is a group of targets that do the same.
type Service struct {
	Name string
	// Cost tells how model engines spend their time; nil for plain services.
	Cost *CostModel
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// Idle is how long a connection may rest between requests.
	IdleTimeout time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Target is one target as it announced itself.
type Target struct {
	ID      barleystep.TargetID
	Service string
	// Addr is the IP and port.
	Addr  string
	Hall  barleystep.HallID
	Slots int
	// Draining targets finish what they have and are about to end.
	Draining bool
	// Born is when the target started by its own clock, in Unix milliseconds; zero if it
	// does not say. It tells the lifetimes under one id apart and does not order them: a
	// clock may step.
	StartMS int64
}

// Restarted reports whether the target lives anew under its id since it was known to be born
// at the given time. Where either is zero, nothing says so.
func (t Target) Restarted(born int64) bool {
	return born != 0 && t.StartMS != 0 && t.StartMS != born
}
