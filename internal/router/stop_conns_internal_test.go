package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/front"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/platform"
)

// stopFixture is a router of which only the listener runs, on a clock that is advanced by hand.
type stopFixture struct {
	*Router
	clk  *clock.Manual
	done chan struct{} // done is closed when the stop has ended.
	// holding is set once a request for /held runs, which waits until held is closed.
	holding atomic.Bool
	held    chan struct{}
}

// newStopFixture returns a router without a configuration. It refuses requests at once, or if loading
// is set once the time for which they wait is over.
func newStopFixture(t *testing.T, loading bool) *stopFixture {
	exporter, err := metric.NewExporter()
	quicktest.Assert(t, err, quicktest.IsNil)
	f := &stopFixture{clk: clock.NewManual(time.Unix(1000, 0)), done: make(chan struct{}), held: make(chan struct{})}
	f.Router = &Router{
		Settings:     settings.Settings{Limits: settings.Limits{Grace: settings.Duration(defaultGrace)}},
		Clock:        f.clk,
		Exporter:     exporter,
		Protocol:     platform.Protocol{},
		Log:          &log.Logger{Level: log.PanicLevel},
		ReadyHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}
	f.build()
	if !loading {
		f.front = &front.Server{
			Clock: f.clk, Protocol: f.Protocol, Configuration: f.configuration, Balancer: f.balancer,
			Pool: f.pool, Budget: f.budget, Meter: exporter.Meter(), Log: f.Log,
		}
		f.callers.handler = f.front.Handler()
	}
	mux := http.NewServeMux()
	mux.Handle("/", f.callers.handler)
	mux.HandleFunc("/served", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/held", func(http.ResponseWriter, *http.Request) {
		f.holding.Store(true)
		<-f.held
	})
	f.callers.handler = mux
	f.serve(t)
	return f
}

// serve starts the listener.
func (f *stopFixture) serve(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	f.callers.addr = l.Addr().String()
	quicktest.Assert(t, l.Close(), quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = f.callers.Serve(ctx) // It ends with an error, since ctx is cancelled.
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		for !isClosed(ended) {
			f.clk.Advance(time.Second)
		}
	})
	await(t, func() bool { return f.callers.accepting.Load() && f.clk.PendingTimers() == 1 })
}

// stop begins the stop and advances the clock by d.
func (f *stopFixture) stop(t *testing.T, d time.Duration) {
	before := f.clk.PendingTimers()
	go func() { f.shutDown(context.Background()); close(f.done) }()
	const timers = 3 // The timers of the exit, of pending bodies and of the notice period.
	await(t, func() bool { return f.clk.PendingTimers() >= before+timers })
	f.clk.Advance(d)
}

// stopRefusing begins the stop and waits until the box refuses.
func (f *stopFixture) stopRefusing(t *testing.T) {
	f.stop(t, noticePeriod)
	await(t, func() bool {
		f.dial(t).ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return f.front.StopRefusals().Count > 0
	})
	await(t, func() bool { return f.front.Running() == 0 })
	f.clk.Advance(pollInterval)
}

// finish advances the clock until the stop has ended, by at most the given time.
func (f *stopFixture) finish(t *testing.T, atMost time.Duration) {
	const turns = 1000 // For which other goroutines can run after each step.
	for advanced := time.Duration(0); advanced < atMost && !isClosed(f.done); advanced += pollInterval {
		f.clk.Advance(pollInterval)
		for range turns {
			runtime.Gosched()
		}
	}
	await(t, func() bool { return isClosed(f.done) })
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// await waits until the condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(until) {
			t.Fatal("the condition does not come to hold")
		}
	}
}

// stopCaller is a caller's end of a connection.
type stopCaller struct {
	net.Conn
	in *bufio.Reader
}

func (f *stopFixture) dial(t *testing.T) *stopCaller {
	c, err := net.Dial("tcp4", f.callers.addr)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { c.Close() })
	return &stopCaller{c, bufio.NewReader(c)}
}

// dialKept returns a connection that has carried a request before.
func (f *stopFixture) dialKept(t *testing.T) *stopCaller {
	c := f.dial(t)
	status, closes := c.ask("GET /served HTTP/1.1\r\nHost: h\r\n\r\n")
	quicktest.Assert(t, status, quicktest.Equals, http.StatusOK)
	quicktest.Assert(t, closes, quicktest.IsFalse)
	return c
}

// send sends text as it is.
func (c *stopCaller) send(text string) {
	_, _ = io.WriteString(c, text) // The answer shows a connection that is closed.
}

// ask sends text and returns the status of the answer, 0 if there is none or it is not complete, and
// whether the answer says that the connection is closed.
func (c *stopCaller) ask(text string) (status int, closes bool) {
	c.send(text)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Close
}

// checkRefused checks that text is answered by a refusal that closes the connection.
func (c *stopCaller) checkRefused(t *testing.T, text string) {
	t.Helper()
	status, closes := c.ask(text)
	quicktest.Check(t, status, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, closes, quicktest.IsTrue)
}

// isAtEnd waits for the end of the connection and reports whether nothing came before it.
func (c *stopCaller) isAtEnd() bool {
	_, err := c.in.ReadByte()
	return err == io.EOF
}

const (
	request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	// headPart is the first part of a request, restOfHead the rest.
	headPart   = "POST /x HTTP/1.1\r\nHost: h\r\n"
	restOfHead = "Content-Length: 4\r\n\r\n"
)

