package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// box is a box's program, which is started again when it ends.
type box struct {
	id          string
	program     string
	configFile  string // file is its settings file.
	logFile     *os.File
	callersAddr string
	readyAddr   string
	clock       barleystep.Clock
	history     *History

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	// wanted is set while the box is to run.
	shouldRun bool
	done      chan struct{}
}

const (
	// restartPause is how long a box is down after its process has ended.
	restartDelay = 300 * time.Millisecond
	// grace is how long a planned stop lasts at the most.
	gracePeriod = 8 * time.Second
)

// newBox writes the settings of a box, whose first seeds are the given addresses.
func newBox(clk barleystep.Clock, h *History, program, dir string, number int, peers []string, store string) (b *box, err error) {
	defer func() { err = eris.Wrap(err, "soak: box") }()
	b = &box{
		id: fmt.Sprintf("b%d", number), program: program, clock: clk, history: h,
		callersAddr: addr(portCallers, number), readyAddr: addr(portReady, number),
	}
	text := fmt.Sprintf("[box]\nid = %q\nhall = \"h%d\"\n[listen]\ncallers = %q\nready = %q\npeers = %q\n[peers]\ntrusted = true\nseeds = [\"%s\"]\n"+
		"[platform]\nurl = \"http://%s\"\n[keys]\nfreshness = %q\n[retries]\nratio = %g\nextra = %d\nwindow = %q\n[limits]\ngrace = %q\n",
		b.id, number%2, b.callersAddr, b.readyAddr, peers[number], strings.Join(peers[:min(3, len(peers))], `", "`), store, freshness, retryRatio, retryExtra, retryWindow, gracePeriod)
	b.configFile = filepath.Join(dir, b.id+".toml")
	if err = os.WriteFile(b.configFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b.logFile, err = os.Create(filepath.Join(dir, b.id+".log"))
	return b, err
}

// hostOf returns the loopback address of a run's own, by its process: no other run can take
// a port of its boxes, links and targets, nor be reached at one that a target has left.
func loopbackHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// listen listens at any port of the address of the run whose process is given.
func listen(ctx context.Context, pid int) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", loopbackHost(pid)+":0")
}

// The ports of a box: those of the first one, which stand side by side.
const (
	portCallers = 7000 + iota
	portReady
	portPeers
	portsPerBox = iota
)

// addr returns the address of a box's port.
func addr(port, number int) string {
	return fmt.Sprintf("%s:%d", loopbackHost(os.Getpid()), port+portsPerBox*number)
}

// start runs the program until stop.
func (b *box) start(ctx context.Context) {
	b.shouldRun = true
	b.done = make(chan struct{})
	started := make(chan struct{})
	go b.supervise(ctx, started)
	<-started
}

// keep starts the program again whenever it ends.
func (b *box) supervise(ctx context.Context, started chan struct{}) {
	defer close(b.done)
	for {
		cmd := exec.CommandContext(ctx, b.program, "--config", b.configFile)
		cmd.Stdout, cmd.Stderr = b.logFile, b.logFile
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		b.mu.Lock()
		if !b.shouldRun {
			b.mu.Unlock()
			return
		}
		err := cmd.Start()
		if err == nil {
			b.cmd = cmd
			b.incarnation++
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
		_ = cmd.Wait() // How it ended is judged where it was ended.
		b.checkExit(cmd)
		timer := b.clock.NewTimer(restartDelay)
		<-timer.C()
	}
}

// ended notes a process that ended by itself.
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

// signal sends a signal to the current process.
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
	_ = b.cmd.Process.Signal(s) // It may have ended just now.
	if s == syscall.SIGCONT {
		b.history.RecordThaw(b.id, b.incarnation, b.clock.Now())
	}
}

// stop ends the box for good.
func (b *box) stop() {
	b.mu.Lock()
	b.shouldRun = false
	b.mu.Unlock()
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGTERM)
	<-b.done
	_ = b.logFile.Close()
}

// usage is what a process holds.
type usage struct {
	descriptors int
	megabytes   int
}

// pageBytes is the size of a page in /proc/PID/statm.
const pageBytes = 4 << 10

func (b *box) usage() (u usage, err error) {
	defer func() { err = eris.Wrap(err, "soak: usage") }()
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
