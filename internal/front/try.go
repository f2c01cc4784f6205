package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// try is one try of a request at one target.
type try struct {
	stage     *deliver
	exchange  *Exchange
	placement *balance.Placement

	// number counts the request's tries, also those that reached no target.
	number  int
	started time.Time
	status  int
	// sealed is set when the answer carries the target's digest, and skipped counts
	// the answers to other requests that came before it.
	sealed  bool
	skipped int
	first   time.Duration // first is the time to the first event or the answer.
	failure *failure
	// reserved are the reservations at helpers.
	reserved []reservation
	// renewals is closed when no renewal is on its way any more.
	renewals chan struct{}
	paid     atomic.Bool // paid is set, by the watch, when the next try has been paid for.
	noMemory bool        // noMemory is set when helpers had no memory to set aside.
	// blamed is the helper that kept the target from running the request, if any.
	blamed barleystep.TargetID
}

// failure is a target's own failure, kept until it is known whether another
// target does better.
type failure struct {
	header http.Header
	body   []byte
}

// answerBytes bounds an answer that is held until it is whole; longer ones do
// not occur on routes that are no streams.
const answerBytes = 8 << 20

var (
	errUnsealed = eris.New("front: the answer lacks the target's digest")
	errEncoded  = eris.New("front: the answer was encoded on its way")
	errCutEvent = eris.New("front: the stream ended inside an event")
	errStalled  = eris.New("front: the target sent nothing for too long")
	errCaller   = eris.New("front: the caller does not read")

	errLongAnswer = eris.New("front: the answer is too long")
)

// run sends the request and relays its answer.
func (t *try) run(ctx context.Context) (result, error) {
	x := t.exchange
	t.started = t.stage.clock.Now()
	defer t.release(context.WithoutCancel(ctx))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // It ends the renewals, before the release.
	if err := t.reserve(ctx); err != nil {
		return resultNotSent, err
	}
	c, err := t.stage.pool.Get(ctx, t.placement.Target.Addr)
	if err != nil {
		return resultNotSent, err
	}
	left := x.until.Sub(t.stage.clock.Now())
	if left <= 0 || ctx.Err() != nil {
		c.Release(nil)
		return resultNotSent, context.Cause(ctx)
	}
	t.noteHelpers()
	watch := t.newWatch(cancel)
	defer watch.stop()
	x.sends++
	x.target = t.placement.Target.ID
	x.helpers = len(t.placement.Helpers)
	x.expected = t.placement.Expected()
	resp, err := c.Send(ctx, t.request(left), x.body, t.mine)
	t.skipped = c.Skipped()
	if err != nil {
		c.Release(nil)
		return t.unanswered(ctx, err)
	}
	res, err := t.take(resp, watch)
	resp.Body.Close()
	if err != nil && res != resultNotRun {
		c.Discard()
	} else {
		c.Release(resp)
	}
	return res, stallOf(ctx, err)
}

// noteHelpers writes a line about a prompt that several targets read: it tells why
// other streams of theirs paused.
func (t *try) noteHelpers() {
	if len(t.placement.Helpers) == 0 {
		return
	}
	ids := make([]string, len(t.placement.Helpers))
	for i, h := range t.placement.Helpers {
		ids[i] = string(h.ID)
	}
	t.stage.log.Info().Str("request", t.exchange.call.ID).Str("target", string(t.placement.Target.ID)).
		Strs("helpers", ids).Int("prompt", t.exchange.call.Prompt).Dur("expected", t.placement.Expected()).
		Msg(logPrefix + "Several targets read the prompt.")
}

