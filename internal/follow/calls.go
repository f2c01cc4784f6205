package follow

// Calls is how many calls to the store a follower has made for one reason, and with
// which outcome.
type CallCount struct {
	// Duty is what the box read for others when it called.
	Role ReaderRole
	// Failed is set for calls that were not answered, or refused.
	Failed bool
	Count  int64
}

// callKinds is one count for each duty and outcome.
type callCounts [RolePassive + 1][2]int64

// count notes a call.
func (f *Follower) countCall(role ReaderRole, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := 0
	if err != nil {
		failed = 1
	}
	f.calls[role][failed]++
}

// Calls returns how many calls to the store were made, by reason and outcome.
func (f *Follower) CallCounts() []CallCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []CallCount
	for d, outcomes := range f.calls {
		for failed, n := range outcomes {
			list = append(list, CallCount{Role: ReaderRole(d), Failed: failed == 1, Count: n})
		}
	}
	return list
}
