package standin

import (
	"fmt"
	"io"
	"net/http"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/mutex"
)

const readLimit = 64 << 20

// Service is a stand-in plain service. It counts the calls of each attempt and describes the
// request in its answer.
type Service struct {
	mu    mutex.Mutex
	calls map[string]int
}

// ServeHTTP answers one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.PathLoad {
		writeJSON(w, barleystep.Load{TotalTokens: 1, FreeTokens: 1})
		return
	}
	body, err := readAll(r)
	if err != nil {
		return
	}
	id := r.Header.Get(engine.HeaderAttempt)
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[id]++
	s.mu.Unlock()
	w.Header().Set(engine.HeaderAttempt, id)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"path":%q,"method":%q,"received":%d}`, r.URL.Path, r.Method, len(body))
}

// Calls returns how often each attempt was received, by its id.
func (s *Service) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for id, n := range s.calls {
		calls[id] = n
	}
	return calls
}

func readAll(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, readLimit))
}
