package object_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/platform"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/table"
)

// stores returns all implementations, each before one that can fail.
func stores(t *testing.T) map[string]func(*object.Memory) barleystep.ObjectStore {
	return map[string]func(*object.Memory) barleystep.ObjectStore{
		"memory": func(m *object.Memory) barleystep.ObjectStore { return m },
		"platform": func(m *object.Memory) barleystep.ObjectStore {
			p := &standin.Platform{Table: &table.Memory{}, Objects: m}
			s := httptest.NewServer(p.Handler())
			t.Cleanup(s.Close)
			return &platform.Client{URL: s.URL, Clock: clock.System{}}
		},
	}
}

// TestContract holds every object store to what the interface promises.
func TestContract(t *testing.T) {
	for name, build := range stores(t) {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			ctx := context.Background()
			s := build(&object.Memory{})
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
			s := build(&object.Memory{Fail: func(string, string) error { return barleystep.ErrUnavailable }})
			c.Check(barleystep.FaultOf(s.Put(ctx, "a", nil)), quicktest.Equals, barleystep.FaultUnavailable)
			_, err := s.Get(ctx, "a")
			c.Check(err, quicktest.ErrorIs, barleystep.ErrUnavailable, quicktest.Commentf("a store that is down does not say that the object is missing"))
		})
	}
}
