package keeper

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// Lease is the row that says which box gives orders in a hall. Its token grows
// with every holder, and goes with every order.
type Lease struct {
	Holder      barleystep.BoxID       `json:"holder"`
	Incarnation barleystep.Incarnation `json:"incarnation"`
	Token       int64                  `json:"token"`
	Until       time.Time              `json:"until"`
}

// Intent is the row that announces an order to a target that does not check
// fencing tokens. While it is open, its holder may send the order at any time,
// however late it wakes up.
type Intent struct {
	Holder      barleystep.BoxID       `json:"holder"`
	Incarnation barleystep.Incarnation `json:"incarnation"`
	Token       int64                  `json:"token"`
	Weights     string                 `json:"weights"`
	Open        bool                   `json:"open"`
}

// Step is what an issuer does next about one target.
type Step uint8

// The steps of an issuer.
const (
	// StepNothing leaves the target as it is.
	StepNone Step = iota
	// StepWait waits: the target still works, or another's order may yet come.
	StepWait
	// StepSend sends the order: the target checks its token.
	StepSend
	// StepIntend writes the intent.
	StepWriteIntent
	// StepSendIntended sends the order that the own open intent announces.
	StepSendIntended
	// StepClose closes the own intent: the target has what was ordered, or the
	// lease is lost and nothing more will be sent.
	StepCloseIntent
)

// Sight is what an issuer sees of one target.
type TargetState struct {
	Now time.Time
	// Self is the issuer with the lease that it holds.
	OwnLease Lease
	// Wanted and Loaded are the versions of the model.
	Wanted string
	Loaded string
	// Idle is set when the target is drained and holds no work.
	Drained bool
	// Checks is set for a target that refuses old fencing tokens.
	ChecksFence bool
	// Intent is the target's intent row, a zero value if there is none.
	Intent Intent
	// HolderGone is set when the intent's holder is known to have ended: another
	// incarnation of its box has started, or the platform no longer lists it.
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

// decideWithoutLease gives up what was announced: this box will not send it, and
// the next issuer waits for that word.
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
		panic(err) // Leases and intents have plain types.
	}
	return data
}
