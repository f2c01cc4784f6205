package standin

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	platformv1 "github.com/barleystep/barleystep/api/platform/v1"
	"github.com/barleystep/barleystep/api/platform/v1/platformv1connect"
)

// Platform is the stand-in for the platform's services. Its exported fields are
// set before Handler.
type Platform struct {
	Table   barleystep.Table
	Objects barleystep.ObjectStore

	mu    sync.Mutex
	boxes []barleystep.Box
}

// SetBoxes replaces the list of boxes.
func (p *Platform) SetBoxes(boxes ...barleystep.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes = boxes
}

// Boxes returns the list of boxes.
func (p *Platform) Boxes(context.Context) ([]barleystep.Box, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]barleystep.Box(nil), p.boxes...), nil
}

// Handler serves the stand-in's protocol.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewPlatformHandler(platformHandler{p}))
	return mux
}

type platformHandler struct{ platform *Platform }

func wireError(err error) error {
	switch barleystep.FaultOf(err) {
	case barleystep.FaultConflict:
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case barleystep.FaultUnavailable:
		return connect.NewError(connect.CodeResourceExhausted, err)
	default:
		return connect.NewError(connect.CodeUnknown, err)
	}
}

func toRows(rows []barleystep.Row) []*platformv1.Row {
	list := make([]*platformv1.Row, len(rows))
	for i, r := range rows {
		list[i] = &platformv1.Row{Key: r.Key(), Value: r.Value(), Version: r.Version()}
	}
	return list
}

// Read reads rows.
func (p platformHandler) Read(ctx context.Context, r *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	rows, err := p.platform.Table.Read(ctx, r.Msg.GetKeys()...)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.ReadResponse{Rows: toRows(rows)}), nil
}

// Scan reads the rows below a prefix.
func (p platformHandler) Scan(ctx context.Context, r *connect.Request[platformv1.ScanRequest]) (*connect.Response[platformv1.ScanResponse], error) {
	rows, err := p.platform.Table.Scan(ctx, r.Msg.GetPrefix(), r.Msg.GetAfter(), int(r.Msg.GetLimit()))
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.ScanResponse{Rows: toRows(rows)}), nil
}

// Commit applies a transaction.
func (p platformHandler) Commit(ctx context.Context, r *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	var t barleystep.Txn
	for _, c := range r.Msg.GetConditions() {
		t.Conditions = append(t.Conditions, barleystep.IfVersion(c.GetKey(), c.GetVersion()))
	}
	for _, w := range r.Msg.GetWrites() {
		if w.GetRemove() {
			t.Writes = append(t.Writes, barleystep.Delete(w.GetKey()))
			continue
		}
		t.Writes = append(t.Writes, barleystep.Put(w.GetKey(), w.GetValue()))
	}
	if err := p.platform.Table.Commit(ctx, t); err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.CommitResponse{}), nil
}

// PutObject stores an object.
func (p platformHandler) PutObject(ctx context.Context, r *connect.Request[platformv1.PutObjectRequest]) (*connect.Response[platformv1.PutObjectResponse], error) {
	if err := p.platform.Objects.Put(ctx, r.Msg.GetName(), r.Msg.GetData()); err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.PutObjectResponse{}), nil
}

// GetObject reads an object.
func (p platformHandler) GetObject(ctx context.Context, r *connect.Request[platformv1.GetObjectRequest]) (*connect.Response[platformv1.GetObjectResponse], error) {
	data, err := p.platform.Objects.Get(ctx, r.Msg.GetName())
	switch {
	case eris.Is(err, barleystep.ErrNotFound):
		return nil, connect.NewError(connect.CodeNotFound, err)
	case err != nil:
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.GetObjectResponse{Data: data}), nil
}

// DeleteObject removes an object.
func (p platformHandler) DeleteObject(ctx context.Context, r *connect.Request[platformv1.DeleteObjectRequest]) (*connect.Response[platformv1.DeleteObjectResponse], error) {
	if err := p.platform.Objects.Delete(ctx, r.Msg.GetName()); err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.DeleteObjectResponse{}), nil
}

// Boxes returns the list of boxes.
func (p platformHandler) Boxes(ctx context.Context, _ *connect.Request[platformv1.BoxesRequest]) (*connect.Response[platformv1.BoxesResponse], error) {
	boxes, err := p.platform.Boxes(ctx)
	if err != nil {
		return nil, wireError(err)
	}
	resp := &platformv1.BoxesResponse{}
	for _, b := range boxes {
		resp.Boxes = append(resp.Boxes, &platformv1.Box{Id: string(b.ID()), Hall: string(b.Hall()), Addr: b.Addr(), Leaving: b.Leaving()})
	}
	return connect.NewResponse(resp), nil
}
