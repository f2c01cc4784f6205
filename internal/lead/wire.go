package lead

import (
	"time"

	"github.com/barleystep/barleystep"
	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/suspect"
)

// jobOf reads a question that has come now.
func jobOf(view *fleet.View, m *placementv1.PlaceRequest, now time.Time) balance.Job {
	j := balance.Job{
		Request:   m.GetRequest(),
		Service:   m.GetService(),
		Prompt:    int(m.GetPrompt()),
		Output:    int(m.GetOutput()),
		Objective: time.Duration(m.GetObjectiveMs()) * time.Millisecond,
		Tightest:  view.TightestPause(m.GetService()),
		Rank:      int(m.GetRank()),
		Alone:     m.GetAlone(),
		Near:      m.GetNear(),
		Hall:      barleystep.HallID(m.GetHall()),
		Returned:  m.GetReturned(),
	}
	if s := view.Service(j.Service); s != nil {
		j.Cost = s.Cost
	}
	j.Suspect, _ = suspect.DigestFrom(m.GetSuspect())
	j.Ended = int(m.GetEnded())
	for _, id := range m.GetAvoid() {
		j.Avoid = append(j.Avoid, barleystep.TargetID(id))
	}
	if waited := m.GetWaitedMs(); waited > 0 {
		j.Since = now.Add(-time.Duration(waited) * time.Millisecond)
	}
	if earlier := m.GetEarlierMs(); earlier > 0 {
		j.First = now.Add(-time.Duration(m.GetWaitedMs()+earlier) * time.Millisecond)
	}
	if left := m.GetLeftMs(); left > 0 {
		j.Until = now.Add(time.Duration(left) * time.Millisecond)
	}
	return j
}

func requestOf(j balance.Job) *placementv1.PlaceRequest {
	m := &placementv1.PlaceRequest{
		Request:     j.Request,
		Service:     j.Service,
		Prompt:      int64(j.Prompt),
		Output:      int64(j.Output),
		ObjectiveMs: j.Objective.Milliseconds(),
		Rank:        int32(j.Rank),
		Alone:       j.Alone,
		Near:        j.Near,
		Hall:        string(j.Hall),
		Returned:    j.Returned,
	}
	if j.Suspect != (suspect.Digest{}) {
		m.Suspect, m.Ended = j.Suspect[:], int32(j.Ended)
	}
	for _, id := range j.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}
	return m
}

func planOf(m *placementv1.PlaceResponse) balance.Plan {
	plan := balance.Plan{
		Number:   m.GetNumber(),
		Target:   barleystep.TargetID(m.GetTarget()),
		Expected: time.Duration(m.GetExpectedUs()) * time.Microsecond,
	}
	for _, h := range m.GetHelpers() {
		plan.Helpers = append(plan.Helpers, balance.PlannedHelper{Target: barleystep.TargetID(h.GetTarget()), Memory: int(h.GetMemory())})
	}
	return plan
}
