package gossip

import (
	"time"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
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
	for key, news := range s.Limits {
		d.Limits = append(d.Limits, &gossipv1.TargetLimit{
			Target:    uint32(key),
			Named:     news.Limit.Named(),
			PerSecond: news.Limit.PerSecond(),
			AgeUs:     now.Sub(news.At).Microseconds(),
		})
	}
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
	for _, l := range d.GetLimits() {
		news := balance.LimitNews{At: now.Add(-time.Duration(l.GetAgeUs()) * time.Microsecond)}
		if l.GetNamed() {
			news.Limit = barleystep.NewRateLimit(l.GetPerSecond())
		}
		s.Limits[balance.Key(l.GetTarget())] = news
	}
	return s
}
