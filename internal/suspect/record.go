package suspect

import (
	"encoding/hex"
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/strict"
)

// record is the evidence against a request as the platform's store holds it, under the request's
// digest.
type record struct {
	// Size is the length of the body in bytes.
	Size int         `json:"size"`
	Ends []recordEnd `json:"ends"`
}

type recordEnd struct {
	Target uint32 `json:"target"`
	// AtMS is when the end was observed, in Unix milliseconds.
	AtMS   int64 `json:"at_ms"`
	Unread bool  `json:"unread"`
	Lone   bool  `json:"lone"`
	// Account is the key of the client account; 0 in records of older versions.
	Account uint32 `json:"account,omitempty"`
}

// The fields of a record.
const (
	fieldSize   = "size"
	fieldEnds   = "ends"
	fieldTarget = "target"
	fieldAt     = "at_ms"
	fieldUnread = "unread"
	fieldLone   = "lone"
	fieldOwner  = "account"
)

// clockReading is one moment by a box's clock and by the time of day, which all boxes share.
type clockReading struct{ now, day time.Time }

// encodeRecord returns the record of a request.
func encodeRecord(d Digest, e Evidence, m clockReading) (r barleystep.Record, err error) {
	w := record{Size: e.bodySize}
	for _, end := range e.ends {
		at := m.day.Add(end.at.Sub(m.now))
		w.Ends = append(w.Ends, recordEnd{Target: end.key, AtMS: at.UnixMilli(), Unread: end.Has(BeforeFirstEvent), Lone: end.Has(RanAlone), Account: end.account})
	}
	value, err := json.Marshal(w)
	if err != nil {
		return barleystep.Record{}, eris.Wrap(err, "suspect: encode record")
	}
	return barleystep.NewRecord(d.String(), value), nil
}

// decodeRecord parses a record. An error means that no box wrote it. The time of day differs from
// box to box, so a time in the future counts as now.
func decodeRecord(r barleystep.Record, m clockReading) (d Digest, e Evidence, err error) {
	key, err := hex.DecodeString(r.Key())
	d, ok := DigestFromBytes(key)
	if err != nil || !ok {
		return Digest{}, Evidence{}, strict.Errorf(strict.ReasonInvalidValue, "the key is not a digest")
	}
	o := strict.Parse(r.Value())
	e.bodySize = int(o.Int(fieldSize))
	for _, end := range o.Objects(fieldEnds) {
		e.add(decodeEnd(end, m))
		if err = end.Err(); err != nil {
			return Digest{}, Evidence{}, err
		}
	}
	return d, e, o.Err()
}

// decodeEnd parses one end of a record.
func decodeEnd(o *strict.Object, m clockReading) End {
	target := o.Int(fieldTarget)
	if target < 0 || target > math.MaxUint32 {
		target = 0 // Zero is unlikely to be the key of a known incarnation.
	}
	age := max(m.day.UnixMilli()-o.Int(fieldAt), 0)
	age = min(age, (2 * CertainRefusalPeriod).Milliseconds())
	var flags EndFlags
	if o.Bool(fieldUnread) {
		flags |= BeforeFirstEvent
	}
	if o.Bool(fieldLone) {
		flags |= RanAlone
	}
	end := NewEnd(uint32(target), m.now.Add(-time.Duration(age)*time.Millisecond), flags)
	if o.Has(fieldOwner) {
		end.account = uint32(o.Int(fieldOwner))
	}
	return end
}
