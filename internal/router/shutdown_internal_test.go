package router

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/settings"
)

// newStoppingRouter returns a router that is built but not running, with a clock that is
// advanced by hand and a caller whose request never ends.
func newStoppingRouter(t *testing.T, grace time.Duration) (r *Router, clk *clock.Manual, caller net.Conn) {
	exporter, err := metric.NewExporter()
	quicktest.Assert(t, err, quicktest.IsNil)
	clk = clock.NewManual(time.Unix(1000, 0))
	r = &Router{
		Settings:     settings.Settings{Limits: settings.Limits{Grace: settings.Duration(grace)}},
		Clock:        clk,
		Exporter:     exporter,
		Log:          &log.Logger{Level: log.PanicLevel},
		ReadyHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}
	r.build()
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { socket.Close() })
	r.callers.start(socket)
	other, err := net.Dial("tcp", socket.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	caller, err = r.callers.socket.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { caller.Close(); other.Close() })
	r.callers.trackConn(caller, http.StateActive)
	return r, clk, caller
}

// TestShutdownStopsAccepting checks that a stopping box stops accepting callers some time
// before it exits, even if it is never idle: callers accepted until the exit would get no
// answer.
func TestShutdownStopsAccepting(t *testing.T) {
	cases := map[string]time.Duration{
		"usual grace": 8 * time.Second,
		"short grace": 2 * time.Second,
		"least grace": 400 * time.Millisecond,
	}
	for name, grace := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			r, clk, caller := newStoppingRouter(t, grace)
			done := make(chan struct{})
			go func() { r.shutDown(context.Background()); close(done) }()
			const timers = 3 // The timers of the exit, of pending bodies and of the notice period.
			for clk.PendingTimers() < timers {
				runtime.Gosched()
			}
			clk.Advance(grace * 19 / 20)
			for until := time.Now().Add(10 * time.Second); !r.callers.isClosed() && time.Now().Before(until); {
				runtime.Gosched()
			}
			c.Check(r.callers.isClosed(), quicktest.IsTrue)
			select {
			case <-done:
				t.Error("the box exited before the end of the grace period with a request running")
			default:
			}
			r.callers.trackConn(caller, http.StateClosed)
			clk.Advance(grace)
			<-done
		})
	}
}

// TestSchedule checks the order of the steps of a stop, and that running streams are not
// aborted before the last sixth of the grace period.
func TestSchedule(t *testing.T) {
	const lastShare = 6 // The last sixth of the grace period, as a divisor.
	cases := map[string]time.Duration{
		"hour": time.Hour, "usual": 8 * time.Second, "short": 4 * time.Second,
		"shorter than the notice": 2 * time.Second, "least": 100 * time.Millisecond,
	}
	for name, grace := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newSchedule(grace)
			part := float64(min(grace, minFullGrace)) / float64(minFullGrace)
			c.Check(s.refuseAt >= time.Duration(part*float64(noticePeriod))-1, quicktest.IsTrue) // Less a rounding.
			c.Check(s.refuseAt < s.answerBy, quicktest.IsTrue)
			c.Check(s.answerBy >= grace-grace/lastShare, quicktest.IsTrue)
			c.Check(s.answerBy < s.closeAt, quicktest.IsTrue)
			c.Check(s.closeAt < s.readBy, quicktest.IsTrue)
			c.Check(s.readBy < s.exitAt, quicktest.IsTrue)
			c.Check(s.exitAt < grace, quicktest.IsTrue)
		})
	}
}

// TestScheduleRefusesInTime checks that a stopping box begins to refuse requests well before callers
// may no longer expect an answer from it. It guards against requests that are sent within that time
// and reach a slow box after it.
func TestScheduleRefusesInTime(t *testing.T) {
	const (
		sentBy = 3 * time.Second        // sentBy is until when callers may expect an answer.
		margin = 400 * time.Millisecond // margin is how late a slow box may see the request.
	)
	c := quicktest.New(t)
	for _, grace := range []time.Duration{minFullGrace, time.Hour} {
		c.Check(newSchedule(grace).refuseAt <= sentBy-margin, quicktest.IsTrue)
	}
}
