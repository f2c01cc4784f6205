package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/conn"
)

const (
	maxControlBody = 4 << 20 // maxControlBody bounds the body of a control response, in bytes.
	maxDrain       = 64 << 10
)

// Client is an HTTP client for one target. Its exported fields are set before use; it is safe for
// concurrent use.
type Client struct {
	// URL is the base URL of the target, without a trailing slash.
	URL string
	// HTTP sends the requests. It must neither follow redirects nor set a timeout. NewHTTP
	// returns a suitable client.
	HTTP *http.Client
	// NewConnPerAttempt opens a new connection for each attempt. On a reused connection that the
	// target has closed while idle, it would be unknown whether the attempt ran.
	NewConnPerAttempt bool
	MaxEventSize      int // MaxEventSize is the maximum size of an event in bytes; the default is 1 MiB.
}

const defaultMaxEventSize = 1 << 20

var (
	_ barleystep.Engine  = (*Client)(nil)
	_ barleystep.Service = (*Client)(nil)
)

// NewHTTP returns an HTTP client that keeps up to idle idle connections to each target. It never
// resends the requests of Client, since their bodies cannot be rewound.
func NewHTTP(idle int) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = idle
	t.MaxIdleConns = 0
	t.DisableCompression = true
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Start sends the attempt to the engine, or resumes it.
func (c *Client) Start(ctx context.Context, a barleystep.Attempt) (s barleystep.Stream, err error) {
	return c.Call(ctx, a)
}

// Call sends the attempt to the target. The error is barleystep.ErrNotStarted if the target cannot
// have run it.
func (c *Client) Call(ctx context.Context, a barleystep.Attempt) (s barleystep.Stream, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "engine: attempt %s", a.ID)
		}
	}()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := c.request(httptrace.WithClientTrace(conn.WithInterimCheck(ctx), trace), a)
	if err != nil {
		return nil, eris.Wrap(barleystep.ErrNotStarted, err.Error())
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, classifyError(err, connected)
	}
	return c.openStream(resp, a)
}

func classifyError(err error, connected bool) error {
	if !connected {
		return eris.Wrap(barleystep.ErrNotStarted, err.Error())
	}
	return eris.Wrap(barleystep.ErrUnknownEffect, err.Error())
}

func (c *Client) request(ctx context.Context, a barleystep.Attempt) (*http.Request, error) {
	method := a.Method
	if method == "" {
		method = http.MethodPost
	}
	// The body is wrapped so that net/http cannot rewind it: net/http may resend a request with
	// a rewindable body after a connection breaks.
	body := io.NopCloser(bytes.NewReader(a.Body))
	req, err := http.NewRequestWithContext(ctx, method, c.URL+a.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Body))
	req.Close = c.NewConnPerAttempt
	setHeaders(req.Header, a)
	return req, nil
}

func setHeaders(h http.Header, a barleystep.Attempt) {
	h.Set(HeaderAttempt, a.ID.String())
	h.Set(HeaderPriority, strconv.Itoa(a.Priority))
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if !a.Deadline.IsZero() {
		h.Set(HeaderDeadline, a.Deadline.UTC().Format(DeadlineLayout))
	}
	if a.ResumeFrom > 0 {
		h.Set(HeaderResumeFrom, strconv.FormatUint(a.ResumeFrom, 10))
	}
	if len(a.Group) > 1 {
		h.Set(HeaderGroup, joinTargets(a.Group))
	}
}

func joinTargets(ids []barleystep.TargetID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}

func (c *Client) openStream(resp *http.Response, a barleystep.Attempt) (barleystep.Stream, error) {
	if err := checkStatus(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if resp.Header.Get(HeaderStarted) == "false" {
		drain(resp.Body)
		_ = resp.Body.Close()
		return nil, eris.Wrapf(barleystep.ErrNotStarted, "target answered %s", resp.Status)
	}
	if got := resp.Header.Get(HeaderAttempt); got != a.ID.String() {
		_ = resp.Body.Close()
		return nil, eris.Wrapf(barleystep.ErrWrongAttempt, "target answered for %q", got)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return newEventStream(resp, a, c.maxEventSize()), nil
	}
	return &bodyStream{resp: resp}, nil
}

// checkStatus returns an error if the status of an answer is none, which says nothing of what was done.
func checkStatus(resp *http.Response) error {
	if conn.IsFinalStatus(resp.StatusCode) {
		return nil
	}
	return eris.Wrapf(barleystep.ErrUnknownEffect, "target answered with status %03d", resp.StatusCode)
}

func (c *Client) maxEventSize() int {
	if c.MaxEventSize == 0 {
		return defaultMaxEventSize
	}
	return c.MaxEventSize
}

// Cancel cancels the attempt at the target.
func (c *Client) Cancel(ctx context.Context, id string) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "engine: cancel %s", id)
		}
	}()
	return c.control(ctx, http.MethodDelete, PathAttempts+"/"+url.PathEscape(id), nil)
}

// Load returns the target's load report.
func (c *Client) Load(ctx context.Context) (l barleystep.Load, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "engine: load")
		}
	}()
	err = c.control(ctx, http.MethodGet, PathLoad, &l)
	return l, err
}

// List returns the attempts that the target holds memory for.
func (c *Client) List(ctx context.Context) (attempts []barleystep.HeldAttempt, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "engine: list")
		}
	}()
	err = c.control(ctx, http.MethodGet, PathAttempts, &attempts)
	return attempts, err
}

// orderBody is the JSON body of an order.
type orderBody struct {
	Weights string `json:"weights"`
}

// Order sends an order to the target. It returns barleystep.ErrConflict if the target rejects the
// fencing token, and barleystep.ErrUnknownEffect if the order may have been executed.
func (c *Client) Order(ctx context.Context, o barleystep.Order) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "engine: order")
		}
	}()
	body, err := json.Marshal(orderBody{o.Weights})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(conn.WithInterimCheck(ctx), http.MethodPost, c.URL+PathOrders, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(HeaderFence, strconv.FormatInt(o.Fence, 10))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(barleystep.ErrUnknownEffect, err.Error())
	}
	defer resp.Body.Close()
	defer drain(resp.Body)
	if err := checkStatus(resp); err != nil {
		return err
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return barleystep.ErrConflict
	case resp.StatusCode/100 != 2:
		return eris.Wrapf(barleystep.ErrUnavailable, "target answered %s", resp.Status)
	}
	return nil
}

func (c *Client) control(ctx context.Context, method, path string, out any) error {
	req, err := http.NewRequestWithContext(conn.WithInterimCheck(ctx), method, c.URL+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(barleystep.ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	defer drain(resp.Body)
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(barleystep.ErrUnavailable, "target answered %s", resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxControlBody)).Decode(out)
}

// drain reads up to maxDrain bytes of the rest of a body, so that the connection can be reused.
func drain(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
}
