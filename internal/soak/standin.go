package soak

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// output writes reports to the parent process.
type output struct {
	mu      mutex.Mutex
	encoder *json.Encoder
}

func newOutput() *output { return &output{encoder: json.NewEncoder(os.Stdout)} }

func (o *output) send(r report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.encoder.Encode(r) // The parent has exited. This process exits too when its input ends.
}

// serveCommands executes commands until the input ends.
func serveCommands(out *output, execute func(command) (reserved int)) error {
	in := json.NewDecoder(os.Stdin)
	for {
		var o command
		err := in.Decode(&o)
		if eris.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "soak: read commands")
		}
		out.send(report{Done: o.Number, Held: execute(o)})
	}
}

// RunTarget runs a stand-in for a target and returns when its input ends. The callbacks and the
// start time of t are set here, all else by the caller.
func RunTarget(ctx context.Context, t *platformtest.Target) (err error) {
	l, err := listen(ctx, os.Getppid())
	if err != nil {
		return eris.Wrap(err, "soak: listen for target")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	out := newOutput()
	t.OnArrival = func(a platformtest.Arrival) { out.send(report{Arrival: &a}) }
	conns := &resettableListener{Listener: l}
	t.Crash = func() {
		conns.reset() // A stream without framing whose connection is closed would look complete.
		os.Exit(1)
	}
	t.Born = t.Clock.Now().UnixNano()
	out.send(report{Addr: l.Addr().String()})
	go func() { _ = t.Serve(conns) }() // It runs until the process exits.
	return serveCommands(out, func(o command) int {
		if o.TargetFaults != nil {
			t.SetFaults(o.TargetFaults)
		}
		if o.Says != nil {
			t.SetStatement(o.Says.Leaving, o.Says.Rest)
		}
		if o.Slowdown != 0 {
			t.SetSlowdown(o.Slowdown)
		}
		return t.HeldTokens()
	})
}

// resettableListener resets the connections that it has accepted.
type resettableListener struct {
	net.Listener

	mu    mutex.Mutex
	conns []net.Conn
}

// Accept waits for a connection.
func (l *resettableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// reset resets all connections; none is accepted any more.
func (l *resettableListener) reset() {
	l.mu.Lock() // Held until the process exits.
	for _, c := range l.conns {
		conn.Reset(c)
	}
}

// headerTimeout is the time limit for reading the header of a request from a box.
const headerTimeout = 4 * time.Second

// RunStore runs a stand-in for the platform's store and returns when its input ends.
func RunStore(ctx context.Context, clk barleystep.Clock) (err error) {
	l, err := listen(ctx, os.Getppid())
	if err != nil {
		return eris.Wrap(err, "soak: listen for store")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	s := &platformtest.Store{Clock: clk}
	out := newOutput()
	out.send(report{Addr: l.Addr().String()})
	conns := &muteConns{handler: s}
	server := &http.Server{Handler: conns, ReadHeaderTimeout: headerTimeout, ConnContext: conns.number}
	go func() { _ = server.Serve(l) }() // It runs until the process exits.
	return serveCommands(out, func(o command) int {
		if o.Mute {
			conns.mute()
		}
		executeOnStore(s, o)
		return 0
	})
}

// muteConns serves calls, except on connections that have been muted.
type muteConns struct {
	handler http.Handler
	// accepted numbers the connections; those up to muted get no answers.
	accepted, muted atomic.Int64
}

type connNumber struct{}

func (m *muteConns) number(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumber{}, m.accepted.Add(1))
}

// mute makes the connections that are open fall silent.
func (m *muteConns) mute() { m.muted.Store(m.accepted.Load()) }

// ServeHTTP serves a call. One that was in progress when its connection was muted is answered.
func (m *muteConns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if number, ok := r.Context().Value(connNumber{}).(int64); ok && number <= m.muted.Load() {
		<-r.Context().Done()
		return
	}
	m.handler.ServeHTTP(w, r)
}

func executeOnStore(s *platformtest.Store, o command) {
	switch {
	case o.Put != nil && o.Put.Bytes != nil:
		s.PutBytes(o.Put.Table, o.Put.Key, o.Put.Bytes)
	case o.Put != nil:
		s.Put(o.Put.Table, o.Put.Key, o.Put.Value)
	case o.Remove != nil:
		s.Remove(o.Remove.Table, o.Remove.Key)
	case o.Forget:
		s.DropHistory()
	case o.StoreFault != "":
		s.SetFault(storeFaultsByName[o.StoreFault])
	}
}

var storeFaultsByName = map[string]platformtest.Fault{
	"none":  platformtest.FaultNone,
	"busy":  platformtest.FaultBusy,
	"reset": platformtest.FaultReset,
	"lost":  platformtest.FaultNoAnswer,
	"hang":  platformtest.FaultHang,
}
