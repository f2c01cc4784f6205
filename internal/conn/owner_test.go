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

// TestAddressOwner checks that a pooled connection is used only while its address belongs to the
// same incarnation of the target that it was made to.
func TestAddressOwner(t *testing.T) {
	at := func(id string, born int64) fleet.Target {
		return fleet.Target{ID: barleystep.TargetID(id), StartMS: born}
	}
	list := func(targets ...fleet.Target) []fleet.Target { return targets }
	cases := map[string]struct {
		lists  [][]fleet.Target
		reused bool
	}{
		"no targets set":                         {nil, true},
		"same incarnation":                       {[][]fleet.Target{list(at("i", 100)), list(at("i", 100))}, true},
		"new incarnation":                        {[][]fleet.Target{list(at("i", 100)), list(at("i", 200))}, false},
		"new incarnation, earlier start time":    {[][]fleet.Target{list(at("i", 200)), list(at("i", 100))}, false},
		"absent before a new incarnation":        {[][]fleet.Target{list(at("i", 100)), list(), list(at("i", 200))}, false},
		"absent, then back":                      {[][]fleet.Target{list(at("i", 100)), list(), list(at("i", 100))}, true},
		"no start time before a new incarnation": {[][]fleet.Target{list(at("i", 100)), list(at("i", 0)), list(at("i", 200))}, false},
		"start time never stated":                {[][]fleet.Target{list(at("i", 0)), list(at("i", 0))}, true},
		"start time stated later":                {[][]fleet.Target{list(at("i", 0)), list(at("i", 100))}, true},
		"another target":                         {[][]fleet.Target{list(at("i", 0)), list(at("k", 0))}, false},
		"another target also has the address":    {[][]fleet.Target{list(at("i", 0)), list(at("i", 0), at("k", 0)), list(at("k", 0), at("i", 0))}, true},
		"another target then has it alone":       {[][]fleet.Target{list(at("i", 0)), list(at("i", 0), at("k", 0)), list(at("k", 0))}, false},
		"owner of a shared address restarted":    {[][]fleet.Target{list(at("i", 100)), list(at("k", 0), at("i", 200))}, false},
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

// TestAddressOwnerWhileInUse checks that a connection in use during a restart serves its request
// and is not pooled again.
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

// setTargets sets the address of all targets and passes them to the pool.
func setTargets(p *conn.Pool, addr string, targets []fleet.Target) {
	list := make([]fleet.Target, len(targets))
	for i, t := range targets {
		t.Addr = addr
		list[i] = t
	}
	p.SetTargets(list)
}