// TestStopAnswersKeptConnections guards against closed connections that callers still use: a box
// closed all that seemed idle when it began to refuse, and the others after answers that did not
// say so. Tries ended with no answer.
func TestStopAnswersKeptConnections(t *testing.T) {
	cases := map[string]string{
		"with a length": request,
		"no body":       "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"chunks":        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0":      "GET /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newStopFixture(t, false)
			served, refused, running := f.dialKept(t), f.dialKept(t), f.dialKept(t)
			running.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
			await(t, f.holding.Load)
			f.stop(t, 0)
			served.checkRefused(t, text)
			c.Check(served.isAtEnd(), quicktest.IsTrue)
			f.clk.Advance(noticePeriod)
			await(t, func() bool {
				f.dial(t).ask(request)
				return f.front.StopRefusals().Count > 0
			})
			f.clk.Advance(pollInterval)
			refused.checkRefused(t, text)
			c.Check(refused.isAtEnd(), quicktest.IsTrue)
			close(f.held)
			status, _ := running.ask("")
			c.Check(status, quicktest.Equals, http.StatusOK)
			if status, closes := running.ask(text); status != 0 { // The connection may be closed by now, as idle.
				c.Check(closes, quicktest.IsTrue)
			}
			f.finish(t, noticePeriod)
		})
	}
}

// TestStopTellsRunningRequests guards against answers of a stopping box that leave their connections
// open, since their requests came before the stop.
func TestStopTellsRunningRequests(t *testing.T) {
	f := newStopFixture(t, true)
	caller := f.dialKept(t)
	caller.send(request)
	await(t, func() bool { return f.clk.PendingTimers() == 2 }) // Those of the sweep and of the request.
	f.stop(t, 0)
	f.clk.Advance(time.Second) // More than requests wait.
	caller.checkRefused(t, "")
	f.clk.Advance(noticePeriod)
	f.finish(t, noticePeriod)
}

// TestStopExpectContinue guards against callers that are told to send their body and get no answer.
func TestStopExpectContinue(t *testing.T) {
	c := quicktest.New(t)
	f := newStopFixture(t, false)
	caller, running := f.dialKept(t), f.dialKept(t)
	running.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, f.holding.Load)
	f.stopRefusing(t)
	caller.send(headPart + "Expect: 100-continue\r\n" + restOfHead)
	resp, err := http.ReadResponse(caller.in, nil)
	c.Assert(err, quicktest.IsNil)
	if resp.StatusCode == http.StatusContinue {
		caller.send("body")
		resp, err = http.ReadResponse(caller.in, nil)
		c.Assert(err, quicktest.IsNil)
	}
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Close, quicktest.IsTrue)
	close(f.held)
	f.finish(t, noticePeriod)
}

// TestStopAnswersArrivedRequests guards against requests that a box has begun to read, or that wait
// to be read, when it closes the connections that seem idle.
func TestStopAnswersArrivedRequests(t *testing.T) {
	cases := map[string]bool{"new connection": false, "kept connection": true}
	for name, kept := range cases {
		t.Run(name, func(t *testing.T) {
			f := newStopFixture(t, false)
			caller := f.dial(t)
			if kept {
				caller = f.dialKept(t)
			}
			f.stop(t, 0)
			caller.send(headPart)
			await(t, func() bool { return f.callers.count()[connReceiving] == 1 })
			f.clk.Advance(noticePeriod)
			await(t, f.callers.isClosed)
			caller.checkRefused(t, restOfHead+"body")
			f.finish(t, noticePeriod)
		})
	}
}

// TestStopAnswersNewConnections guards against the close of a connection on which the first request
// is on its way.
func TestStopAnswersNewConnections(t *testing.T) {
	f := newStopFixture(t, false)
	f.stop(t, noticePeriod-pollInterval)
	caller := f.dial(t)
	await(t, func() bool { return f.callers.count()[connNew] == 1 })
	f.clk.Advance(pollInterval)
	await(t, f.callers.isClosed)
	caller.checkRefused(t, request)
	f.finish(t, noticePeriod)
}

// TestStopAnswersIncompleteBodies guards against refusals that are cut by the exit, since the body
// of their request was still being read.
func TestStopAnswersIncompleteBodies(t *testing.T) {
	c := quicktest.New(t)
	f := newStopFixture(t, false)
	caller, running := f.dialKept(t), f.dialKept(t)
	running.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, f.holding.Load)
	f.stopRefusing(t)
	f.clk.Advance(defaultGrace - closeMargin - noticePeriod - 2*pollInterval)
	caller.send(headPart)
	await(t, func() bool { return f.callers.count()[connReceiving] == 1 })
	f.clk.Advance(pollInterval)
	await(t, f.callers.isClosed)
	caller.send(restOfHead)
	await(t, func() bool { return f.front.Running() == 1 })
	f.clk.Advance(closeMargin - readMargin)
	caller.checkRefused(t, "")
	c.Check(isClosed(f.done), quicktest.IsFalse)
	close(f.held)
	f.finish(t, noticePeriod)
}

// TestStopIdle checks that connections of callers that send nothing, or stop amid the head of a
// request, do not delay the exit of a box, and are closed in order.
func TestStopIdle(t *testing.T) {
	c := quicktest.New(t)
	f := newStopFixture(t, false)
	idle, stalled := f.dialKept(t), f.dialKept(t)
	stalled.send(headPart)
	await(t, func() bool { return f.callers.count()[connReceiving] == 1 })
	f.stop(t, noticePeriod)
	f.finish(t, noticePeriod)
	c.Check(idle.isAtEnd(), quicktest.IsTrue)
}
