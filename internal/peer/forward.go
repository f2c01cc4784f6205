package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/place"
)

// Forwarder forwards callers' requests to boxes of other halls. Its exported fields are set before
// use; it is safe for concurrent use.
type Forwarder struct {
	Client *Client
	Boxes  barleystep.BoxList
}

// maxForwardAttempts is how many boxes are tried while none is reached.
const maxForwardAttempts = 2

// Forward sends the request to a box of one of the halls. It tries another box only if no connection
// was made, so that the request runs at most once; its error is then barleystep.ErrNotStarted, and
// barleystep.ErrUnknownEffect after a connection was made.
func (f *Forwarder) Forward(ctx context.Context, halls []string, r *http.Request, body []byte) (*http.Response, error) {
	boxes, err := f.Boxes.Boxes(ctx)
	if err != nil {
		return nil, eris.Wrap(barleystep.ErrNotStarted, err.Error())
	}
	candidates := slices.DeleteFunc(boxes, func(b barleystep.Box) bool {
		return b.Leaving() || !slices.Contains(halls, string(b.Hall()))
	})
	key := f.Client.Auth.Box
	sort.Slice(candidates, func(i, j int) bool {
		return place.Rank(string(key), string(candidates[i].ID())) > place.Rank(string(key), string(candidates[j].ID()))
	})
	for _, b := range candidates[:min(len(candidates), maxForwardAttempts)] {
		resp, err := f.send(ctx, b.Addr(), r, body)
		if err == nil || !eris.Is(err, barleystep.ErrNotStarted) {
			return resp, err
		}
	}
	return nil, eris.Wrap(barleystep.ErrNotStarted, "peer: no box of another hall was reached")
}

func (f *Forwarder) send(ctx context.Context, addr string, r *http.Request, body []byte) (*http.Response, error) {
	c := f.Client
	c.init()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	// NopCloser hides that the body can be rewound, so that the transport does not send it twice.
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(conn.WithInterimCheck(ctx), trace), r.Method, c.scheme+addr+r.URL.RequestURI(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, eris.Wrap(barleystep.ErrNotStarted, err.Error())
	}
	req.Header = r.Header.Clone()
	req.Header.Del("Connection")
	req.ContentLength = int64(len(body))
	c.Auth.Sign(req.Header, r.URL.Path)
	resp, err := c.http.Do(req)
	switch {
	case err != nil && !connected:
		return nil, eris.Wrap(barleystep.ErrNotStarted, err.Error())
	case err != nil:
		return nil, eris.Wrap(barleystep.ErrUnknownEffect, err.Error())
	}
	return resp, nil
}
