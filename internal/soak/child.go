package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// order is a line to a stand-in's process. It carries one order.
type command struct {
	Number       int                                  `json:"number"`
	TargetFaults map[platformtest.TargetFault]float64 `json:"spoils,omitempty"`
	Put          *record                              `json:"put,omitempty"`
	Remove       *record                              `json:"remove,omitempty"`
	StoreFault   string                               `json:"fault,omitempty"`
	Forget       bool                                 `json:"forget,omitempty"`
	// Says is what a target is to say of itself from now on.
	Says *statement `json:"says,omitempty"`
}

// statement is what a target says of itself.
type statement struct {
	Leaving bool          `json:"leaving,omitempty"`
	Rest    time.Duration `json:"rest,omitempty"`
}

// record is a row of the store as the operator or a target writes it.
type record struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value any    `json:"value,omitempty"`
	// Bytes stand in place of the value where that can't be read.
	Bytes []byte `json:"bytes,omitempty"`
}

// report is a line from a stand-in's process.
type report struct {
	// Addr is where it listens; it is told first.
	Addr string `json:"addr,omitempty"`
	// Done is the number of the order that was carried out, and Held how much memory
	// is set aside at a target then.
	Done    int                   `json:"done,omitempty"`
	Held    int                   `json:"held,omitempty"`
	Arrival *platformtest.Arrival `json:"arrival,omitempty"`
}

// child is a stand-in's process. It ends when its input does, so that none is left over.
type child struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	encoder *json.Encoder
	addr    string

	mu       sync.Mutex
	number   int
	reserved int
	pending  map[int]chan struct{}
	ended    chan struct{}
	// killed is set once it is ended from here.
	killed atomic.Bool
}

// startChild starts a stand-in's process and waits until it listens.
func startChild(ctx context.Context, program string, onArrival func(platformtest.Arrival), args ...string) (c *child, err error) {
	defer func() { err = eris.Wrap(err, "soak: start a stand-in") }()
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err = cmd.Start(); err != nil {
		return nil, err
	}
	c = &child{cmd: cmd, in: in, encoder: json.NewEncoder(in), pending: make(map[int]chan struct{}), ended: make(chan struct{})}
	reader := json.NewDecoder(bufio.NewReader(out))
	var first report
	if err = reader.Decode(&first); err != nil {
		c.kill()
		return nil, err
	}
	c.addr = first.Addr
	go c.read(reader, onArrival)
	return c, nil
}

// read takes in what the process tells until its output ends, also what it told before
// it was killed.
func (c *child) read(reader *json.Decoder, onArrival func(platformtest.Arrival)) {
	defer close(c.ended)
	for {
		var r report
		if reader.Decode(&r) != nil {
			return
		}
		if r.Arrival != nil {
			onArrival(*r.Arrival)
		}
		if r.Done > 0 {
			c.done(r)
		}
	}
}

func (c *child) done(r report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved = r.Held
	if w, ok := c.pending[r.Done]; ok {
		close(w)
		delete(c.pending, r.Done)
	}
}

// give gives an order and waits until it was carried out or the process has ended.
func (c *child) execute(o command) {
	c.mu.Lock()
	c.number++
	o.Number = c.number
	done := make(chan struct{})
	c.pending[o.Number] = done
	err := c.encoder.Encode(o)
	c.mu.Unlock()
	if err != nil {
		return // It has ended.
	}
	select {
	case <-done:
	case <-c.ended:
	}
}

// heldMemory returns how much memory is set aside at a target.
func (c *child) reservedMemory() int {
	c.execute(command{})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserved
}

// kill ends the process at once and takes in what it has told.
func (c *child) kill() {
	c.killed.Store(true)
	_ = c.cmd.Process.Kill() // It may have ended.
	_ = c.in.Close()
	if c.addr != "" {
		<-c.ended
	}
	_ = c.cmd.Wait() // That it was killed is no error.
}
