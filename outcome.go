package barleystep

// Outcome tells what became of a request. Every answer carries one.
type Outcome uint8

// Outcomes of a request. OutcomePending is never sent to a caller; it is the zero value, for
// requests that are still in progress.
const (
	// OutcomePending means that there is no final answer yet.
	OutcomePending Outcome = iota
	// OutcomeNotRun means that no target started the request and none will.
	OutcomeNotRun
	// OutcomeDone means that the complete answer was produced.
	OutcomeDone
	// OutcomeFailed means that the request was started but ended without a complete answer.
	OutcomeFailed
	// OutcomeUnknown means that the request may have run and that it cannot be determined
	// whether it did.
	OutcomeUnknown
)

var outcomeNames = [...]string{"pending", "not-run", "done", "failed", "unknown"}

// String returns the name on the wire, such as "not-run".
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// ParseOutcome returns the outcome with the given wire name; ok is false for any other text.
func ParseOutcome(name string) (o Outcome, ok bool) {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i), true
		}
	}
	return OutcomePending, false
}
