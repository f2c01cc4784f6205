package keeper

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// Lease is the row that names the box that issues orders in a hall. Its fencing
// token increases with each new holder and is sent with every order.
type Lease struct {
	Holder      barleystep.BoxID       `json:"holder"`
	Incarnation barleystep.Incarnation `json:"incarnation"`
	Token       int64                  `json:"token"`
	Until       time.Time              `json:"until"`
}

// Intent is the row that is written before an order to a target that does not
// check fencing tokens. While it is open, its holder may send the order at any
// time, even after a long pause of its process.
type Intent struct {
	Holder      barleystep.BoxID       `json:"holder"`
	Incarnation barleystep.Incarnation `json:"incarnation"`
	Token       int64                  `json:"token"`
	Weights     string                 `json:"weights"`
	Open        bool                   `json:"open"`
}

// Step is the next action of an issuer for one target.
type Step uint8

// The steps of an issuer.
const (
	// StepNone does nothing.
	StepNone Step = iota
	// StepWait waits: the target still has work, or another issuer may yet send
	// its order.
	StepWait
	// StepSend sends the order without an intent, as the target checks the token.
	StepSend
	// StepWriteIntent writes the intent.
	StepWriteIntent
	// StepSendIntended sends the order of this issuer's own open intent.
	StepSendIntended
	// StepCloseIntent closes this issuer's own intent: the target has loaded
	// the ordered weights, or the lease is lost and no order will be sent.
	StepCloseIntent
)

// TargetState is the input of Decide for one target.
type TargetState struct {
	Now time.Time
	// OwnLease is the lease as this issuer last held it, with its box and
	// incarnation as the holder.
	OwnLease Lease
	// Wanted and Loaded are the configured and the loaded version of the weights.
	Wanted string
	Loaded string
	// Drained is set when the target is drained and has no work.
	Drained bool
	// ChecksFence is set for a target that refuses old fencing tokens.
	ChecksFence bool
	// Intent is the target's intent row; zero if there is none.
	Intent Intent
	// HolderEnded is set when the intent's holder is known to have ended: a later
	// incarnation of its box has started, or the box is dead and the platform no
	// longer lists it.
	HolderEnded bool
}

// Decide returns the next step. It is pure, and mirrors docs/spec/orders.pml.
func Decide(s TargetState) Step {
	switch {
	case !s.Now.Before(s.OwnLease.Until):
		return decideWithoutLease(s)
	case s.ChecksFence:
		return decideFenced(s)
	case s.Intent.Open && s.ownsIntent():
		return decideIntended(s)
	case s.Intent.Open && !s.HolderEnded:
		return StepWait
	case s.Loaded == s.Wanted:
		return StepNone
	case !s.Drained:
		return StepWait
	default:
		return StepWriteIntent
	}
}

// decideWithoutLease closes this issuer's open intent: the order will not be
// sent, and the next issuer waits until the intent is closed.
func decideWithoutLease(s TargetState) Step {
	if s.Intent.Open && s.ownsIntent() {
		return StepCloseIntent
	}
	return StepNone
}

func decideFenced(s TargetState) Step {
	switch {
	case s.Loaded == s.Wanted:
		return StepNone
	case !s.Drained:
		return StepWait
	default:
		return StepSend
	}
}

func decideIntended(s TargetState) Step {
	if s.Loaded == s.Intent.Weights {
		return StepCloseIntent
	}
	return StepSendIntended
}

func (s TargetState) ownsIntent() bool {
	return s.Intent.Holder == s.OwnLease.Holder && s.Intent.Incarnation == s.OwnLease.Incarnation
}

func decode[T any](r barleystep.Row) (v T, err error) {
	if !r.Exists() {
		return v, nil
	}
	if err = json.Unmarshal(r.Value(), &v); err != nil {
		return v, eris.Wrapf(err, "keeper: row %s", r.Key())
	}
	return v, nil
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Unreachable: leases and intents have only plain types.
	}
	return data
}
