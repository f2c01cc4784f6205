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

// record is the form in which the evidence against a request lies in the platform's store,
// under the request's digest.
type record struct {
	// Size is the length of the body in bytes.
	Size int         `json:"size"`
	Ends []recordEnd `json:"ends"`
}

type recordEnd struct {
	Target uint32 `json:"target"`
	// AtMS is when it was seen, in Unix milliseconds.
	AtMS   int64 `json:"at_ms"`
	Unread bool  `json:"unread"`
	Lone   bool  `json:"lone"`
}

// The fields of a record.
const (
	fieldSize   = "size"
	fieldEnds   = "ends"
	fieldTarget = "target"
	fieldAt     = "at_ms"
	fieldUnread = "unread"
	fieldLone   = "lone"
)

// moment is one moment by a box's clock and by the time of day, which all boxes know.
type clockReading struct{ now, day time.Time }

// encodeRecord returns the record of a request.
func encodeRecord(d Digest, e Evidence, m clockReading) (r barleystep.Record, err error) {
	w := record{Size: e.bodySize}
	for _, end := range e.ends {
		at := m.day.Add(end.at.Sub(m.now))
		w.Ends = append(w.Ends, recordEnd{Target: end.key, AtMS: at.UnixMilli(), Unread: end.Has(BeforeFirstEvent), Lone: end.Has(RanAlone)})
	}
	value, err := json.Marshal(w)
	if err != nil {
		return barleystep.Record{}, eris.Wrap(err, "suspect: encode record")
	}
	return barleystep.NewRecord(d.String(), value), nil
}

// decodeRecord reads a record. An error says that no box wrote it. Times of day differ from box
// to box: what lies ahead is now.
func decodeRecord(r barleystep.Record, m clockReading) (d Digest, e Evidence, err error) {
	key, err := hex.DecodeString(r.Key())
	d, ok := DigestFromBytes(key)
	if err != nil || !ok {
		return Digest{}, Evidence{}, strict.Errorf(strict.ReasonInvalidValue, "the key is no digest")
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

// decodeEnd reads one end of a record.
func decodeEnd(o *strict.Object, m clockReading) End {
	target := o.Int(fieldTarget)
	if target < 0 || target > math.MaxUint32 {
		target = 0 // No lifetime's key that a box has seen is likely to be it.
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
	return NewEnd(uint32(target), m.now.Add(-time.Duration(age)*time.Millisecond), flags)
}
