package platform_test

import (
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/platform"
	"github.com/barleystep/barleystep/internal/standin"
)

// TestBoxList holds both implementations of BoxList to the same contract.
func TestBoxList(t *testing.T) {
	p := &standin.Platform{}
	p.SetBoxes(barleystep.NewBox("b1", "h", "127.0.0.1:1", false), barleystep.NewBox("b2", "h", "127.0.0.1:2", true))
	s := httptest.NewServer(p.Handler())
	client := &platform.Client{URL: s.URL, Clock: clock.System{}}
	for name, list := range map[string]barleystep.BoxList{"stand-in": p, "platform": client} {
		t.Run(name, func(t *testing.T) {
			boxes, err := list.Boxes(t.Context())
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, boxes, quicktest.HasLen, 2)
			quicktest.Check(t, boxes[0].Addr(), quicktest.Equals, "127.0.0.1:1")
			quicktest.Check(t, boxes[1].Leaving(), quicktest.IsTrue)
		})
	}
	s.Close()
	_, err := client.Boxes(t.Context())
	quicktest.Check(t, err, quicktest.ErrorIs, barleystep.ErrUnavailable)
}
