package gossip

import (
	"time"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/suspect"
)

// datagram is the message that boxes exchange.
type datagram = gossipv1.Datagram

// perMilli scales a demand in engines to the integer on the wire.
const perMilli = 1000

// encodeSnapshot adds a snapshot to a datagram.
func encodeSnapshot(d *datagram, s balance.Snapshot, now time.Time) {
	for key, w := range s.Work {
		if w == (balance.Work{}) {
			continue
		}
		d.Work = append(d.Work, &gossipv1.TargetWork{
			Target:    uint32(key),
			Light:     int32(w.Short),
			Heavy:     int32(w.Long),
			BacklogUs: w.Backlog.Microseconds(),
			LedUs:     w.LeadBacklog.Microseconds(),
			Memory:    int64(w.KVTokens),
			Unread:    int32(w.PendingPrefills),
			Down:      int32(w.DownReports),

			ObservedMs: w.ObservedTTFT.Milliseconds(),
			ExpectedMs: w.ExpectedTTFT.Milliseconds(),
		})
	}
	for key, demand := range s.Demands {
		d.Demands = append(d.Demands, &gossipv1.ServiceDemand{
			Service:    uint32(key),
			LightMilli: int32(demand.Short * perMilli),
			HeavyMilli: int32(demand.Long * perMilli),
		})
	}
	encodeSuspects(d, s.Suspects, now)
	for key, said := range s.Statements {
		d.Statements = append(d.Statements, encodeStatement(key, said, now))
	}
}

// encodeStatement encodes a target's statements about itself.
func encodeStatement(key balance.Key, said balance.TimedStatement, now time.Time) *gossipv1.TargetStatement {
	w := &gossipv1.TargetStatement{Target: uint32(key)}
	if l := said.Limit; !l.At.IsZero() {
		w.Limit = &gossipv1.LimitWord{Named: l.Value.IsSet(), PerSecond: l.Value.PerSecond(), AgeUs: now.Sub(l.At).Microseconds()}
	}
	if l := said.Leaving; !l.At.IsZero() {
		w.Leaving = &gossipv1.LeavingWord{Leaving: l.Value, AgeUs: now.Sub(l.At).Microseconds()}
	}
	if l := said.Rest; !l.At.IsZero() {
		w.Rest = &gossipv1.RestWord{LeftUs: l.Value.Sub(now).Microseconds(), AgeUs: now.Sub(l.At).Microseconds()}
	}
	if l := said.HelperBackoff; !l.At.IsZero() {
		w.Blamed = &gossipv1.RestWord{LeftUs: l.Value.Sub(now).Microseconds(), AgeUs: now.Sub(l.At).Microseconds()}
	}
	return w
}

// decodeStatement decodes a target's statements about itself.
func decodeStatement(w *gossipv1.TargetStatement, now time.Time) (said balance.TimedStatement) {
	if l := w.GetLimit(); l != nil {
		said.Limit.At = ago(now, l.GetAgeUs())
		if l.GetNamed() {
			said.Limit.Value = barleystep.NewRateLimit(l.GetPerSecond())
		}
	}
	if l := w.GetLeaving(); l != nil {
		said.Leaving = balance.Timed[bool]{Value: l.GetLeaving(), At: ago(now, l.GetAgeUs())}
	}
	if l := w.GetRest(); l != nil {
		said.Rest = balance.Timed[time.Time]{Value: ago(now, -l.GetLeftUs()), At: ago(now, l.GetAgeUs())}
	}
	if l := w.GetBlamed(); l != nil {
		said.HelperBackoff = balance.Timed[time.Time]{Value: ago(now, -l.GetLeftUs()), At: ago(now, l.GetAgeUs())}
	}
	return said
}

// ago returns the time that is us microseconds before now.
func ago(now time.Time, us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }

// encodeSuspects adds the evidence about suspects to a datagram.
func encodeSuspects(d *datagram, known map[suspect.Digest]suspect.Evidence, now time.Time) {
	for digest, e := range known {
		s := &gossipv1.Suspect{Digest: digest[:], Size: int64(e.BodySize())}
		if !e.LastSuccess().IsZero() {
			s.Cleared, s.ClearedAgeUs = true, now.Sub(e.LastSuccess()).Microseconds()
		}
		if !e.LastAnswerStart().IsZero() {
			s.Begun, s.BegunAgeUs = true, now.Sub(e.LastAnswerStart()).Microseconds()
		}
		for _, end := range e.Ends() {
			s.Ends = append(s.Ends, &gossipv1.TargetEnd{
				Target: end.Key(),
				AgeUs:  now.Sub(end.At()).Microseconds(),
				Unread: end.Has(suspect.BeforeFirstEvent),
				Lone:   end.Has(suspect.RanAlone),

				Account: end.Account(),
			})
		}
		d.Suspects = append(d.Suspects, s)
	}
}

// decodeSuspects decodes the evidence about suspects from a datagram received at now.
func decodeSuspects(d *datagram, now time.Time) map[suspect.Digest]suspect.Evidence {
	known := make(map[suspect.Digest]suspect.Evidence)
	for _, s := range d.GetSuspects() {
		digest, ok := suspect.DigestFromBytes(s.GetDigest())
		if !ok {
			continue // The sender runs a newer version.
		}
		var ends []suspect.End
		for _, end := range s.GetEnds() {
			ends = append(ends, suspect.NewEnd(end.GetTarget(), ago(now, end.GetAgeUs()), decodeMarks(end)).WithAccount(end.GetAccount()))
		}
		var cleared, begun time.Time
		if s.GetCleared() {
			cleared = ago(now, s.GetClearedAgeUs())
		}
		if s.GetBegun() {
			begun = ago(now, s.GetBegunAgeUs())
		}
		known[digest] = suspect.NewEvidence(int(s.GetSize()), ends, cleared, begun)
	}
	return known
}

// decodeMarks decodes the state of a request at a target that ended.
func decodeMarks(end *gossipv1.TargetEnd) (marks suspect.EndFlags) {
	if end.GetUnread() {
		marks |= suspect.BeforeFirstEvent
	}
	if end.GetLone() {
		marks |= suspect.RanAlone
	}
	return marks
}

// decodeSnapshot decodes the snapshot of a datagram received at now.
func decodeSnapshot(d *datagram, now time.Time) balance.Snapshot {
	s := balance.NewSnapshot()
	for _, w := range d.GetWork() {
		s.Work[balance.Key(w.GetTarget())] = balance.Work{
			Short:           int(w.GetLight()),
			Long:            int(w.GetHeavy()),
			Backlog:         time.Duration(w.GetBacklogUs()) * time.Microsecond,
			LeadBacklog:     time.Duration(w.GetLedUs()) * time.Microsecond,
			KVTokens:        int(w.GetMemory()),
			PendingPrefills: int(w.GetUnread()),
			DownReports:     int(w.GetDown()),
			ObservedTTFT:    time.Duration(w.GetObservedMs()) * time.Millisecond,
			ExpectedTTFT:    time.Duration(w.GetExpectedMs()) * time.Millisecond,
		}
	}
	for _, demand := range d.GetDemands() {
		s.Demands[balance.Key(demand.GetService())] = balance.Demand{
			Short: float64(demand.GetLightMilli()) / perMilli,
			Long:  float64(demand.GetHeavyMilli()) / perMilli,
		}
	}
	s.Suspects = decodeSuspects(d, now)
	for _, w := range d.GetStatements() {
		s.Statements[balance.Key(w.GetTarget())] = decodeStatement(w, now)
	}
	return s
}
