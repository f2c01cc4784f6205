package gate_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/gate"
)

// TestSlowReader checks that a request whose caller does not read a long answer still ends at its
// time limit and releases its target.
func TestSlowReader(t *testing.T) {
	c := quicktest.New(t)
	target := httptest.NewServer(chunks(1_000_000))
	t.Cleanup(target.Close)
	a := &fixedAllocator{released: make(chan barleystep.Usage, 9)}
	url := startGate(t, target.URL, a)
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"word"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	c.Assert(err, quicktest.IsNil)
	req.Header.Set("Authorization", "Bearer k")
	req.Header.Set(gate.HeaderTimeLimit, "2s")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	<-a.released // The body is not read until the allocation is released.
	text, _ := io.ReadAll(resp.Body)
	c.Check(strings.Contains(string(text), "[DONE]"), quicktest.IsFalse)
}

// TestUsage checks the usage reported for an attempt: a caller that disconnects does not count as
// a failure of the target.
func TestUsage(t *testing.T) {
	received := make(chan struct{}, 9)
	cases := map[string]struct {
		target http.HandlerFunc
		leaves bool
		failed bool
		full   bool
	}{
		"answers":     {func(w http.ResponseWriter, r *http.Request) { chunks(3).ServeHTTP(w, r) }, false, false, false},
		"disconnects": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, true, false},
		"is at capacity": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.HeaderStarted, "false")
			w.WriteHeader(http.StatusTooManyRequests)
		}, false, false, true},
		"the caller disconnects": {func(_ http.ResponseWriter, r *http.Request) {
			// An HTTP server detects a disconnected caller only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			received <- struct{}{}
			<-r.Context().Done()
		}, true, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			target := httptest.NewServer(tc.target)
			t.Cleanup(target.Close)
			a := &fixedAllocator{released: make(chan barleystep.Usage, 9)}
			url := startGate(t, target.URL, a)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"word"}]}`
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
			c.Assert(err, quicktest.IsNil)
			req.Header.Set("Authorization", "Bearer k")
			go func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			}()
			if tc.leaves {
				<-received
				cancel()
			}
			u := <-a.released
			c.Check(u.TargetFailed(), quicktest.Equals, tc.failed)
			c.Check(u.AtCapacity, quicktest.Equals, tc.full)
		})
	}
}
