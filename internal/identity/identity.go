// Package identity makes the names by which a box's starts, requests and
// attempts are told apart.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"sync/atomic"

	"github.com/barleystep/barleystep"
)

// randomBits is how many low bits of an incarnation are drawn at random; the
// others are the time of the start in milliseconds, so that a later start of a
// box has a greater incarnation.
const randomBits = 20

// NewIncarnation returns an incarnation for a start at the present time.
func NewIncarnation(clk barleystep.Clock) barleystep.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // It never fails on the supported systems.
	random := binary.BigEndian.Uint64(b[:]) >> (64 - randomBits)
	return barleystep.Incarnation(uint64(clk.Now().UnixMilli())<<randomBits | random)
}

// Source numbers the requests and attempts of one start of a box. It is safe
// for concurrent use.
type Generator struct {
	box         barleystep.BoxID
	incarnation barleystep.Incarnation
	attempts    atomic.Uint64
	requests    atomic.Uint64
}

// NewSource returns a source for the given start of a box.
func NewGenerator(box barleystep.BoxID, inc barleystep.Incarnation) *Generator {
	return &Generator{box: box, incarnation: inc}
}

// Box returns the name of the box.
func (s *Generator) Box() barleystep.BoxID { return s.box }

// Incarnation returns the incarnation of the start.
func (s *Generator) Incarnation() barleystep.Incarnation { return s.incarnation }

// Attempt returns an attempt id that was never returned before.
func (s *Generator) NextAttempt() barleystep.AttemptID {
	return barleystep.NewAttemptID(s.box, s.incarnation, s.attempts.Add(1))
}

// Request returns a request id that was never returned before.
func (s *Generator) NextRequest() string {
	return "r." + string(s.box) + "." + s.incarnation.String() + "." + strconv.FormatUint(s.requests.Add(1), 10)
}
