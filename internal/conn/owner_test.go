package conn_test

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
)

// TestOwner checks that a kept connection is used only as long as its address belongs to the
// lifetime of the target to which it was made.
func TestAddressOwner(t *testing.T) {
	at := func(id string, born int64) fleet.Target {
		return fleet.Target{ID: barleystep.TargetID(id), StartMS: born}
	}
	list := func(targets ...fleet.Target) []fleet.Target { return targets }
	cases := map[string]struct {
		lists  [][]fleet.Target
		reused bool
	}{
		"nothing is told":                  {nil, true},
		"the same lifetime":                {[][]fleet.Target{list(at("i", 100)), list(at("i", 100))}, true},
		"another lifetime":                 {[][]fleet.Target{list(at("i", 100)), list(at("i", 200))}, false},
		"another one, by an older clock":   {[][]fleet.Target{list(at("i", 200)), list(at("i", 100))}, false},
		"gone between them":                {[][]fleet.Target{list(at("i", 100)), list(), list(at("i", 200))}, false},
		"gone and back":                    {[][]fleet.Target{list(at("i", 100)), list(), list(at("i", 100))}, true},
		"no word between them":             {[][]fleet.Target{list(at("i", 100)), list(at("i", 0)), list(at("i", 200))}, false},
		"it never says":                    {[][]fleet.Target{list(at("i", 0)), list(at("i", 0))}, true},
		"it begins to say":                 {[][]fleet.Target{list(at("i", 0)), list(at("i", 100))}, true},
		"another target":                   {[][]fleet.Target{list(at("i", 0)), list(at("k", 0))}, false},
		"another target also claims it":    {[][]fleet.Target{list(at("i", 0)), list(at("i", 0), at("k", 0)), list(at("k", 0), at("i", 0))}, true},
		"which then has it alone":          {[][]fleet.Target{list(at("i", 0)), list(at("i", 0), at("k", 0)), list(at("k", 0))}, false},
		"the claimed one has started anew": {[][]fleet.Target{list(at("i", 100)), list(at("k", 0), at("i", 200))}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newTarget(t, answer("1", "a"), answer("2", "b"))
			p := newPool()
			for i, targets := range tc.lists {
				setTargets(p, s.addr(), targets)
				if i == 0 {
					_, err := exchange(t, p, s.addr(), http.MethodGet, "1", nil)
					c.Assert(err, quicktest.IsNil)
				}
			}
			if len(tc.lists) == 0 {
				_, err := exchange(t, p, s.addr(), http.MethodGet, "1", nil)
				c.Assert(err, quicktest.IsNil)
			}
			k, err := p.Get(context.Background(), s.addr())
			c.Assert(err, quicktest.IsNil)
			c.Check(k.Reused(), quicktest.Equals, tc.reused)
			c.Check(p.OpenConns(s.addr()), quicktest.Equals, 1)
			k.Discard()
		})
	}
}

// TestOwnerWhileInUse checks that a connection in use over a restart serves its request and is
// not kept.
func TestAddressOwnerWhileInUse(t *testing.T) {
	c := quicktest.New(t)
	s := newTarget(t, answer("1", "a"))
	p := newPool()
	setTargets(p, s.addr(), []fleet.Target{{ID: "i", StartMS: 100}})
	k, err := p.Get(context.Background(), s.addr())
	c.Assert(err, quicktest.IsNil)
	setTargets(p, s.addr(), []fleet.Target{{ID: "i", StartMS: 200}})
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}}
	resp, err := k.Send(context.Background(), req, nil, func(h http.Header) bool { return h.Get("Id") == "1" })
	c.Assert(err, quicktest.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, quicktest.IsNil)
	c.Check(string(body), quicktest.Equals, "a")
	resp.Body.Close()
	k.Release(resp)
	c.Check(p.OpenConns(s.addr()), quicktest.Equals, 0)
}

// tell tells the pool of targets that all have the address.
func setTargets(p *conn.Pool, addr string, targets []fleet.Target) {
	list := make([]fleet.Target, len(targets))
	for i, t := range targets {
		t.Addr = addr
		list[i] = t
	}
	p.SetTargets(list)
}
