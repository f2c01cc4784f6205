package lead

import (
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

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
		Replacement:  m.GetReplacement(),
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
		Replacement: j.Replacement,
	}
	if j.Suspect != (suspect.Digest{}) {
		m.Suspect, m.Ended = j.Suspect[:], int32(j.EndedTargets)
	}
	for _, id := range j.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}
	return m
}

// encodeRefusal encodes a refusal because of load, with its time if it carries one. Boxes that do
// not know the detail read the code only.
func encodeRefusal(err error) *connect.Error {
	out := connect.NewError(connect.CodeResourceExhausted, err)
	after, ok := balance.RefusedUntil(err)
	if !ok {
		return out
	}
	ms := (after + time.Millisecond - 1) / time.Millisecond // Rounded up: before, there is no capacity.
	if detail, failure := connect.NewErrorDetail(&placementv1.RefusedDetail{RetryAfterMs: int64(ms)}); failure == nil {
		out.AddDetail(detail)
	}
	return out
}

// refusedTime tells whether the time of a refusal can be used. Its values are metric attributes.
type refusedTime string

const (
	refusedTimeUsed       refusedTime = "used"
	refusedTimeAbsent     refusedTime = "absent"
	refusedTimeUnreadable refusedTime = "unreadable"
	refusedTimeOutOfRange refusedTime = "out_of_range"
)

// decodeRefusal decodes a refusal because of load. A time that cannot be used is ignored.
func decodeRefusal(err error) (result refusedTime, refused error) {
	var failure *connect.Error
	if !eris.As(err, &failure) {
		return refusedTimeAbsent, balance.ErrFull
	}
	name := string((&placementv1.RefusedDetail{}).ProtoReflect().Descriptor().FullName())
	for _, d := range failure.Details() {
		if d.Type() != name {
			continue
		}
		value, err := d.Value()
		detail, ok := value.(*placementv1.RefusedDetail)
		if err != nil || !ok {
			return refusedTimeUnreadable, balance.ErrFull
		}
		return decodeRefusedTime(detail.GetRetryAfterMs())
	}
	return refusedTimeAbsent, balance.ErrFull
}

// decodeRefusedTime decodes the time of a refusal in milliseconds.
func decodeRefusedTime(ms int64) (result refusedTime, refused error) {
	switch {
	case ms == 0:
		return refusedTimeAbsent, balance.ErrFull
	case ms < 0 || ms > balance.MaxRefusedAfter.Milliseconds():
		return refusedTimeOutOfRange, balance.ErrFull
	default:
		return refusedTimeUsed, balance.NewRefused(time.Duration(ms) * time.Millisecond)
	}
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

// codes are the codes of errors that say all there is to say of a placement.
var codes = map[connect.Code]error{
	connect.CodeAborted:            balance.ErrStillWaiting,
	connect.CodePermissionDenied:   balance.ErrSuspectRefused,
	connect.CodeFailedPrecondition: balance.ErrSuspectCleared,
	connect.CodeNotFound:           balance.ErrNoTarget,
}

// codeOf returns the code of a placement's error other than balance.ErrFull.
func codeOf(err error) connect.Code {
	for code, known := range codes {
		if eris.Is(err, known) {
			return code
		}
	}
	if eris.Is(err, balance.ErrCannotMeetDeadline) {
		return connect.CodeDeadlineExceeded // Also the code of calls that time out, so not among codes.
	}
	return connect.CodeUnavailable
}
