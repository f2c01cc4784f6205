package router_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// second adds another target of the same service.
func (r *fixture) addTarget(t *testing.T) *platformtest.Server {
	target := &platformtest.Server{ID: "i-2"}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	r.store.PutServer("i-2", "app", server.Listener.Addr().String())
	eventually(t, func() bool {
		status, _ := r.post(t, 0, "/a/x", "k1")
		return status == http.StatusOK && target.ArrivalCount() > 0
	})
	return target
}

// hear asks until the target has got one more request, whose answer is passed on.
func (r *fixture) waitForAnswer(t *testing.T, target *platformtest.Server) {
	before := target.ArrivalCount()
	eventually(t, func() bool {
		r.post(t, 0, "/a/x", "k1")
		return target.ArrivalCount() > before
	})
}

// TestLeavingTarget checks that a target gets nothing more from a box that has passed on an
// answer of it which says that it leaves, whatever the store says.
//
// Operators saw requests reach a plain target 2.2 to 6.6 s after its word, from boxes that had
// passed it on, while the store was away. Boxes went by the target's record alone, which it
// could not write; nothing read what it said in its answers. Its figures prove it, which are the
// same before and after the word, and the logs, in which no line names the word; the record was
// heeded at all other times.
func TestLeavingTarget(t *testing.T) {
	const times = 40
	for name, others := range map[string]int{"beside another": 1, "alone": 0} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			r := newFixture(t, 1)
			want := http.StatusServiceUnavailable
			if others > 0 {
				r.addTarget(t)
				want = http.StatusOK
			}
			r.target.SetLeaving()
			r.waitForAnswer(t, r.target)
			after := r.target.ArrivalCount()
			for i := range times {
				status, _ := r.post(t, 0, "/a/x", "k1")
				c.Check(status, quicktest.Equals, want)
				if i == times/2 {
					r.store.PutServer("i-1", "app", r.addr)
				}
			}
			c.Check(r.target.ArrivalCount(), quicktest.Equals, after)
		})
	}
}

// TestRestingTarget checks that a target which turns a request away and asks for rest gets
// nothing from that box meanwhile; that requests go elsewhere, wait where they can be in time,
// or are refused at once with the time that is left; and that it is asked again afterwards.
//
// Operators saw targets that had asked a box for 3 s of rest get three and four requests from
// it within that time, each of which was turned away. The time was not read: a target that had
// no room was left alone for 60 ms, whatever it asked for. The logs of such a day prove it: five
// engines turned away all 171 requests that they got in ten seconds, the others none, and no
// line names the time.
func TestRestingTarget(t *testing.T) {
	const (
		times         = 400 // They take longer than a target is left alone that has no room.
		long          = 50
		minRetryAfter = 20 * time.Second
		// spread is by how much later than asked a box comes back at the most.
		maxJitter = 500 * time.Millisecond
	)
	t.Run("beside another", func(t *testing.T) {
		c := quicktest.New(t)
		r := newFixture(t, 1)
		r.addTarget(t)
		r.target.SetRest(strconv.Itoa(long))
		r.waitForAnswer(t, r.target)
		after := r.target.ArrivalCount()
		for range times {
			status, _ := r.post(t, 0, "/a/x", "k1")
			c.Check(status, quicktest.Equals, http.StatusOK)
		}
		c.Check(r.target.ArrivalCount(), quicktest.Equals, after)
	})
	t.Run("alone, refused", func(t *testing.T) {
		c := quicktest.New(t)
		r := newFixture(t, 1)
		r.target.SetRest(strconv.Itoa(long))
		r.waitForAnswer(t, r.target)
		after := r.target.ArrivalCount()
		for range times {
			resp := r.do(t, 0, "/a/x", "k1", "r1")
			c.Check(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			c.Check(err, quicktest.IsNil)
			c.Check(seconds > minRetryAfter.Seconds() && seconds <= long+maxJitter.Seconds(), quicktest.IsTrue, quicktest.Commentf("%v", seconds))
		}
		c.Check(r.target.ArrivalCount(), quicktest.Equals, after)
	})
	t.Run("alone, waits", func(t *testing.T) {
		c := quicktest.New(t)
		r := newFixture(t, 1)
		r.target.SetRest("0.6")
		r.waitForAnswer(t, r.target)
		r.target.SetRest("")
		after := r.target.ArrivalCount()
		status, _ := r.post(t, 0, "/a/x", "k1")
		c.Check(status, quicktest.Equals, http.StatusOK)
		c.Check(r.target.ArrivalCount(), quicktest.Equals, after+1)
	})
}
