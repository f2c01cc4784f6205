package member

import (
	"time"

	"github.com/barleystep/barleystep"
)

// judge looks for watched boxes that are silent, and for suspects whose time to
// contradict is over.
func (s *State) judge(now time.Time) {
	watching := make(map[barleystep.BoxID]bool)
	for _, id := range s.predecessors() {
		watching[id] = true
		if _, ok := s.watched[id]; !ok {
			s.watched[id] = now
		}
	}
	for id := range s.watched {
		if !watching[id] {
			delete(s.watched, id)
		}
	}
	for id, p := range s.peers {
		switch p.Status {
		case StatusAlive, StatusLeaving:
			s.judgeAlive(now, id, p)
		case StatusSuspect:
			if now.Sub(p.since) >= s.settings.DeadAfter {
				s.bury(now, p)
			}
		}
	}
}

func (s *State) judgeAlive(now time.Time, id barleystep.BoxID, p *peer) {
	since, ok := s.watched[id]
	if !ok {
		return
	}
	last := p.heard
	if since.After(last) {
		last = since
	}
	if now.Sub(last) < s.settings.SuspectAfter {
		return
	}
	r := p.Update
	r.Status = StatusSuspect
	s.change(now, p, r)
}

func (s *State) bury(now time.Time, p *peer) {
	r := p.Update
	r.Status = StatusDead
	s.change(now, p, r)
}
