package lab

// GroupResult is the outcome of the prompts of a priority or of a client account.
type GroupResult struct {
	SizeResult
	OfferedWorth float64
	ServedWorth  float64
}

// WorthRatio returns the served worth divided by the offered worth.
func (g GroupResult) WorthRatio() float64 { return g.ServedWorth / max(g.OfferedWorth, 1) }

// Add adds the results of another day, or of another group.
func (g *GroupResult) Add(o GroupResult) {
	g.Count += o.Count
	g.Served += o.Served
	g.InTime += o.InTime
	g.OfferedWorth += o.OfferedWorth
	g.ServedWorth += o.ServedWorth
}

// addGroups counts a prompt by its priority and by its account, and whether its caller came back.
func (r *Result) addGroups(q *request, k Kind, offered, served float64) {
	own := GroupResult{OfferedWorth: offered, ServedWorth: served}
	own.add(q, k)
	r.Priorities = addToGroup(r.Priorities, k.Priority, own)
	r.Accounts = addToGroup(r.Accounts, q.account, own)
	if !q.cameBack || q.tries < maxTries {
		return
	}
	r.Returned++
	if q.foundCapacity {
		r.FoundCapacity++
	}
}

// addToGroup adds to the group with this number and extends the list if necessary.
func addToGroup(list []GroupResult, number int, o GroupResult) []GroupResult {
	for len(list) <= number {
		list = append(list, GroupResult{})
	}
	list[number].Add(o)
	return list
}

// addMeasures adds what another day measured beside the outcome of prompts.
func (r *Result) addMeasures(o Result) {
	for i, g := range o.Priorities {
		r.Priorities = addToGroup(r.Priorities, i, g)
	}
	for i, g := range o.Accounts {
		r.Accounts = addToGroup(r.Accounts, i, g)
	}
	r.Windows = append(r.Windows, o.Windows...)
	r.Kills = append(r.Kills, o.Kills...)
	r.RefusedAtLowDemand += o.RefusedAtLowDemand
	r.Returned += o.Returned
	r.FoundCapacity += o.FoundCapacity
	r.SentToEvacuated += o.SentToEvacuated
	r.ColdPeak = max(r.ColdPeak, o.ColdPeak)
	r.Slow.add(o.Slow)
}

// UseWhenRefused returns the prefill time given to the engines in the windows in which long prompts
// were refused, as a part of the engines' time, and the number of these windows.
func (r Result) UseWhenRefused() (use float64, windows int) {
	given, capacity := 0.0, 0.0
	for _, w := range r.Windows {
		if w.Refused == 0 {
			continue
		}
		windows++
		given += w.Given
		capacity += w.Capacity
	}
	return given / max(capacity, 1), windows
}

// Refused returns how often long prompts were refused.
func (r Result) Refused() int {
	sum := 0
	for _, w := range r.Windows {
		sum += w.Refused
	}
	return sum
}

// FoundCapacityRate returns the fraction of the callers that came back as they were told whose
// prompt was then sent to an engine, 1 if none came back.
func (r Result) FoundCapacityRate() float64 {
	if r.Returned == 0 {
		return 1
	}
	return float64(r.FoundCapacity) / float64(r.Returned)
}

// WaitedInVainRate returns the fraction of all prompts that waited in vain for more than a quarter
// of their objective.
func (r Result) WaitedInVainRate() float64 {
	count, vain := 0, 0
	for _, k := range r.Kinds {
		count += k.Count
		vain += k.WaitedInVain
	}
	return float64(vain) / float64(max(count, 1))
}
