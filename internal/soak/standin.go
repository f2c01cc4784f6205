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
	mu    sync.Mutex
	lines *json.Encoder
}

func newOutput() *output { return &output{lines: json.NewEncoder(os.Stdout)} }

func (o *output) tell(r report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.lines.Encode(r) // The other process has ended; so does this one, with its input.
}

// serveOrders carries out orders until the input ends.
func serveOrders(out *output, carry func(order) (held int)) error {
	in := json.NewDecoder(os.Stdin)
	for {
		var o order
		err := in.Decode(&o)
		if eris.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "soak: read orders")
		}
		out.tell(report{Done: o.Number, Held: carry(o)})
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
	t.OnArrival = func(a platformtest.Arrival) { out.tell(report{Arrival: &a}) }
	t.Crash = func() { os.Exit(1) }
	t.Born = t.Clock.Now().UnixNano()
	out.tell(report{Addr: l.Addr().String()})
	go func() { _ = t.Serve(l) }() // It ends with the process.
	return serveOrders(out, func(o order) int {
		if o.Spoils != nil {
			t.SetFaults(o.Spoils)
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
	out.tell(report{Addr: l.Addr().String()})
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }() // It ends with the process.
	return serveOrders(out, func(o order) int {
		carryStore(s, o)
		return 0
	})
}

func carryStore(s *platformtest.Store, o order) {
	switch {
	case o.Put != nil && o.Put.Bytes != nil:
		s.PutBytes(o.Put.Table, o.Put.Key, o.Put.Bytes)
	case o.Put != nil:
		s.Put(o.Put.Table, o.Put.Key, o.Put.Value)
	case o.Remove != nil:
		s.Remove(o.Remove.Table, o.Remove.Key)
	case o.Forget:
		s.DropHistory()
	case o.Fault != "":
		s.SetFault(faultsByName[o.Fault])
	}
}

var faultsByName = map[string]platformtest.Fault{
	"none":  platformtest.FaultNone,
	"busy":  platformtest.FaultBusy,
	"reset": platformtest.FaultReset,
	"lost":  platformtest.FaultNoAnswer,
	"hang":  platformtest.FaultHang,
}
