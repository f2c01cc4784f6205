// Package identity generates incarnations and the ids of requests and attempts.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"sync/atomic"

	"github.com/barleystep/barleystep"
)

// randomBits is the number of random low bits of an incarnation. The others are the start time
// in milliseconds, so that a later start of a box has a greater incarnation.
const randomBits = 20

// NewIncarnation returns an incarnation for a start at the current time.
func NewIncarnation(clk barleystep.Clock) barleystep.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Read never fails on the supported systems.
	random := binary.BigEndian.Uint64(b[:]) >> (64 - randomBits)
	return barleystep.Incarnation(uint64(clk.Now().UnixMilli())<<randomBits | random)
}

// Generator numbers the requests and attempts of one incarnation of a box. It is safe for
// concurrent use.
type Generator struct {
	box         barleystep.BoxID
	incarnation barleystep.Incarnation
	attempts    atomic.Uint64
	requests    atomic.Uint64
}

// NewGenerator returns a generator for the given incarnation of a box.
func NewGenerator(box barleystep.BoxID, inc barleystep.Incarnation) *Generator {
	return &Generator{box: box, incarnation: inc}
}

// Box returns the name of the box.
func (s *Generator) Box() barleystep.BoxID { return s.box }

// Incarnation returns the incarnation of the box.
func (s *Generator) Incarnation() barleystep.Incarnation { return s.incarnation }

// NextAttempt returns a new attempt id.
func (s *Generator) NextAttempt() barleystep.AttemptID {
	return barleystep.NewAttemptID(s.box, s.incarnation, s.attempts.Add(1))
}

// NextRequest returns a new request id.
func (s *Generator) NextRequest() string {
	return "r." + string(s.box) + "." + s.incarnation.String() + "." + strconv.FormatUint(s.requests.Add(1), 10)
}
