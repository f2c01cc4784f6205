package soak

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// output writes reports to the process that started this one.
type output struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func newOutput() *output { return &output{encoder: json.NewEncoder(os.Stdout)} }

func (o *output) send(r report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.encoder.Encode(r) // The other process has ended; so does this one, with its input.
}

// serveOrders carries out orders until the input ends.
func serveCommands(out *output, execute func(command) (reserved int)) error {
	in := json.NewDecoder(os.Stdin)
	for {
		var o command
		err := in.Decode(&o)
		if eris.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "soak: read orders")
		}
		out.send(report{Done: o.Number, Held: execute(o)})
	}
}

// RunTarget is the process of a stand-in for a target, which is set up but for its
// reports. It returns when its input ends.
func RunTarget(ctx context.Context, t *platformtest.Target) (err error) {
	l, err := listen(ctx, os.Getppid())
	if err != nil {
		return eris.Wrap(err, "soak: target")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	out := newOutput()
	t.OnArrival = func(a platformtest.Arrival) { out.send(report{Arrival: &a}) }
	t.Crash = func() { os.Exit(1) }
	t.Born = t.Clock.Now().UnixNano()
	out.send(report{Addr: l.Addr().String()})
	go func() { _ = t.Serve(l) }() // It ends with the process.
	return serveCommands(out, func(o command) int {
		if o.TargetFaults != nil {
			t.SetFaults(o.TargetFaults)
		}
		if o.Says != nil {
			t.SetStatement(o.Says.Leaving, o.Says.Rest)
		}
		return t.HeldTokens()
	})
}

// headerTimeout bounds how long a box takes for the head of a call.
const headerTimeout = 4 * time.Second

// RunStore is the process of a stand-in for the platform's store.
func RunStore(ctx context.Context, clk barleystep.Clock) (err error) {
	l, err := listen(ctx, os.Getppid())
	if err != nil {
		return eris.Wrap(err, "soak: store")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	s := &platformtest.Store{Clock: clk}
	out := newOutput()
	out.send(report{Addr: l.Addr().String()})
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }() // It ends with the process.
	return serveCommands(out, func(o command) int {
		executeOnStore(s, o)
		return 0
	})
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
