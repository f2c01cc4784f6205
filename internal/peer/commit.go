package peer

import (
	"context"
	"net/http/httptrace"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
)

// Commit has another box commit the transaction. Its errors tell the same of the effect as those of
// barleystep.Table: ErrUnavailable means that there was none, ErrUnknownEffect that there may be one.
func (c *Client) Commit(ctx context.Context, id barleystep.BoxID, t barleystep.Txn) error {
	addr, ok := c.Addr(id)
	if !ok {
		return eris.Wrapf(barleystep.ErrUnavailable, "peer: box %s has no address", id)
	}
	req := &peerv1.CommitRequest{}
	for _, cond := range t.Conditions {
		req.Conditions = append(req.Conditions, &peerv1.Condition{Key: cond.Key(), Version: cond.Version()})
	}
	for _, w := range t.Writes {
		req.Writes = append(req.Writes, &peerv1.Write{Key: w.Key(), Value: w.Value(), Remove: w.Removes()})
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.rpcClient(addr).Commit(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(req))
	switch {
	case err != nil && !connected:
		return eris.Wrap(barleystep.ErrUnavailable, err.Error())
	case err != nil:
		return eris.Wrap(barleystep.ErrUnknownEffect, err.Error())
	default:
		return fromEffect(resp.Msg.GetEffect())
	}
}

func fromEffect(e peerv1.Effect) error {
	switch e {
	case peerv1.Effect_EFFECT_APPLIED:
		return nil
	case peerv1.Effect_EFFECT_CONFLICT:
		return barleystep.ErrConflict
	case peerv1.Effect_EFFECT_NONE:
		return barleystep.ErrUnavailable
	default:
		return barleystep.ErrUnknownEffect
	}
}

func toEffect(err error) peerv1.Effect {
	switch barleystep.FaultOf(err) {
	case barleystep.FaultNone:
		return peerv1.Effect_EFFECT_APPLIED
	case barleystep.FaultConflict:
		return peerv1.Effect_EFFECT_CONFLICT
	case barleystep.FaultUnavailable:
		return peerv1.Effect_EFFECT_NONE
	default:
		return peerv1.Effect_EFFECT_UNKNOWN
	}
}

// Commit commits a transaction for another box.
func (h handler) Commit(ctx context.Context, req *connect.Request[peerv1.CommitRequest]) (*connect.Response[peerv1.CommitResponse], error) {
	var t barleystep.Txn
	for _, c := range req.Msg.GetConditions() {
		t.Conditions = append(t.Conditions, barleystep.IfVersion(c.GetKey(), c.GetVersion()))
	}
	for _, w := range req.Msg.GetWrites() {
		if w.GetRemove() {
			t.Writes = append(t.Writes, barleystep.Delete(w.GetKey()))
			continue
		}
		t.Writes = append(t.Writes, barleystep.Put(w.GetKey(), w.GetValue()))
	}
	return connect.NewResponse(&peerv1.CommitResponse{Effect: toEffect(h.Table.Commit(ctx, t))}), nil
}
