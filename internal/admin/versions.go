package admin

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
	"github.com/barleystep/barleystep/internal/config"
)

// Get returns the configuration of a version.
func (a api) Get(ctx context.Context, req *connect.Request[adminv1.GetRequest]) (*connect.Response[adminv1.GetResponse], error) {
	v := req.Msg.GetVersion()
	if v == 0 {
		head, err := a.Store.Head(ctx)
		if err != nil {
			return nil, storeError(err, 0)
		}
		v = head
	}
	d, err := a.documentAt(ctx, v)
	if err != nil {
		return nil, err
	}
	f, err := d.File()
	if err != nil {
		return nil, err
	}
	text, err := f.TOML()
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.GetResponse{Version: v, Toml: string(text)}), nil
}

// Submit submits a complete configuration as a new version.
func (a api) Submit(ctx context.Context, req *connect.Request[adminv1.SubmitRequest]) (*connect.Response[adminv1.SubmitResponse], error) {
	after, err := parseDocument(req.Msg.GetToml())
	if err != nil {
		return nil, err
	}
	return a.commit(ctx, commit{id: req.Msg.GetId(), base: req.Msg.GetBase(), after: after, reason: req.Msg.GetReason()})
}

// commit fills in the base document of the configuration and submits it.
func (a api) commit(ctx context.Context, o commit) (*connect.Response[adminv1.SubmitResponse], error) {
	var err error
	if o.before, err = a.documentAt(ctx, o.base); err != nil {
		return nil, err
	}
	v, err := a.submit(ctx, o)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.SubmitResponse{Version: v}), nil
}

// Check validates a configuration as Submit does, without submitting it.
func (a api) Check(_ context.Context, req *connect.Request[adminv1.CheckRequest]) (*connect.Response[adminv1.CheckResponse], error) {
	d, err := parseDocument(req.Msg.GetToml())
	if err != nil {
		return nil, err
	}
	if _, err := config.NewView(1, d); err != nil {
		return nil, errorf(connect.CodeInvalidArgument, "%s", err.Error())
	}
	return connect.NewResponse(&adminv1.CheckResponse{}), nil
}

// defaultHistory is the number of versions that History lists by default.
const defaultHistory = 20

// History lists versions, newest first.
func (a api) History(ctx context.Context, req *connect.Request[adminv1.HistoryRequest]) (*connect.Response[adminv1.HistoryResponse], error) {
	last := req.Msg.GetBefore() - 1
	if req.Msg.GetBefore() == 0 {
		head, err := a.Store.Head(ctx)
		if err != nil {
			return nil, storeError(err, 0)
		}
		last = head
	}
	limit := int64(req.Msg.GetLimit())
	if limit <= 0 {
		limit = defaultHistory
	}
	list, err := a.Store.Increments(ctx, max(1, last-limit+1), last)
	if err != nil {
		return nil, storeError(err, 0)
	}
	resp := &adminv1.HistoryResponse{}
	for _, inc := range slices.Backward(list) {
		resp.Versions = append(resp.Versions, &adminv1.Version{
			Version: inc.Version,
			Author:  inc.Author,
			Reason:  inc.Reason,
			At:      inc.At.UTC().Format(time.RFC3339),
			Id:      inc.ID,
			Changes: int32(len(inc.Changes)),
		})
	}
	return connect.NewResponse(resp), nil
}

// Diff lists the entries that differ between two versions.
func (a api) Diff(ctx context.Context, req *connect.Request[adminv1.DiffRequest]) (*connect.Response[adminv1.DiffResponse], error) {
	from, err := a.documentAt(ctx, req.Msg.GetFrom())
	if err != nil {
		return nil, err
	}
	to, err := a.documentAt(ctx, req.Msg.GetTo())
	if err != nil {
		return nil, err
	}
	resp := &adminv1.DiffResponse{}
	for _, c := range from.Diff(to) {
		resp.Changes = append(resp.Changes, &adminv1.Change{
			Kind:   string(c.Kind),
			Name:   c.Name,
			Before: string(from.Entry(c.Kind, c.Name)),
			After:  string(c.Body),
		})
	}
	return connect.NewResponse(resp), nil
}

// Restore submits the content of an old version as a new version.
func (a api) Restore(ctx context.Context, req *connect.Request[adminv1.RestoreRequest]) (*connect.Response[adminv1.SubmitResponse], error) {
	after, err := a.documentAt(ctx, req.Msg.GetVersion())
	if err != nil {
		return nil, err
	}
	base := req.Msg.GetBase()
	if base == 0 {
		if base, err = a.Store.Head(ctx); err != nil {
			return nil, storeError(err, 0)
		}
	}
	return a.commit(ctx, commit{base: base, after: after, reason: req.Msg.GetReason()})
}
