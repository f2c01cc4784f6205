package front

import (
	"time"

	"github.com/barleystep/barleystep/internal/mutex"
)

// StopRefusals is how many requests a stopping box has refused, and when it refused the first and
// the last of them.
type StopRefusals struct {
	Count       int
	First, Last time.Time
}

// stopRefusals counts refusals of a stopping box. The zero value is ready for use.
type stopRefusals struct {
	mu  mutex.Mutex
	now StopRefusals
}

// add counts a refusal.
func (s *stopRefusals) add(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.Count == 0 {
		s.now.First = at
	}
	s.now.Count++
	s.now.Last = at
}

// get returns the refusals so far.
func (s *stopRefusals) get() StopRefusals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// StopRefusals returns the refusals that were given because the box is stopping.
func (s *Server) StopRefusals() StopRefusals { return s.stopRefusals.get() }
