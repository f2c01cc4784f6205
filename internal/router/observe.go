package router

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/follow"
	"github.com/barleystep/barleystep/internal/metric"
)

// registerMetrics exports the box's view of targets, other boxes and the store, and how old
// that view is.
func (r *Router) registerMetrics() {
	r.Exporter.Observe("barleystep_belief_age_seconds", "How long ago a change of the topic could last have been missed; below zero without any proof.", "topic", r.beliefAges)
	r.Exporter.Observe("barleystep_targets_believed", "Targets by what the box believes of them.", "state", r.targetStates)
	r.Exporter.Observe("barleystep_relay", "Whether this box reaches no target itself (cut off) or may not (in doubt), and the connections that it relays for other boxes, open and since the start.", "state", r.relayStates)
	r.Exporter.Observe("barleystep_suspects", "Requests under which targets have ended, by how they may run.", "state", r.suspects)
	r.Exporter.Observe("barleystep_account_shares", "Client accounts that are active, the largest share of any in the mean, and prompts since the start that waited since their account had more than its share, by outcome.", "state", r.accountShares)
	r.Exporter.Observe("barleystep_boxes_believed", "Boxes that share the retry budget.", "state", func() []metric.Sample {
		return []metric.Sample{{Label: "counted", Value: float64(r.plane.Node().BoxCount())}}
	})
	r.Exporter.Observe("barleystep_clients", "The bytes that the connections of clients hold, and may hold together, their number, and what clients were denied since the start.", "state", r.clients)
	r.Exporter.Observe("barleystep_store_calls", "Calls to the platform's store since the start, by topic, by what the box reads for others, and by outcome.", "reason", r.storeCalls)
	r.Exporter.Observe("barleystep_records_refused", "Records of the store that another writer left, since the start, by topic and by what is wrong with them.", "reason", r.recordsRefused)
	if r.DroppedLines != nil {
		r.Exporter.Observe("barleystep_log_lines_dropped", "Log lines that nobody read in time.", "stream", func() []metric.Sample {
			return []metric.Sample{{Label: "stdout", Value: float64(r.DroppedLines())}}
		})
	}
}

func (r *Router) beliefAges() []metric.Sample {
	list := []metric.Sample{{Label: "keys", Value: r.configuration.Age().Seconds()}}
	for topic, f := range r.plane.Followers() {
		age := f.Age()
		if age < 0 {
			age = -time.Second
		}
		list = append(list, metric.Sample{Label: topic.String(), Value: age.Seconds()})
	}
	return list
}

func (r *Router) relayStates() []metric.Sample {
	number := map[bool]float64{true: 1}
	return []metric.Sample{
		{Label: "cut off", Value: number[r.monitor.IsCutOff()]},
		{Label: "in doubt", Value: number[r.monitor.IsDoubtful()]},
		{Label: "open", Value: float64(r.relay.Tunnels())},
		{Label: "served", Value: float64(r.relay.Served())},
	}
}

func (r *Router) suspects() []metric.Sample {
	var list []metric.Sample
	for status, count := range r.balancer.Suspects.Counts() {
		list = append(list, metric.Sample{Label: status.String(), Value: float64(count)})
	}
	return list
}

func (r *Router) accountShares() []metric.Sample {
	c := r.balancer.ShareCounts()
	return []metric.Sample{
		{Label: "active", Value: float64(c.Accounts)},
		{Label: "largest", Value: c.Largest},
		{Label: "waited, placed", Value: float64(c.Waited)},
		{Label: "waited, refused", Value: float64(c.Refused)},
	}
}

func (r *Router) clients() []metric.Sample {
	used, conns := r.memory.Usage()
	counts := r.memory.Counts()
	return []metric.Sample{
		{Label: "bytes held", Value: float64(used)},
		{Label: "bytes allowed", Value: float64(r.memory.Limit())},
		{Label: "connections", Value: float64(conns)},
		{Label: "evicted", Value: float64(counts.Evicted)},
		{Label: "no memory", Value: float64(counts.NoMemory)},
		{Label: "no place", Value: float64(counts.NoPlace)},
		{Label: "long heads", Value: float64(counts.LongHeads)},
		{Label: "stalled", Value: float64(counts.Stalled)},
	}
}

func (r *Router) storeCalls() []metric.Sample {
	var list []metric.Sample
	for topic, f := range r.plane.Followers() {
		for _, c := range f.CallCounts() {
			outcome := "answered"
			if c.Failed {
				outcome = "failed"
			}
			label := topic.String() + ", " + c.Role.String() + ", " + outcome
			list = append(list, metric.Sample{Label: label, Value: float64(c.Count)})
		}
	}
	return list
}

func (r *Router) recordsRefused() []metric.Sample {
	var list []metric.Sample
	refused := map[barleystep.Topic][]follow.RefusalCount{
		barleystep.TopicConfiguration: r.configuration.RefusalCounts(),
		barleystep.TopicTargets:       r.targets.RefusalCounts(),
	}
	for topic, counts := range refused {
		for _, c := range counts {
			label := topic.String() + ", " + c.Flaw.String()
			list = append(list, metric.Sample{Label: label, Value: float64(c.Count)})
		}
	}
	return list
}

// targetStates counts the targets by state. Statements of targets are counted apart by whether
// this box or another one received them.
func (r *Router) targetStates() []metric.Sample {
	counts := map[string]int{}
	for _, state := range []string{"known", "draining", "evacuated", "cold", "down", "slow", "limited, heard", "limited, told", "leaving, heard", "leaving, told", "resting, heard", "no_service"} {
		counts[state] = 0
	}
	view := r.configuration.View()
	for _, t := range r.targets.List() {
		counts["known"]++
		if t.Draining {
			counts["draining"]++
		}
		if t.Evacuated {
			counts["evacuated"]++
		}
		if !t.ColdUntil.IsZero() && r.Clock.Now().Before(t.ColdUntil) {
			counts["cold"]++
		}
		if view != nil && view.Service(t.Service) == nil {
			counts["no_service"]++
		}
		for _, state := range r.statusStates(t.ID) {
			counts[state]++
		}
	}
	list := []metric.Sample{{Label: "foreign", Value: float64(r.targets.InvalidRecords())}}
	for state, n := range counts {
		list = append(list, metric.Sample{Label: state, Value: float64(n)})
	}
	return list
}

// statusStates returns the states of a target that do not come from its record.
func (r *Router) statusStates(id barleystep.TargetID) (states []string) {
	status := r.balancer.TargetStatus(id)
	if status.Down {
		states = append(states, "down")
	}
	if status.Slowness > 1 {
		states = append(states, "slow")
	}
	if status.Statement.Limit.Value.IsSet() {
		states = append(states, "limited, "+origin(status.Statement.Limit == status.HeardLocally.Limit))
	}
	if status.Statement.Leaving.Value {
		states = append(states, "leaving, "+origin(status.Statement.Leaving == status.HeardLocally.Leaving))
	}
	if status.Resting {
		states = append(states, "resting, "+origin(true))
	}
	return states
}

// origin returns the label for a statement that this box received, or that another box passed
// on.
func origin(heardLocally bool) string {
	if heardLocally {
		return "heard"
	}
	return "told"
}
