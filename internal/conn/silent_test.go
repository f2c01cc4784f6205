package conn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
)

// silentServer answers calls, except on connections that have fallen silent.
type silentServer struct {
	*httptest.Server
	together sync.WaitGroup // together makes the first calls wait for each other.
	first    atomic.Int64   // first counts the calls that still wait for each other.
	silent   atomic.Bool    // silent is set once the connections that are open have fallen silent.
	opened   atomic.Int64
}

type openedKey struct{}

func newSilentServer(t *testing.T, conns int) *silentServer {
	s := &silentServer{}
	s.together.Add(conns)
	s.first.Store(int64(conns))
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if s.first.Add(-1) >= 0 {
			s.together.Done()
			s.together.Wait()
			return
		}
		if s.silent.Load() && r.Context().Value(openedKey{}).(int64) <= int64(conns) {
			<-r.Context().Done()
		}
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedKey{}, s.opened.Add(1))
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// TestRepeatOnSilentConnections guards against calls that take one kept connection after the other
// while all of them have fallen silent: the first unanswered call must lead to a new connection.
func TestRepeatOnSilentConnections(t *testing.T) {
	const conns = 4
	s := newSilentServer(t, conns)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns}}
	manual := clock.NewManual(time.Unix(1000, 0))
	call := func(ctx context.Context) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	var calls sync.WaitGroup
	for range conns {
		calls.Go(func() { quicktest.Check(t, call(context.Background()), quicktest.IsNil) })
	}
	calls.Wait()
	s.silent.Store(true)
	done := make(chan error, 1)
	go func() {
		done <- conn.Repeat(context.Background(), manual, client, conn.SilentTimeout, call)
	}()
	for manual.PendingTimers() == 0 {
		runtime.Gosched()
	}
	manual.Advance(conn.SilentTimeout)
	quicktest.Assert(t, <-done, quicktest.IsNil)
	quicktest.Check(t, s.opened.Load(), quicktest.Equals, int64(conns+1))
}

// TestRepeatOnNewConnections checks that a call on a new connection is made once, however long its
// answer takes, and that the caller's own cancellation ends it.
func TestRepeatOnNewConnections(t *testing.T) {
	manual := clock.NewManual(time.Unix(1000, 0))
	ctx, cancel := context.WithCancelCause(context.Background())
	errGone := eris.New("gone")
	calls := 0
	err := conn.Repeat(ctx, manual, http.DefaultClient, conn.SilentTimeout, func(ctx context.Context) error {
		calls++
		manual.Advance(time.Hour)
		cancel(errGone)
		<-ctx.Done()
		return context.Cause(ctx)
	})
	quicktest.Check(t, err, quicktest.Equals, errGone)
	quicktest.Check(t, calls, quicktest.Equals, 1)
}
