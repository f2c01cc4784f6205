package barleystep

// Outcome says what became of a request. It is part of every answer.
type Outcome uint8

// The outcomes a caller may be told. OutcomePending is never sent: it is the
// zero value of a request that is still being worked on.
const (
	// OutcomePending means that no final answer exists yet.
	OutcomePending Outcome = iota
	// OutcomeNotRun means that no target started the request and none will.
	OutcomeNotRun
	// OutcomeDone means that the whole answer was produced.
	OutcomeDone
	// OutcomeFailed means that the request was started and ended without a
	// whole answer.
	OutcomeFailed
	// OutcomeUnknown means that the request may have run, and that nobody can
	// tell whether it did.
	OutcomeUnknown
)

var outcomeNames = [...]string{"pending", "not-run", "done", "failed", "unknown"}

// String returns the name that is used on the wire, such as "not-run".
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// ParseOutcome returns the outcome with the given wire name; ok is false for
// any other text.
func ParseOutcome(name string) (o Outcome, ok bool) {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i), true
		}
	}
	return OutcomePending, false
}
