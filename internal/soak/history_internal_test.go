package soak

import (
	"strings"
	"testing"
	"unsafe"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// TestBodiesInterned checks that a body shared by many calls is stored once. Otherwise runs of some
// minutes took gigabytes.
func TestBodiesInterned(t *testing.T) {
	h := NewHistory(nil)
	body := func() string { return strings.Repeat("x", 1000) }
	for range 3 {
		h.RecordCall(Call{Body: body()})
		h.RecordArrival(platformtest.Arrival{Body: body()})
	}
	first := unsafe.StringData(h.calls[0].Body)
	for i := range h.calls {
		quicktest.Check(t, unsafe.StringData(h.calls[i].Body) == first, quicktest.IsTrue)
		quicktest.Check(t, unsafe.StringData(h.arrivals[i].Body) == first, quicktest.IsTrue)
	}
	quicktest.Check(t, h.calls[0].Body, quicktest.Equals, body())
}
