package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

const sealed = "Seal: s\r\n"

// TestAnswers checks, for each kind of route, what callers get for each behaviour of targets: the
// status and body, and how many times the request is sent.
func TestAnswers(t *testing.T) {
	ok := completeAnswer(200, sealed, "good")
	shed := completeAnswer(503, "Not-Run: 1\r\n", "")
	cases := map[string]struct {
		path   string
		steps  []step
		status int
		body   string
		sends  int
		broken bool
	}{
		"complete answer":                  {"/once/", []step{ok}, 200, "good", 1, false},
		"shed once, repeatable":            {"/again/", []step{shed, ok}, 200, "good", 2, false},
		"shed twice":                       {"/again/", []step{shed, shed, ok}, 503, "", 2, false},
		"closed, not repeatable":           {"/once/", []step{rawAnswer(""), ok}, 502, "", 1, false},
		"closed, repeatable":               {"/again/", []step{rawAnswer(""), ok}, 200, "good", 2, false},
		"closed, then shed":                {"/again/", []step{rawAnswer(""), shed}, 502, "", 2, false},
		"not an answer":                    {"/again/", []step{rawAnswer("zzz\r\n\r\n"), ok}, 200, "good", 2, false},
		"truncated body, not repeatable":   {"/once/", []step{rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\nabc")}, 502, "", 1, false},
		"success without digest":           {"/once/", []step{completeAnswer(200, "", "forged")}, 502, "", 1, false},
		"re-encoded on the way":            {"/again/", []step{completeAnswer(200, sealed+"Content-Encoding: gzip\r\n", "zip"), ok}, 200, "good", 2, false},
		"another request's answer":         {"/once/", []step{rawAnswer("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad")}, 502, "", 1, false},
		"own failure, not repeatable":      {"/once/", []step{completeAnswer(500, sealed, "bad"), ok}, 500, "bad", 1, false},
		"own failure, repeatable":          {"/again/", []step{completeAnswer(500, sealed, "bad"), ok}, 200, "good", 2, false},
		"own failure, no slot for a retry": {"/lone/", []step{completeAnswer(500, sealed, "bad")}, 500, "bad", 1, false},
		"own failure twice":                {"/again/", []step{completeAnswer(500, sealed, "bad"), completeAnswer(500, sealed, "bad2")}, 500, "bad2", 2, false},
		"503 that may have run":            {"/once/", []step{completeAnswer(503, sealed, "x")}, 502, "The target did not answer: front: the target does not say that the request has not run.\n", 1, false},
		"own 4xx is relayed":               {"/again/", []step{completeAnswer(422, sealed, "no"), ok}, 422, "no", 1, false},
		"body delimited by close":          {"/once/", []step{rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\nall")}, 200, "all", 1, false},
		"stream":                           {"/stream/", []step{eventStream(1, 3, false)}, 200, eventText(1, 3), 1, false},
		"stream resumed inside an event":   {"/stream/", []step{eventStream(1, 3, true), eventStream(4, 6, false)}, 200, eventText(1, 6), 2, false},
		"resumed with repeated events":     {"/stream/", []step{eventStream(1, 3, true), eventStream(2, 6, false)}, 200, eventText(1, 6), 2, false},
		"stream broken twice looks broken": {"/stream/", []step{eventStream(1, 3, true), eventStream(4, 5, true)}, 200, eventText(1, 5), 2, true},
		"stream not resumable":             {"/plainstream/", []step{eventStream(1, 3, true), eventStream(4, 6, false)}, 200, eventText(1, 3), 1, true},
		"stream shed, then served":         {"/plainstream/", []step{shed, eventStream(1, 2, false)}, 200, eventText(1, 2), 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()}, tc.steps...)
			got := f.do(t, http.MethodPost, tc.path, "ask")
			c.Check(got.status, quicktest.Equals, tc.status)
			c.Check(got.broken, quicktest.Equals, tc.broken)
			if tc.body != "" {
				c.Check(got.body, quicktest.Equals, tc.body)
			}
			c.Check(f.target.requests, quicktest.HasLen, tc.sends)
			if tc.status == http.StatusBadGateway {
				c.Check(got.header.Get("Seal"), quicktest.Equals, "")
			}
			for _, b := range f.target.bodies {
				c.Check(b, quicktest.Equals, "ask")
			}
		})
	}
}

// TestResumeFromLastEvent checks that a resumed stream is requested from the last event that the
// caller has.
func TestResumeFromLastEvent(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, eventStream(1, 3, true), eventStream(4, 6, false))
	f.do(t, http.MethodPost, "/stream/", "", "Last", "0")
	c.Assert(f.target.requests, quicktest.HasLen, 2)
	c.Check(f.target.requests[0].Header.Get("Last"), quicktest.Equals, "0")
	c.Check(f.target.requests[1].Header.Get("Last"), quicktest.Equals, "3")
	c.Check(f.target.requests[0].Header.Get("Instance"), quicktest.Not(quicktest.Equals), f.target.requests[1].Header.Get("Instance"))
}

