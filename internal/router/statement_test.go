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

// addTarget adds another target of the same service.
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

// waitForAnswer sends requests until the target has received one more, so that the box has read
// its answer.
func (r *fixture) waitForAnswer(t *testing.T, target *platformtest.Server) {
	before := target.ArrivalCount()
	eventually(t, func() bool {
		r.post(t, 0, "/a/x", "k1")
		return target.ArrivalCount() > before
	})
}

// TestLeavingTarget checks that a box sends no more requests to a target after it has passed on
// an answer in which the target announces that it is leaving, whatever the target's record in
// the store says.
//
// It guards against boxes that use the record alone. While the store is unavailable the target
// cannot update its record, and it used to get requests 2.2 to 6.6 s after such an answer.
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

// TestRestingTarget checks that a target which refuses a request and asks for rest gets nothing
// from that box during the rest. Meanwhile requests go to other targets, wait if they can still
// meet their deadline, or are refused at once with the remaining time. Afterwards the target is
// used again.
//
// It guards against boxes that ignore the requested time: a target without capacity was avoided
// for 60 ms only, and targets that asked for 3 s of rest got three or four more requests within
// that time. Five such engines refused all 171 requests that they got in ten seconds.
func TestRestingTarget(t *testing.T) {
	const (
		times         = 400 // Together they take longer than a target without capacity is avoided.
		long          = 50
		minRetryAfter = 20 * time.Second
		// maxJitter is the longest delay that a box adds to the requested rest.
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
	t.Run("alone, request waits", func(t *testing.T) {
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
