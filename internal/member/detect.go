package member

import (
	"time"

	"github.com/barleystep/barleystep"
)

// detectFailures marks monitored boxes without recent heartbeats as suspect, and suspects that
// have not refuted the suspicion within DeadAfter as dead.
func (s *State) detectFailures(now time.Time) {
	monitored := make(map[barleystep.BoxID]bool)
	for _, id := range s.predecessors() {
		monitored[id] = true
		if _, ok := s.monitoredSince[id]; !ok {
			s.monitoredSince[id] = now
		}
	}
	for id := range s.monitoredSince {
		if !monitored[id] {
			delete(s.monitoredSince, id)
		}
	}
	for id, p := range s.peers {
		switch p.Status {
		case StatusAlive, StatusLeaving:
			s.checkSilence(now, id, p)
		case StatusSuspect:
			if now.Sub(p.statusSince) >= s.settings.DeadAfter {
				s.markDead(now, p)
			}
		}
	}
}

func (s *State) checkSilence(now time.Time, id barleystep.BoxID, p *peer) {
	since, ok := s.monitoredSince[id]
	if !ok {
		return
	}
	last := p.lastHeard
	if since.After(last) {
		last = since
	}
	if now.Sub(last) < s.settings.SuspectAfter {
		return
	}
	r := p.Update
	r.Status = StatusSuspect
	s.apply(now, p, r)
}

func (s *State) markDead(now time.Time, p *peer) {
	r := p.Update
	r.Status = StatusDead
	s.apply(now, p, r)
}