// TestRefusals checks which requests are refused before any target is asked. A route or key that a
// box lacks is refused for good only if the box has the newest configuration: an older one may lack
// what was added, and its caller is to try another box.
func TestRefusals(t *testing.T) {
	known := newView()
	withoutAccounts := fleet.NewView(fleet.Configuration{
		Routes:   []fleet.Route{{Host: "h", Prefix: "/keyed/", Kind: fleet.KindOnce, Timeout: time.Second, MaxTries: 2}},
		Accounts: []fleet.Account{},
	})
	cases := map[string]struct {
		state   state
		path    string
		body    string
		headers []string
		status  int
	}{
		"no configuration":                   {state{}, "/once/", "", nil, 503},
		"no route":                           {state{view: known}, "/none/", "", nil, 404},
		"no key":                             {state{view: known}, "/keyed/", "", nil, 401},
		"unknown key":                        {state{view: known}, "/keyed/", "", []string{"Key", "z"}, 401},
		"last account taken away":            {state{view: withoutAccounts}, "/keyed/", "", []string{"Key", "k"}, 401},
		"key confirmation too old":           {state{view: known, age: freshness + 1}, "/keyed/", "", []string{"Key", "k"}, 503},
		"keys never confirmed":               {state{view: known, age: -1}, "/keyed/", "", []string{"Key", "k"}, 503},
		"no route, not confirmed":            {state{view: known, age: maxConfigurationAge + 1}, "/none/", "", nil, 503},
		"no route, never confirmed":          {state{view: known, age: -1}, "/none/", "", nil, 503},
		"no route, just confirmed":           {state{view: known, age: maxConfigurationAge}, "/none/", "", nil, 404},
		"unknown key, not confirmed":         {state{view: known, age: maxConfigurationAge + 1}, "/keyed/", "", []string{"Key", "z"}, 503},
		"no key, not confirmed":              {state{view: known, age: maxConfigurationAge + 1}, "/keyed/", "", nil, 401},
		"body too large":                     {state{view: known}, "/once/", strings.Repeat("x", 101), nil, 413},
		"public route needs no confirmation": {state{view: known, age: -1}, "/once/", "", nil, 200},
		"confirmation just recent enough":    {state{view: known, age: freshness}, "/keyed/", "", []string{"Key", "k"}, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, tc.state, completeAnswer(200, sealed, "good"))
			got := f.do(t, http.MethodPost, tc.path, tc.body, tc.headers...)
			c.Check(got.status, quicktest.Equals, tc.status)
			if tc.status != http.StatusOK {
				c.Check(f.target.requests, quicktest.HasLen, 0)
				c.Check(got.header.Get("Id"), quicktest.Equals, "r1")
				return
			}
			c.Check(f.target.requests[0].Header.Get("Key"), quicktest.Equals, "")
		})
	}
}

