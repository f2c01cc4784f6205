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
	"github.com/barleystep/barleystep/internal/gate"
)

// fullAllocator never has capacity, and signals each request on asked.
type fullAllocator struct{ asked chan struct{} }

// Acquire blocks until ctx is done.
func (a *fullAllocator) Acquire(ctx context.Context, _ barleystep.Demand) (barleystep.Allocation, error) {
	a.asked <- struct{}{}
	<-ctx.Done()
	return barleystep.Allocation{}, ctx.Err()
}

// TestCancelAll checks that CancelAll answers waiting and sent requests with their outcomes.
func TestCancelAll(t *testing.T) {
	received := make(chan struct{}, 9)
	hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // An HTTP server detects a disconnected caller only once the body is read.
		received <- struct{}{}
		<-r.Context().Done()
	})
	cases := map[string]struct {
		allocator barleystep.Allocator
		status    int
		outcome   string
	}{
		"waits for capacity":  {&fullAllocator{received}, http.StatusServiceUnavailable, "not-run"},
		"sent, no answer yet": {&fixedAllocator{}, http.StatusBadGateway, "failed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			target := httptest.NewServer(hang)
			t.Cleanup(target.Close)
			url, s := startServer(t, target.URL, tc.allocator)
			body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"word"}]}`
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
			c.Assert(err, quicktest.IsNil)
			req.Header.Set("Authorization", "Bearer k")
			req.Header.Set(gate.HeaderTimeLimit, "30s")
			go func() {
				<-received
				s.CancelAll()
			}()
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, quicktest.IsNil)
			defer resp.Body.Close()
			c.Check(resp.StatusCode, quicktest.Equals, tc.status)
			c.Check(resp.Header.Get(gate.HeaderOutcome), quicktest.Equals, tc.outcome)
			c.Check(resp.Header.Get(gate.HeaderReason), quicktest.Equals, string(barleystep.ReasonStopping))
		})
	}
}
