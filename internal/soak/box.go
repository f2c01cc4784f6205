package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fault"
	"github.com/barleystep/barleystep/internal/mutex"
)

// box supervises the process of a box, which is restarted whenever it exits.
type box struct {
	id          string
	program     string
	configFile  string // configFile is the path of its settings.
	logFile     *os.File
	callersAddr string
	readyAddr   string
	clock       barleystep.Clock
	history     *History

	mu          mutex.Mutex
	cmd         *exec.Cmd
	incarnation int
	// links tells the current process the mode of its links to targets. cuts counts the current cuts,
	// and mode is that of the newest.
	links *json.Encoder
	cuts  int
	mode  fault.Mode
	// shouldRun is set while the process is to be restarted.
	shouldRun bool
	done      chan struct{}
}

const (
	// restartDelay is the time between the exit of a box's process and its restart.
	restartDelay = 300 * time.Millisecond
	// gracePeriod bounds the duration of a planned stop.
	gracePeriod = 8 * time.Second
)

// newBox writes the settings of a box. The first three addresses of peers are its seeds.
func newBox(clk barleystep.Clock, h *History, program, dir string, number int, peers []string, store string) (b *box, err error) {
	defer func() { err = eris.Wrap(err, "soak: write settings of box") }()
	b = &box{
		id: fmt.Sprintf("b%d", number), mode: fault.ModeOpen, program: program, clock: clk, history: h,
		callersAddr: addr(portCallers, number), readyAddr: addr(portReady, number),
	}
	text := fmt.Sprintf("[box]\nid = %q\nhall = %q\n[listen]\ncallers = %q\nready = %q\npeers = %q\n[peers]\ntrusted = true\nseeds = [\"%s\"]\n"+
		"[platform]\nurl = \"http://%s\"\n[keys]\nfreshness = %q\n[retries]\nratio = %g\nextra = %d\nwindow = %q\n[limits]\ngrace = %q\n",
		b.id, hallOf(number), b.callersAddr, b.readyAddr, peers[number], strings.Join(peers[:min(3, len(peers))], `", "`), store, freshness, retryRatio, retryExtra, retryWindow, gracePeriod)
	b.configFile = filepath.Join(dir, b.id+".toml")
	if err = os.WriteFile(b.configFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b.logFile, err = os.Create(filepath.Join(dir, b.id+".log"))
	return b, err
}

// loopbackHost returns a loopback address derived from the run's process id. Each run has its own,
// so that no other run can take a port of its boxes, proxies and targets, or be reached at a port
// that one of its targets has released.
func loopbackHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// listen opens a listener on any free port of the address of the run with this process id.
func listen(ctx context.Context, pid int) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", loopbackHost(pid)+":0")
}

// Ports of the first box. The ports of the next boxes follow in steps of portsPerBox.
const (
	portCallers = 7000 + iota
	portReady
	portPeers
	portsPerBox = iota
)

// addr returns the address of a port of the box with this number.
func addr(port, number int) string {
	return fmt.Sprintf("%s:%d", loopbackHost(os.Getpid()), port+portsPerBox*number)
}

// start runs the program, with restarts, until stop. It returns after the first start.
func (b *box) start(ctx context.Context) {
	b.shouldRun = true
	b.done = make(chan struct{})
	started := make(chan struct{})
	go b.supervise(ctx, started)
	<-started
}

// supervise restarts the program whenever it exits.
func (b *box) supervise(ctx context.Context, started chan struct{}) {
	defer close(b.done)
	for {
		cmd := exec.CommandContext(ctx, b.program, "box", "--config", b.configFile)
		in, err := cmd.StdinPipe()
		if err != nil {
			b.history.RecordFinding("%s cannot be started: %v", b.id, err)
			return
		}
		cmd.Stdout, cmd.Stderr = b.logFile, b.logFile
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		b.mu.Lock()
		if !b.shouldRun {
			b.mu.Unlock()
			return
		}
		err = cmd.Start()
		if err == nil {
			b.cmd = cmd
			b.incarnation++
			b.history.RecordStart(b.id, b.incarnation, b.clock.Now())
			b.links = json.NewEncoder(in)
			b.sendMode()
		}
		b.mu.Unlock()
		if started != nil {
			close(started)
			started = nil
		}
		if err != nil {
			b.history.RecordFinding("%s cannot be started: %v", b.id, err)
			return
		}
		_ = cmd.Wait() // checkExit judges the exit.
		b.checkExit(cmd)
		timer := b.clock.NewTimer(restartDelay)
		<-timer.C()
	}
}

// checkExit records a violation if the process was neither killed nor told to stop.
func (b *box) checkExit(cmd *exec.Cmd) {
	incarnation := incarnationID(b.id, b.currentIncarnation())
	b.history.mu.Lock()
	_, killed := b.history.killed[incarnation]
	_, stopping := b.history.stopping[incarnation]
	b.history.mu.Unlock()
	if !killed && !stopping {
		b.history.RecordFinding("%s ended by itself: %s", incarnation, cmd.ProcessState)
	}
}

func (b *box) currentIncarnation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// signal sends a signal to the current process and records it in the history.
func (b *box) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case syscall.SIGKILL:
		b.history.RecordKill(b.id, b.incarnation, b.clock.Now())
	case syscall.SIGTERM:
		b.history.RecordStop(b.id, b.incarnation, b.clock.Now())
	case syscall.SIGSTOP:
		b.history.RecordFreeze(b.id, b.incarnation, b.clock.Now())
	}
	_ = b.cmd.Process.Signal(s) // The process may have exited meanwhile.
	if s == syscall.SIGCONT {
		b.history.RecordThaw(b.id, b.incarnation, b.clock.Now())
	}
}

// stop ends the process without a restart and waits for its exit.
func (b *box) stop() {
	b.mu.Lock()
	b.shouldRun = false
	b.mu.Unlock()
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGTERM)
	<-b.done
	_ = b.logFile.Close()
}

// usage is what a process holds: open file descriptors and resident memory in MB.
type usage struct {
	descriptors int
	megabytes   int
}

// pageBytes is the unit of the sizes in /proc/PID/statm.
const pageBytes = 4 << 10

func (b *box) usage() (u usage, err error) {
	defer func() { err = eris.Wrap(err, "soak: read resource usage") }()
	b.mu.Lock()
	pid := strconv.Itoa(b.cmd.Process.Pid)
	b.mu.Unlock()
	files, err := os.ReadDir(filepath.Join("/proc", pid, "fd"))
	if err != nil {
		return usage{}, err
	}
	text, err := os.ReadFile(filepath.Join("/proc", pid, "statm"))
	if err != nil {
		return usage{}, err
	}
	var size, resident int
	if _, err = fmt.Sscan(string(text), &size, &resident); err != nil {
		return usage{}, err
	}
	return usage{len(files), resident * pageBytes >> 20}, nil
}