// TestRefusalReadsBody guards against refusals that callers lose since the connection is closed while
// they still write the body.
func TestRefusalReadsBody(t *testing.T) {
	const size = 96 << 10
	cases := map[string]struct {
		close, stops bool
		want         int64 // want is how much of the body is read.
	}{
		"connection stays open":        {false, false, 0},
		"caller closes the connection": {true, false, size},
		"box stops":                    {false, true, size},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, state{view: newView()})
			if tc.stops {
				f.front.BeginShutdown(time.Now().Add(time.Minute))
			}
			body := strings.NewReader(strings.Repeat("x", size))
			r := httptest.NewRequest(http.MethodPost, "http://h/none/", io.NopCloser(body))
			r.Close, r.ContentLength = tc.close, size
			answer := httptest.NewRecorder()
			f.front.ServeHTTP(answer, r)
			quicktest.Check(t, answer.Code, quicktest.Equals, http.StatusNotFound)
			quicktest.Check(t, size-int64(body.Len()), quicktest.Equals, tc.want)
		})
	}
}

// TestForwarded checks that method, path, query and body reach the target unchanged, and that
// hop-by-hop headers do not.
func TestForwarded(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, completeAnswer(200, sealed, ""))
	f.do(t, http.MethodPut, "/once/a%2Fb/../c?x=%20&y", "body", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", "Limit", "3s")
	c.Assert(f.target.requests, quicktest.HasLen, 1)
	r := f.target.requests[0]
	c.Check(r.Method, quicktest.Equals, http.MethodPut)
	c.Check(r.RequestURI, quicktest.Equals, "/once/a%2Fb/../c?x=%20&y")
	c.Check(r.Host, quicktest.Equals, "h")
	c.Check(f.target.bodies[0], quicktest.Equals, "body")
	c.Check(r.Header.Get("X-Hop"), quicktest.Equals, "")
	c.Check(r.Header.Get("X-Kept"), quicktest.Equals, "2")
	left, err := time.ParseDuration(r.Header.Get("Left"))
	c.Assert(err, quicktest.IsNil)
	c.Check(left > 0 && left <= 3*time.Second, quicktest.IsTrue)
}

// TestTimeLimit checks that a request ends at its route's time limit although its target does not
// answer, and that its status does not claim that it has not run.
func TestTimeLimit(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, neverAnswer)
	got := f.do(t, http.MethodPost, "/short/", "")
	c.Check(got.status, quicktest.Equals, http.StatusGatewayTimeout)
}

// TestCallerGone checks that the connection to the target closes when the caller disconnects.
func TestCallerGone(t *testing.T) {
	arrived := make(chan struct{})
	ended := make(chan struct{})
	wait := func(c net.Conn, _ *http.Request) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	}
	f := newFixture(t, state{view: newView()}, wait)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/stream/", nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Host = "h"
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-arrived
	cancel()
	<-ended
}

// TestRetryAfterWhenFull checks that a caller whose prompt finds all engines full is told to retry
// after a third of its time limit.
func TestRetryAfterWhenFull(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	f := newFixtureAt(t, manual, state{view: newView()})
	got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "9000")
	c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(got.header.Get("Again"), quicktest.Equals, (20 * time.Second / 3).String())
	c.Check(f.target.requests, quicktest.HasLen, 0)
	got = f.do(t, http.MethodPost, "/giant/", "", "Prompt", "9000", "Limit", "600ms")
	c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
}

// TestShutdownRejectsNew checks that a box that shuts down still answers, and refuses requests
// after RejectNew.
func TestShutdownRejectsNew(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, completeAnswer(200, sealed, "a"), completeAnswer(200, sealed, "b"))
	f.front.BeginShutdown(time.Now().Add(time.Hour))
	c.Check(f.do(t, http.MethodPost, "/once/", "").status, quicktest.Equals, http.StatusOK)
	f.front.RejectNew()
	got := f.do(t, http.MethodPost, "/once/", "")
	c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(f.target.requests, quicktest.HasLen, 1)
}
