package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// command is a JSON line written to a stand-in's process. It carries one command.
type command struct {
	Number       int                                  `json:"number"`
	TargetFaults map[platformtest.TargetFault]float64 `json:"spoils,omitempty"`
	Put          *record                              `json:"put,omitempty"`
	Remove       *record                              `json:"remove,omitempty"`
	StoreFault   string                               `json:"fault,omitempty"`
	Forget       bool                                 `json:"forget,omitempty"`
	// Mute makes the open connections to the store fall silent.
	Mute bool `json:"mute,omitempty"`
	// Says replaces the statement that a target makes in its answers.
	Says *statement `json:"says,omitempty"`
	// Slowdown, if not zero, replaces the factor by which a target is slower.
	Slowdown int `json:"slowdown,omitempty"`
}

// statement is what a target says of itself in its answers.
type statement struct {
	Leaving bool          `json:"leaving,omitempty"`
	Rest    time.Duration `json:"rest,omitempty"`
}

// record is a row of the store as an operator or a target writes it.
type record struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value any    `json:"value,omitempty"`
	// Bytes is written in place of Value, to store data that cannot be decoded.
	Bytes []byte `json:"bytes,omitempty"`
}

// report is a JSON line from a stand-in's process.
type report struct {
	// Addr is the listen address. It is in the first report.
	Addr string `json:"addr,omitempty"`
	// Done is the number of the executed command, Held the KV cache reserved at a target at that
	// time, in tokens.
	Done    int                   `json:"done,omitempty"`
	Held    int                   `json:"held,omitempty"`
	Arrival *platformtest.Arrival `json:"arrival,omitempty"`
}

// child is the process of a stand-in. It exits when its input is closed, so that none outlives the
// run.
type child struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	encoder *json.Encoder
	addr    string

	mu       mutex.Mutex
	number   int
	reserved int
	pending  map[int]chan struct{}
	ended    chan struct{}
	// killed is set when the process is killed by kill.
	killed atomic.Bool
}

// startChild starts the process of a stand-in and waits until it listens.
func startChild(ctx context.Context, program string, onArrival func(platformtest.Arrival), args ...string) (c *child, err error) {
	defer func() { err = eris.Wrap(err, "soak: start stand-in") }()
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

// read handles the reports of the process until its output ends, including those written before it
// was killed.
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

// execute sends a command and waits until the process has executed it or exited.
func (c *child) execute(o command) {
	c.mu.Lock()
	c.number++
	o.Number = c.number
	done := make(chan struct{})
	c.pending[o.Number] = done
	err := c.encoder.Encode(o)
	c.mu.Unlock()
	if err != nil {
		return // The process has exited.
	}
	select {
	case <-done:
	case <-c.ended:
	}
}

// reservedMemory returns the KV cache reserved at a target, in tokens.
func (c *child) reservedMemory() int {
	c.execute(command{})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserved
}

// kill kills the process and waits until its last reports have been read.
func (c *child) kill() {
	c.killed.Store(true)
	_ = c.cmd.Process.Kill() // It may have exited.
	_ = c.in.Close()
	if c.addr != "" {
		<-c.ended
	}
	_ = c.cmd.Wait() // The kill is expected.
}