func stallOf(ctx context.Context, err error) error {
	if err != nil && eris.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

func (t *try) unanswered(ctx context.Context, err error) (result, error) {
	if eris.Is(err, barleystep.ErrNotStarted) {
		t.exchange.sends--
		return resultNotSent, err
	}
	t.exchange.ran = true
	return resultBroken, stallOf(ctx, err)
}

// mine reports whether an answer belongs to this request.
func (t *try) mine(h http.Header) bool {
	v := t.stage.protocol.Verdict(0, h)
	return v.ID == "" || v.ID == t.exchange.call.ID
}

// request returns the request as the target gets it.
func (t *try) request(left time.Duration) *http.Request {
	x := t.exchange
	target := x.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = x.r.URL.RequestURI()
	}
	h := x.r.Header.Clone()
	removeHop(h)
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // An empty one is not sent.
	}
	t.stage.protocol.Prepare(h, barleystep.Delivery{
		Instance:  t.placement.Target.ID,
		Account:   x.account,
		TimeLeft:  left,
		LastEvent: x.last,
		Helpers:   t.helpers(),
	})
	r := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Opaque: target},
		Host:          x.r.Host,
		Header:        h,
		ContentLength: int64(len(x.body)),
	}
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return r
}

// hopHeaders belong to one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// helperNamed returns the helper with the id or the address, empty if there is none.
func (t *try) helperNamed(name string) barleystep.TargetID {
	for _, h := range t.placement.Helpers {
		if name != "" && (string(h.ID) == name || h.Addr == name) {
			return h.ID
		}
	}
	return ""
}

// take judges the head of an answer and relays what may be relayed.
func (t *try) take(resp *http.Response, w *watch) (result, error) {
	x := t.exchange
	t.status = resp.StatusCode
	verdict := t.stage.protocol.Verdict(resp.StatusCode, resp.Header)
	t.sealed = verdict.Sealed
	if verdict.NotRun {
		t.blamed = t.helperNamed(verdict.Blamed)
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, answerBytes))
		return resultNotRun, err
	}
	x.ran = true
	success := resp.StatusCode < http.StatusMultipleChoices
	switch {
	case verdict.Encoded:
		return resultBroken, errEncoded
	case success && !verdict.Sealed:
		return resultBroken, errUnsealed
	case success && x.route.Kind == fleet.KindStream:
		return t.relay(resp, w)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerBytes+1))
	if err == nil && len(body) > answerBytes {
		err = errLongAnswer
	}
	if err != nil {
		return resultBroken, err
	}
	t.first = t.stage.clock.Now().Sub(t.started)
	if resp.StatusCode >= http.StatusInternalServerError {
		t.failure = &failure{header: resp.Header, body: body}
		return resultFailed, nil
	}
	t.pass(resp.StatusCode, resp.Header, body)
	return resultDone, nil
}

// pass gives a whole answer to the caller.
func (t *try) pass(status int, from http.Header, body []byte) {
	x := t.exchange
	t.head(from)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.status = status
	x.begun = true
	x.first = t.stage.clock.Now().Sub(x.started)
	x.noteHead(t.stage.protocol, t.placement.Target.ID)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // The caller may have gone away.
}

// passFailure gives the target's own failure to the caller. A status that would
// promise that the request has not run, which the target did not say, is
// replaced.
func (t *try) passFailure() {
	status := t.status
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		status = http.StatusBadGateway
		t.stage.protocol.Unseal(t.failure.header)
	}
	t.pass(status, t.failure.header, t.failure.body)
}

// head copies the headers of an answer.
func (t *try) head(from http.Header) {
	to := t.exchange.w.Header()
	removeHop(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = values
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil // The answer is passed on as it came.
	}
}

// report tells the balancer what was learnt of the target.
func (t *try) report(ctx context.Context, res result) balance.Report {
	return balance.Report{
		Unreachable: ctx.Err() == nil && res == resultNotSent && !t.noMemory,
		Failed:      ctx.Err() == nil && res == resultBroken,
		Error:       res == resultFailed,
		Full:        res == resultNotRun && t.blamed == "",
		Helper:      t.blamed,
		Moved:       t.status == http.StatusMisdirectedRequest,
	}
}
