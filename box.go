package barleystep

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/strict"
)

// BoxID is the name of a box in the platform's list, such as "cluj-hala1-e3".
type BoxID string

// Jitter returns a fraction in [0, 1) that is derived from a hash of the name. It spreads the
// actions of boxes that would otherwise act at the same moment, and every box computes the same
// value for a name.
func (id BoxID) Jitter() float64 {
	const bits = 53 // A float64 represents integers of this size exactly.
	return float64(xxhash.Sum64String(string(id))>>(64-bits)) / (1 << bits)
}

// HallID is the name of a hall, such as "dej-hala".
type HallID string

// Incarnation distinguishes the starts of the same box. A later start has a greater value as
// far as the clock of the box is right. Zero is never used.
type Incarnation uint64

// String returns the incarnation as sixteen hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// Box is an entry of the platform's list of boxes.
type Box struct {
	id      BoxID
	hall    HallID
	addr    string
	leaving bool
}

// NewBox returns a box; addr is the IP and port of its peer listener.
func NewBox(id BoxID, hall HallID, addr string, leaving bool) Box {
	return Box{id: id, hall: hall, addr: addr, leaving: leaving}
}

// ID returns the name of the box.
func (b Box) ID() BoxID { return b.id }

// Hall returns the hall that the box belongs to.
func (b Box) Hall() HallID { return b.hall }

// Addr returns the IP and port of the peer listener.
func (b Box) Addr() string { return b.addr }

// Leaving reports whether the platform has announced that the box will stop.
func (b Box) Leaving() bool { return b.leaving }

// BoxList is the platform's list of live and leaving boxes. It may be out of date.
type BoxList interface {
	// Boxes returns all boxes that the platform knows, or ErrUnavailable.
	Boxes(ctx context.Context) ([]Box, error)
}

// boxRecord is the JSON form of a box in the platform's store.
type boxRecord struct {
	Hall    string `json:"hall"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving,omitempty"`
}

// EncodeBox returns the value of the box's record in TopicBoxes. The key of the record is the
// name of the box.
func EncodeBox(b Box) (value []byte, err error) {
	value, err = json.Marshal(boxRecord{Hall: string(b.hall), Addr: b.addr, Leaving: b.leaving})
	return value, eris.Wrap(err, "barleystep: encode box")
}

// Field names of a box's record.
const (
	fieldHall    = "hall"
	fieldAddr    = "addr"
	fieldLeaving = "leaving"
)

// DecodeBox decodes a record of TopicBoxes. It returns an error for a record that no box can
// have written.
func DecodeBox(r Record) (b Box, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "barleystep: decode box %q", r.Key())
		}
	}()
	if r.Key() == "" {
		return Box{}, strict.Errorf(strict.ReasonMissing, "the name is missing")
	}
	o := strict.Parse(r.Value())
	b = NewBox(BoxID(r.Key()), HallID(o.NonEmptyText(fieldHall)), o.AddrPort(fieldAddr), false)
	if o.Has(fieldLeaving) {
		b.leaving = o.Bool(fieldLeaving)
	}
	if err = o.Err(); err != nil {
		return Box{}, err
	}
	return b, nil
}
