package admin

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"github.com/barleystep/barleystep"
	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
)

// ExplainPolicy evaluates the current policy for one account and class.
func (a api) ExplainPolicy(_ context.Context, req *connect.Request[adminv1.ExplainPolicyRequest]) (*connect.Response[adminv1.ExplainPolicyResponse], error) {
	v, _ := a.Follower.View()
	if v == nil {
		return nil, errorf(connect.CodeUnavailable, "There is no configuration yet.")
	}
	if _, ok := v.Account(req.Msg.GetAccount()); !ok {
		return nil, errorf(connect.CodeNotFound, "There is no account %q.", req.Msg.GetAccount())
	}
	if _, ok := v.Class(req.Msg.GetClass()); !ok {
		return nil, errorf(connect.CodeNotFound, "There is no class %q.", req.Msg.GetClass())
	}
	s, err := v.Explain(req.Msg.GetAccount(), req.Msg.GetClass())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.ExplainPolicyResponse{
		Policy: v.PolicyName(),
		Weight: s.Weight,
		Rate:   s.Rate,
		Rank:   int32(s.Rank),
		Limit:  s.Limit,
	}), nil
}

// Status returns the status of boxes and targets.
func (a api) Status(ctx context.Context, _ *connect.Request[adminv1.StatusRequest]) (*connect.Response[adminv1.StatusResponse], error) {
	v, confirmed := a.Follower.View()
	if v == nil {
		return nil, errorf(connect.CodeUnavailable, "There is no configuration yet.")
	}
	resp := &adminv1.StatusResponse{Version: v.Version(), Confirmed: confirmed, Targets: a.targetStatuses(ctx, v)}
	boxes, err := a.Boxes.Boxes(ctx)
	if err != nil {
		return nil, storeError(err, 0)
	}
	for _, b := range boxes {
		resp.Boxes = append(resp.Boxes, &adminv1.BoxStatus{Id: string(b.ID()), Hall: string(b.Hall()), Addr: b.Addr(), Leaving: b.Leaving()})
	}
	return connect.NewResponse(resp), nil
}

// targetStatuses queries all targets concurrently for their load.
func (a api) targetStatuses(ctx context.Context, v *config.View) []*adminv1.TargetStatus {
	ctx, cancel := clock.WithDeadline(ctx, a.Clock, a.Clock.Now().Add(statusTimeout))
	defer cancel()
	list := v.Targets(func(config.Target) bool { return true })
	out := make([]*adminv1.TargetStatus, len(list))
	var wait sync.WaitGroup
	for i, t := range list {
		out[i] = &adminv1.TargetStatus{Id: t.ID, Hall: t.Hall, Pool: t.Model + t.Service, Drain: t.Drain}
		wait.Go(func() { a.queryLoad(ctx, out[i]) })
	}
	wait.Wait()
	return out
}

// queryLoad fills in the load of a target, or leaves Answers false on an error.
func (a api) queryLoad(ctx context.Context, s *adminv1.TargetStatus) {
	e, ok := a.Engines.Engine(barleystep.TargetID(s.GetId()), false)
	if !ok {
		return
	}
	l, err := e.Load(ctx)
	if err != nil {
		return
	}
	s.Answers = true
	s.Running = int32(l.Running)
	s.FreeTokens = int64(l.FreeTokens)
	s.TotalTokens = int64(l.TotalTokens)
}
