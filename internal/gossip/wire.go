package gossip

import (
	"time"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/suspect"
)

// datagram is what boxes send each other.
type datagram = gossipv1.Datagram

// perMilli is how a demand in engines is sent as a whole number.
const perMilli = 1000

// fill writes a snapshot into a datagram.
func fill(d *datagram, s balance.Snapshot, now time.Time) {
	for key, w := range s.Work {
		if w == (balance.Work{}) {
			continue
		}
		d.Work = append(d.Work, &gossipv1.TargetWork{
			Target:    uint32(key),
			Light:     int32(w.Light),
			Heavy:     int32(w.Heavy),
			BacklogUs: w.Backlog.Microseconds(),
			LedUs:     w.Led.Microseconds(),
			Memory:    int64(w.Memory),
			Unread:    int32(w.Unread),
			Down:      int32(w.Down),
		})
	}
	for key, demand := range s.Demands {
		d.Demands = append(d.Demands, &gossipv1.ServiceDemand{
			Service:    uint32(key),
			LightMilli: int32(demand.Light * perMilli),
			HeavyMilli: int32(demand.Heavy * perMilli),
		})
	}
	fillSuspects(d, s.Suspects, now)
	for key, news := range s.Limits {
		d.Limits = append(d.Limits, &gossipv1.TargetLimit{
			Target:    uint32(key),
			Named:     news.Limit.Named(),
			PerSecond: news.Limit.PerSecond(),
			AgeUs:     now.Sub(news.At).Microseconds(),
		})
	}
}

// fillSuspects writes what is known of suspects into a datagram.
func fillSuspects(d *datagram, known map[suspect.Digest]suspect.Evidence, now time.Time) {
	for digest, e := range known {
		s := &gossipv1.Suspect{Digest: digest[:], Size: int64(e.Size())}
		if !e.Cleared().IsZero() {
			s.Cleared, s.ClearedAgeUs = true, now.Sub(e.Cleared()).Microseconds()
		}
		if !e.Begun().IsZero() {
			s.Begun, s.BegunAgeUs = true, now.Sub(e.Begun()).Microseconds()
		}
		for _, end := range e.Ends() {
			s.Ends = append(s.Ends, &gossipv1.TargetEnd{
				Target: end.Key(),
				AgeUs:  now.Sub(end.At()).Microseconds(),
				Unread: end.Has(suspect.Unread),
				Lone:   end.Has(suspect.Lone),
			})
		}
		d.Suspects = append(d.Suspects, s)
	}
}

// suspectsOf reads what is known of suspects out of a datagram that has come now.
func suspectsOf(d *datagram, now time.Time) map[suspect.Digest]suspect.Evidence {
	known := make(map[suspect.Digest]suspect.Evidence)
	ago := func(us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }
	for _, s := range d.GetSuspects() {
		digest, ok := suspect.DigestFrom(s.GetDigest())
		if !ok {
			continue // The sender is of a later version.
		}
		var ends []suspect.End
		for _, end := range s.GetEnds() {
			ends = append(ends, suspect.NewEnd(end.GetTarget(), ago(end.GetAgeUs()), marksOf(end)))
		}
		var cleared, begun time.Time
		if s.GetCleared() {
			cleared = ago(s.GetClearedAgeUs())
		}
		if s.GetBegun() {
			begun = ago(s.GetBegunAgeUs())
		}
		known[digest] = suspect.NewEvidence(int(s.GetSize()), ends, cleared, begun)
	}
	return known
}

// marksOf reads how a request ran at a target that ended.
func marksOf(end *gossipv1.TargetEnd) (marks suspect.Mark) {
	if end.GetUnread() {
		marks |= suspect.Unread
	}
	if end.GetLone() {
		marks |= suspect.Lone
	}
	return marks
}

// snapshotOf reads a snapshot out of a datagram that has come now.
func snapshotOf(d *datagram, now time.Time) balance.Snapshot {
	s := balance.NewSnapshot()
	for _, w := range d.GetWork() {
		s.Work[balance.Key(w.GetTarget())] = balance.Work{
			Light:   int(w.GetLight()),
			Heavy:   int(w.GetHeavy()),
			Backlog: time.Duration(w.GetBacklogUs()) * time.Microsecond,
			Led:     time.Duration(w.GetLedUs()) * time.Microsecond,
			Memory:  int(w.GetMemory()),
			Unread:  int(w.GetUnread()),
			Down:    int(w.GetDown()),
		}
	}
	for _, demand := range d.GetDemands() {
		s.Demands[balance.Key(demand.GetService())] = balance.Demand{
			Light: float64(demand.GetLightMilli()) / perMilli,
			Heavy: float64(demand.GetHeavyMilli()) / perMilli,
		}
	}
	s.Suspects = suspectsOf(d, now)
	for _, l := range d.GetLimits() {
		news := balance.LimitNews{At: now.Add(-time.Duration(l.GetAgeUs()) * time.Microsecond)}
		if l.GetNamed() {
			news.Limit = barleystep.NewRateLimit(l.GetPerSecond())
		}
		s.Limits[balance.Key(l.GetTarget())] = news
	}
	return s
}
