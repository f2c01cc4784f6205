package peer

import (
	"time"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/version"
)

// Messages carry times as durations relative to now, since the clocks of boxes differ.

func toAttempt(a barleystep.AttemptID) *peerv1.Attempt {
	return &peerv1.Attempt{Box: string(a.Box()), Incarnation: uint64(a.Incarnation()), Number: a.Number()}
}

func fromAttempt(a *peerv1.Attempt) barleystep.AttemptID {
	return barleystep.NewAttemptID(barleystep.BoxID(a.GetBox()), barleystep.Incarnation(a.GetIncarnation()), a.GetNumber())
}

func toTargets(ids []barleystep.TargetID) []string {
	return convert(ids, func(id barleystep.TargetID) string { return string(id) })
}

func fromTargets(names []string) []barleystep.TargetID {
	return convert(names, func(n string) barleystep.TargetID { return barleystep.TargetID(n) })
}

func convert[A, B any](list []A, f func(A) B) []B {
	out := make([]B, len(list))
	for i, a := range list {
		out[i] = f(a)
	}
	return out
}

func toGrantRequest(pool string, a capacity.GrantRequest, now time.Time) *peerv1.AskRequest {
	d := a.Demand
	return &peerv1.AskRequest{
		Pool:    pool,
		Box:     string(a.Box),
		Attempt: toAttempt(d.Attempt),
		Account: d.Account,
		Class:   d.Class,
		Prompt:  uint32(d.PromptTokens),
		Output:  uint32(d.MaxOutputTokens),
		AgeMs:   now.Sub(d.AdmittedAt).Milliseconds(),
		LeftMs:  d.Deadline.Sub(now).Milliseconds(),
		Prefix:  d.PrefixHashes,
		Avoid:   toTargets(d.FailedTargets),
		Weight:  a.Weight,
		Rank:    int32(a.Rank),
		Limit:   a.Limit,
	}
}

