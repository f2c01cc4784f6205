package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/claim"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/gate"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/metric"
)

// fixedAllocator always allocates the same target, and sends the usage on release to released.
type fixedAllocator struct{ released chan barleystep.Usage }

// Acquire returns an allocation of target e immediately.
func (a *fixedAllocator) Acquire(context.Context, barleystep.Demand) (barleystep.Allocation, error) {
	hooks := barleystep.AllocationHooks{}
	if a.released != nil {
		hooks.Release = func(u barleystep.Usage) { a.released <- u }
	}
	return barleystep.NewAllocation([]barleystep.TargetID{"e"}, 0, hooks), nil
}

// chunks returns a target that answers each attempt with a stream of n events without delay.
func chunks(n int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(engine.HeaderAttempt)
		w.Header().Set(engine.HeaderAttempt, id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i < n; i++ {
			fmt.Fprintf(w, "id: %s/%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n", id, i)
			_ = http.NewResponseController(w).Flush()
		}
		fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", id, n)
	})
}

// startGate starts a gate in front of a target and returns its URL.
func startGate(b testing.TB, target string, allocator barleystep.Allocator) string {
	url, _ := startServer(b, target, allocator)
	return url
}

// startServer is like startGate and also returns the server.
func startServer(b testing.TB, target string, allocator barleystep.Allocator) (url string, s *gate.Server) {
	d, err := config.File{
		Accounts: []config.Account{{Name: "a", Keys: []config.Key{{ID: "1", SHA256: config.HashKey("k")}}}},
		Classes:  []config.Class{{Name: "normal"}},
		Models:   []config.Model{{Name: "m", EngineTokens: 1 << 30, MaxPrompt: 1 << 30}},
		Targets:  []config.Target{{ID: "e", Hall: "h", URL: target, Model: "m"}},
	}.Document()
	quicktest.Assert(b, err, quicktest.IsNil)
	view, err := config.NewView(1, d)
	quicktest.Assert(b, err, quicktest.IsNil)
	configuration := config.NewFixed(view)
	s = &gate.Server{
		Clock:         clock.System{},
		IDs:           identity.NewGenerator("b", 1),
		Configuration: configuration,
		Allocator:     allocator,
		Targets:       &engine.Pool{Configuration: configuration},
		Canceller:     gate.NewCanceller(),
		Claims:        claim.NewManager(),
		Meter:         metric.Discard(),
		Log:           &log.Logger{Level: log.PanicLevel},
	}
	server := httptest.NewServer(s.Handler())
	b.Cleanup(server.Close)
	return server.URL, s
}

func sendPrompt(b *testing.B, url string, body string) {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	quicktest.Assert(b, err, quicktest.IsNil)
	req.Header.Set("Authorization", "Bearer k")
	req.Header.Set(engine.HeaderAttempt, "x.0000000000000001.1")
	resp, err := http.DefaultClient.Do(req)
	quicktest.Assert(b, err, quicktest.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	quicktest.Assert(b, err, quicktest.IsNil)
	resp.Body.Close()
}

// BenchmarkCapacityPath compares a request through the gate with a direct request to the same
// target, for several sizes of prompts and answers. The difference between two answer lengths is
// the cost of the additional chunks.
func BenchmarkCapacityPath(b *testing.B) {
	for _, s := range []struct{ prompt, chunks int }{{1_000, 1}, {1_000, 300}, {1_000_000, 1}} {
		target := httptest.NewServer(chunks(s.chunks))
		b.Cleanup(target.Close)
		body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("word", s.prompt) + `"}]}`
		through := startGate(b, target.URL, &fixedAllocator{})
		for name, url := range map[string]string{"direct": target.URL, "path": through} {
			b.Run(fmt.Sprintf("%s/prompt=%d/chunks=%d", name, s.prompt, s.chunks), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					sendPrompt(b, url, body)
				}
			})
		}
	}
}
