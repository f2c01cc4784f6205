package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestShutdownChecksBeforeSending checks that a request is judged again just before it is sent. It
// guards against requests that are sent too late because the connection to the target took long.
func TestShutdownChecksBeforeSending(t *testing.T) {
	const left = 3 * time.Second
	cases := map[string]struct {
		delay  time.Duration
		status int
	}{
		"soon":     {0, http.StatusOK},
		"too late": {1500 * time.Millisecond, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f, manual, _ := newSingleEngineFixture(t, eventStream(1, 2, false))
			f.front.Pool.Dialer = &slowDialer{inner: f.front.Pool.Dialer, clock: manual, delay: tc.delay}
			f.front.BeginShutdown(manual.Now().Add(left))
			c.Check(f.doLong(t).status, quicktest.Equals, tc.status)
			c.Check(f.target.requestCount(), quicktest.Equals, map[bool]int{true: 1}[tc.status == http.StatusOK])
			c.Check(f.front.Balancer.Snapshot().Work, quicktest.HasLen, 0)
		})
	}
}
