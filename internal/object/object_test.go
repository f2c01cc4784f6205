package object_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/platform"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// constructors returns constructors of all implementations; if down is true, all calls fail.
func constructors(t *testing.T) map[string]func(down bool) barleystep.ObjectStore {
	return map[string]func(bool) barleystep.ObjectStore{
		"memory": func(down bool) barleystep.ObjectStore {
			m := &object.Memory{}
			if down {
				m.FaultFunc = func(string, string) error { return barleystep.ErrUnavailable }
			}
			return m
		},
		"platform": func(down bool) barleystep.ObjectStore {
			p := &platformtest.Store{Clock: clock.System{}}
			if down {
				p.SetFault(platformtest.FaultBusy)
			}
			s := httptest.NewServer(p)
			t.Cleanup(s.Close)
			return &platform.Store{
				Addr: s.Listener.Addr().String(), Clock: clock.System{},
				HTTP: &http.Client{Transport: &http.Transport{}}, Timeout: 10 * time.Second,
			}
		},
	}
}

// TestContract checks that every object store satisfies barleystep.ObjectStore.
func TestContract(t *testing.T) {
	for name, build := range constructors(t) {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			ctx := context.Background()
			s := build(false)
			_, err := s.Get(ctx, "a")
			c.Assert(err, quicktest.ErrorIs, barleystep.ErrNotFound)
			c.Assert(s.Put(ctx, "a", []byte("1")), quicktest.IsNil)
			data, err := s.Get(ctx, "a")
			c.Assert(err, quicktest.IsNil)
			c.Check(string(data), quicktest.Equals, "1")
			c.Assert(s.Delete(ctx, "a"), quicktest.IsNil)
			c.Assert(s.Delete(ctx, "a"), quicktest.IsNil)
			_, err = s.Get(ctx, "a")
			c.Check(err, quicktest.ErrorIs, barleystep.ErrNotFound)
		})
		t.Run(name+"/faults", func(t *testing.T) {
			c := quicktest.New(t)
			ctx := context.Background()
			s := build(true)
			c.Check(barleystep.FaultOf(s.Put(ctx, "a", nil)), quicktest.Equals, barleystep.FaultUnavailable)
			_, err := s.Get(ctx, "a")
			c.Check(err, quicktest.ErrorIs, barleystep.ErrUnavailable, quicktest.Commentf("an unavailable store must not report the object as missing"))
		})
	}
}
