// Package platform is the thin adapter to the platform's table service, object
// store and box list. The platform's real protocol is not known yet; until it
// is, the adapter speaks that of the stand-in.
package platform

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	platformv1 "github.com/barleystep/barleystep/api/platform/v1"
	"github.com/barleystep/barleystep/api/platform/v1/platformv1connect"
	"github.com/barleystep/barleystep/internal/clock"
)

// Client reaches the platform. Its exported fields are set before use; it is
// safe for concurrent use.
type Client struct {
	URL string
	// HTTP sends the calls; the default is http.DefaultClient.
	HTTP  *http.Client
	Clock barleystep.Clock
	// Timeout bounds one call; the default is 2 seconds.
	Timeout time.Duration
}

const defaultTimeout = 2 * time.Second

var (
	_ barleystep.Table       = (*Client)(nil)
	_ barleystep.ObjectStore = (*Client)(nil)
	_ barleystep.BoxList     = (*Client)(nil)
)

func (c *Client) client() platformv1connect.PlatformClient {
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	return platformv1connect.NewPlatformClient(h, c.URL)
}

// bound limits one call and notes whether a connection was had.
func (c *Client) bound(ctx context.Context) (_ context.Context, reached *bool, cancel context.CancelFunc) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	reached = new(bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *reached = true }}
	ctx, cancel = clock.WithDeadline(httptrace.WithClientTrace(ctx, trace), c.Clock, c.Clock.Now().Add(timeout))
	return ctx, reached, cancel
}

// unavailable is the fault of every failed read.
func unavailable(err error) error { return eris.Wrap(barleystep.ErrUnavailable, err.Error()) }

// effect classifies the error of a write by what it says about its effect.
func effect(err error, reached bool) error {
	var answered *connect.Error
	isAnswer := eris.As(err, &answered) && connect.IsWireError(err)
	switch {
	case isAnswer && answered.Code() == connect.CodeFailedPrecondition:
		return eris.Wrap(barleystep.ErrConflict, answered.Message())
	case isAnswer && answered.Code() == connect.CodeResourceExhausted, !reached:
		return eris.Wrap(barleystep.ErrUnavailable, err.Error())
	default:
		return eris.Wrap(barleystep.ErrUnknownEffect, err.Error())
	}
}

// Read reads rows.
func (c *Client) Read(ctx context.Context, keys ...string) (rows []barleystep.Row, err error) {
	ctx, _, cancel := c.bound(ctx)
	defer cancel()
	resp, err := c.client().Read(ctx, connect.NewRequest(&platformv1.ReadRequest{Keys: keys}))
	if err != nil {
		return nil, unavailable(err)
	}
	if len(resp.Msg.GetRows()) != len(keys) {
		return nil, unavailable(eris.Errorf("platform: %d rows for %d keys", len(resp.Msg.GetRows()), len(keys)))
	}
	return fromRows(resp.Msg.GetRows()), nil
}

// Scan reads the rows below a prefix.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]barleystep.Row, error) {
	ctx, _, cancel := c.bound(ctx)
	defer cancel()
	req := &platformv1.ScanRequest{Prefix: prefix, After: after, Limit: int32(min(limit, maxScan))}
	resp, err := c.client().Scan(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, unavailable(err)
	}
	return fromRows(resp.Msg.GetRows()), nil
}

const maxScan = 10_000

func fromRows(list []*platformv1.Row) []barleystep.Row {
	rows := make([]barleystep.Row, len(list))
	for i, r := range list {
		rows[i] = barleystep.NewRow(r.GetKey(), r.GetValue(), r.GetVersion())
	}
	return rows
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, t barleystep.Txn) error {
	ctx, reached, cancel := c.bound(ctx)
	defer cancel()
	req := &platformv1.CommitRequest{}
	for _, cond := range t.Conditions {
		req.Conditions = append(req.Conditions, &platformv1.Condition{Key: cond.Key(), Version: cond.Version()})
	}
	for _, w := range t.Writes {
		req.Writes = append(req.Writes, &platformv1.Write{Key: w.Key(), Value: w.Value(), Remove: w.Removes()})
	}
	if _, err := c.client().Commit(ctx, connect.NewRequest(req)); err != nil {
		return effect(err, *reached)
	}
	return nil
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	ctx, reached, cancel := c.bound(ctx)
	defer cancel()
	req := &platformv1.PutObjectRequest{Name: name, Data: data}
	if _, err := c.client().PutObject(ctx, connect.NewRequest(req)); err != nil {
		return effect(err, *reached)
	}
	return nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, _, cancel := c.bound(ctx)
	defer cancel()
	resp, err := c.client().GetObject(ctx, connect.NewRequest(&platformv1.GetObjectRequest{Name: name}))
	switch {
	case err != nil && connect.CodeOf(err) == connect.CodeNotFound:
		return nil, eris.Wrap(barleystep.ErrNotFound, name)
	case err != nil:
		return nil, unavailable(err)
	}
	return resp.Msg.GetData(), nil
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, name string) error {
	ctx, reached, cancel := c.bound(ctx)
	defer cancel()
	req := &platformv1.DeleteObjectRequest{Name: name}
	if _, err := c.client().DeleteObject(ctx, connect.NewRequest(req)); err != nil {
		return effect(err, *reached)
	}
	return nil
}

// Boxes returns the platform's list of boxes.
func (c *Client) Boxes(ctx context.Context) ([]barleystep.Box, error) {
	ctx, _, cancel := c.bound(ctx)
	defer cancel()
	resp, err := c.client().Boxes(ctx, connect.NewRequest(&platformv1.BoxesRequest{}))
	if err != nil {
		return nil, unavailable(err)
	}
	boxes := make([]barleystep.Box, len(resp.Msg.GetBoxes()))
	for i, b := range resp.Msg.GetBoxes() {
		boxes[i] = barleystep.NewBox(barleystep.BoxID(b.GetId()), barleystep.HallID(b.GetHall()), b.GetAddr(), b.GetLeaving())
	}
	return boxes, nil
}
