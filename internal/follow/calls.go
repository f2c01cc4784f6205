package follow

// CallCount is the number of calls to the store that a follower has made in one role and with
// one outcome.
type CallCount struct {
	// Role is the box's role when it made the calls.
	Role ReaderRole
	// Failed is set for calls that were refused or got no answer.
	Failed bool
	Count  int64
}

// callCounts holds one count for each role and outcome.
type callCounts [RolePassive + 1][2]int64

// countCall counts a call.
func (f *Follower) countCall(role ReaderRole, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := 0
	if err != nil {
		failed = 1
	}
	f.calls[role][failed]++
}

// CallCounts returns the number of calls to the store by role and outcome.
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
