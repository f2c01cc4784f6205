package lead

import (
	"time"

	"github.com/barleystep/barleystep"
	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/suspect"
)

// decodeJob decodes a request that was received at now. Durations in the request are relative to
// that time.
func decodeJob(view *fleet.View, m *placementv1.PlaceRequest, now time.Time) balance.Job {
	j := balance.Job{
		RequestID:    m.GetRequest(),
		Service:      m.GetService(),
		PromptTokens: int(m.GetPrompt()),
		OutputTokens: int(m.GetOutput()),
		Objective:    time.Duration(m.GetObjectiveMs()) * time.Millisecond,
		MaxPause:     view.MaxPause(m.GetService()),
		Priority:     int(m.GetRank()),
		NoHelpers:    m.GetAlone(),
		LocalHelpers: m.GetNear(),
		Hall:         barleystep.HallID(m.GetHall()),
		Box:          barleystep.BoxID(m.GetBox()),
		Account:      m.GetAccount(),
		CallerRetry:  m.GetReturned(),
	}
	if s := view.Service(j.Service); s != nil {
		j.Cost = s.Cost
		j.ColdLimit = s.ColdLimit
	}
	j.Suspect, _ = suspect.DigestFromBytes(m.GetSuspect())
	j.EndedTargets = int(m.GetEnded())
	for _, id := range m.GetAvoid() {
		j.Avoid = append(j.Avoid, barleystep.TargetID(id))
	}
	if waited := m.GetWaitedMs(); waited > 0 {
		j.Arrival = now.Add(-time.Duration(waited) * time.Millisecond)
	}
	if earlier := m.GetEarlierMs(); earlier > 0 {
		j.FirstArrival = now.Add(-time.Duration(m.GetWaitedMs()+earlier) * time.Millisecond)
	}
	if left := m.GetLeftMs(); left > 0 {
		j.FirstEventDeadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	return j
}

func encodeJob(j balance.Job) *placementv1.PlaceRequest {
	m := &placementv1.PlaceRequest{
		Request:     j.RequestID,
		Service:     j.Service,
		Prompt:      int64(j.PromptTokens),
		Output:      int64(j.OutputTokens),
		ObjectiveMs: j.Objective.Milliseconds(),
		Rank:        int32(j.Priority),
		Alone:       j.NoHelpers,
		Near:        j.LocalHelpers,
		Hall:        string(j.Hall),
		Box:         string(j.Box),
		Account:     j.Account,
		Returned:    j.CallerRetry,
	}
	if j.Suspect != (suspect.Digest{}) {
		m.Suspect, m.Ended = j.Suspect[:], int32(j.EndedTargets)
	}
	for _, id := range j.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}
	return m
}

func decodePlan(m *placementv1.PlaceResponse) balance.Plan {
	plan := balance.Plan{
		ID:           m.GetNumber(),
		Target:       barleystep.TargetID(m.GetTarget()),
		ExpectedTTFT: time.Duration(m.GetExpectedUs()) * time.Microsecond,
	}
	for _, h := range m.GetHelpers() {
		plan.Helpers = append(plan.Helpers, balance.PlannedHelper{Target: barleystep.TargetID(h.GetTarget()), KVTokens: int(h.GetMemory())})
	}
	return plan
}