func fromGrantRequest(r *peerv1.AskRequest, now time.Time) capacity.GrantRequest {
	return capacity.GrantRequest{
		Box:    barleystep.BoxID(r.GetBox()),
		Weight: r.GetWeight(),
		Rank:   int(r.GetRank()),
		Limit:  r.GetLimit(),
		Demand: barleystep.Demand{
			Attempt:         fromAttempt(r.GetAttempt()),
			Account:         r.GetAccount(),
			Class:           r.GetClass(),
			Model:           r.GetPool(),
			PromptTokens:    int(r.GetPrompt()),
			MaxOutputTokens: int(r.GetOutput()),
			AdmittedAt:      now.Add(-millis(r.GetAgeMs())),
			Deadline:        now.Add(millis(r.GetLeftMs())),
			PrefixHashes:    r.GetPrefix(),
			FailedTargets:   fromTargets(r.GetAvoid()),
		},
	}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func toRefusal(r *barleystep.Refusal) *peerv1.Refusal {
	return &peerv1.Refusal{Reason: string(r.Reason()), Message: r.Error(), RetryAfterMs: r.RetryAfter().Milliseconds()}
}

func fromRefusal(r *peerv1.Refusal) *barleystep.Refusal {
	return barleystep.NewRefusal(barleystep.Reason(r.GetReason()), barleystep.OutcomeNotRun, r.GetMessage()).
		WithRetryAfter(millis(r.GetRetryAfterMs()))
}

// names assigns numbers to the names sent in one direction of a stream, so that each name is
// sent only once.
type names struct {
	numbers map[string]uint32
	unsent  []string // unsent holds the names that the next message has to carry.
}

// number returns the number of the name and assigns the next one to a new name.
func (n *names) number(name string) uint32 {
	if i, ok := n.numbers[name]; ok {
		return i
	}
	if n.numbers == nil {
		n.numbers = make(map[string]uint32)
	}
	i := uint32(len(n.numbers))
	n.numbers[name] = i
	n.unsent = append(n.unsent, name)
	return i
}

// takeUnsent returns and clears the names that were not sent yet.
func (n *names) takeUnsent() []string {
	unsent := n.unsent
	n.unsent = nil
	return unsent
}

// receivedNames holds the names received in one direction of a stream, by number.
type receivedNames []string

// name returns the name with the number, or "" if there is none.
func (k receivedNames) name(i uint32) string {
	if int(i) >= len(k) {
		return ""
	}
	return k[i]
}

func toReport(n *names, r capacity.Report, now time.Time) *peerv1.Report {
	return &peerv1.Report{
		Box:    n.number(string(r.Box)),
		Wanted: uint32(r.RequestedTokens),
		Uses: convert(r.Uses, func(u capacity.CreditUse) *peerv1.Use {
			return &peerv1.Use{
				Target:   n.number(string(u.Target)),
				Reading:  uint32(u.PrefillTokens),
				Memory:   uint32(u.KVTokens),
				Running:  uint32(u.Running),
				Answers:  uint32(u.Answers),
				Failures: uint32(u.Failures),
				Slow:     float32(u.Slowdown),
				SilentMs: u.Overdue.Milliseconds(),
			}
		}),
		Held: convert(r.Held, func(h capacity.HeldGrant) *peerv1.Held {
			return &peerv1.Held{
				Attempt: toAttempt(h.Attempt),
				Account: n.number(h.Account),
				Targets: convert(h.Targets, func(id barleystep.TargetID) uint32 { return n.number(string(id)) }),
				Prompt:  uint32(h.PromptTokens),
				Output:  uint32(h.OutputTokens),
				AgeMs:   now.Sub(h.Since).Milliseconds(),
				Reading: h.Prefilling,
			}
		}),
	}
}

func fromReport(k receivedNames, r *peerv1.Report, now time.Time) capacity.Report {
	target := func(i uint32) barleystep.TargetID { return barleystep.TargetID(k.name(i)) }
	return capacity.Report{
		Box:             barleystep.BoxID(k.name(r.GetBox())),
		RequestedTokens: int(r.GetWanted()),
		Uses: convert(r.GetUses(), func(u *peerv1.Use) capacity.CreditUse {
			return capacity.CreditUse{
				Target:        target(u.GetTarget()),
				PrefillTokens: int(u.GetReading()),
				KVTokens:      int(u.GetMemory()),
				Running:       int(u.GetRunning()),
				Answers:       int(u.GetAnswers()),
				Failures:      int(u.GetFailures()),
				Slowdown:      float64(u.GetSlow()),
				Overdue:       millis(u.GetSilentMs()),
			}
		}),
		Held: convert(r.GetHeld(), func(h *peerv1.Held) capacity.HeldGrant {
			return capacity.HeldGrant{
				Attempt:      fromAttempt(h.GetAttempt()),
				Account:      k.name(h.GetAccount()),
				Targets:      convert(h.GetTargets(), target),
				PromptTokens: int(h.GetPrompt()),
				OutputTokens: int(h.GetOutput()),
				Since:        now.Add(-millis(h.GetAgeMs())),
				Prefilling:   h.GetReading(),
			}
		}),
	}
}

func toCredits(n *names, c capacity.Credits, now time.Time) *peerv1.TalkResponse {
	resp := &peerv1.TalkResponse{
		LifeMs: c.Until.Sub(now).Milliseconds(),
		Credits: convert(c.Credits, func(c capacity.Credit) *peerv1.Credit {
			return &peerv1.Credit{
				Target:  n.number(string(c.Target)),
				Reading: uint32(c.PrefillTokens),
				Memory:  uint32(c.KVTokens),
				Others:  uint32(c.OtherPrefillTokens),
				Long:    uint32(c.LongPrefillTokens),
				Running: uint32(c.Running),
				Rate:    float32(c.PrefillRate),
				Slow:    float32(c.Slowdown),
			}
		}),
	}
	resp.Names = n.takeUnsent()
	return resp
}

func fromCredits(k receivedNames, r *peerv1.TalkResponse, now time.Time) capacity.Credits {
	return capacity.Credits{
		Until: now.Add(millis(r.GetLifeMs())),
		Credits: convert(r.GetCredits(), func(c *peerv1.Credit) capacity.Credit {
			return capacity.Credit{
				Target:             barleystep.TargetID(k.name(c.GetTarget())),
				PrefillTokens:      int(c.GetReading()),
				KVTokens:           int(c.GetMemory()),
				OtherPrefillTokens: int(c.GetOthers()),
				LongPrefillTokens:  int(c.GetLong()),
				Running:            int(c.GetRunning()),
				PrefillRate:        float64(c.GetRate()),
				Slowdown:           float64(c.GetSlow()),
			}
		}),
	}
}

func toRelease(id barleystep.AttemptID, u barleystep.Usage) *peerv1.Release {
	return &peerv1.Release{
		Attempt: toAttempt(id),
		Outcome: u.Outcome.String(),
		FirstMs: u.TimeToFirstEvent.Milliseconds(),
		Full:    u.AtCapacity,
	}
}

func fromRelease(r *peerv1.Release) barleystep.Usage {
	outcome, _ := barleystep.ParseOutcome(r.GetOutcome())
	return barleystep.Usage{Outcome: outcome, TimeToFirstEvent: millis(r.GetFirstMs()), AtCapacity: r.GetFull()}
}

func toHeartbeat(b member.Heartbeat) *peerv1.Beat {
	return &peerv1.Beat{
		Box:         string(b.From.Box),
		Hall:        string(b.Hall),
		Addr:        b.From.Addr,
		Incarnation: uint64(b.From.Incarnation),
		Number:      b.From.Sequence,
		Leaving:     b.From.Status == member.StatusLeaving,
		Updates:     convert(b.Updates, toMemberUpdate),
	}
}

func fromHeartbeat(b *peerv1.Beat) member.Heartbeat {
	status := member.StatusAlive
	if b.GetLeaving() {
		status = member.StatusLeaving
	}
	return member.Heartbeat{
		Hall: barleystep.HallID(b.GetHall()),
		From: member.Update{
			Box:         barleystep.BoxID(b.GetBox()),
			Addr:        b.GetAddr(),
			Incarnation: barleystep.Incarnation(b.GetIncarnation()),
			Sequence:    b.GetNumber(),
			Status:      status,
		},
		Updates: convert(b.GetUpdates(), fromMemberUpdate),
	}
}

func toMemberUpdate(r member.Update) *peerv1.MemberUpdate {
	return &peerv1.MemberUpdate{
		Box:         string(r.Box),
		Addr:        r.Addr,
		Incarnation: uint64(r.Incarnation),
		Number:      r.Sequence,
		Status:      peerv1.Status(r.Status),
	}
}

func fromMemberUpdate(r *peerv1.MemberUpdate) member.Update {
	return member.Update{
		Box:         barleystep.BoxID(r.GetBox()),
		Addr:        r.GetAddr(),
		Incarnation: barleystep.Incarnation(r.GetIncarnation()),
		Sequence:    r.GetNumber(),
		Status:      fromStatus(r.GetStatus()),
	}
}

// fromStatus converts a status. An unknown one, as a newer version of the program may send, becomes
// alive; the box's own heartbeats, or their absence, correct it.
func fromStatus(s peerv1.Status) member.Status {
	if s < peerv1.Status_STATUS_ALIVE || s > peerv1.Status_STATUS_DEAD {
		return member.StatusAlive
	}
	return member.Status(s)
}

func toUpdate(list []version.Increment, snapshot bool, newest int64, age time.Duration) *peerv1.FollowResponse {
	return &peerv1.FollowResponse{
		Snapshot: snapshot,
		Version:  newest,
		AgeMs:    age.Milliseconds(),
		Increments: convert(list, func(i version.Increment) *peerv1.Increment {
			return &peerv1.Increment{Version: i.Version, Digest: i.Digest, Body: i.Encode()}
		}),
	}
}

func fromUpdate(r *peerv1.FollowResponse) (u version.Update, err error) {
	u = version.Update{Snapshot: r.GetSnapshot(), Version: r.GetVersion(), Age: millis(r.GetAgeMs())}
	for _, i := range r.GetIncrements() {
		inc, err := version.DecodeIncrement(i.GetBody())
		if err != nil {
			return version.Update{}, err
		}
		u.Increments = append(u.Increments, inc)
	}
	return u, nil
}
