package conn

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// SilentTimeout is how long a kept connection may take to begin an answer that is due at once. It
// is above the slowest answers of a busy peer, and a small part of the time in which a change must
// be in force.
const SilentTimeout = 400 * time.Millisecond

// errSilent means that a kept connection has not begun an answer in time.
var errSilent = eris.New("conn: a kept connection is silent")

// Repeat makes an HTTP call that may be made twice. If it takes a kept connection on which no answer
// begins within the timeout, it closes the client's idle connections, which may have fallen silent
// too, and makes the call once more.
func Repeat(ctx context.Context, clk barleystep.Clock, client *http.Client, timeout time.Duration, call func(ctx context.Context) error) (err error) {
	first, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answered := make(chan struct{})
	var once sync.Once
	trace := &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			if c.Reused {
				go cancelUnanswered(first, clk, timeout, answered, cancel)
			}
		},
		GotFirstResponseByte: func() { once.Do(func() { close(answered) }) },
	}
	err = call(httptrace.WithClientTrace(first, trace))
	if err == nil || !eris.Is(context.Cause(first), errSilent) {
		return err
	}
	client.CloseIdleConnections()
	return call(ctx)
}

// cancelUnanswered cancels a call unless its answer begins within the timeout.
func cancelUnanswered(ctx context.Context, clk barleystep.Clock, timeout time.Duration, answered <-chan struct{}, cancel context.CancelCauseFunc) {
	timer := clk.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C():
		cancel(errSilent)
	case <-answered:
	case <-ctx.Done():
	}
}
