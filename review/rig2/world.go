package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// current is the world that is played, nil before it starts.
var current *world

// must ends the case, and all its processes, where it can't run.
func must(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if current != nil {
		current.end(2)
	}
	os.Exit(2)
}

// world is a small deployment: the store, boxes and servers, each box and server a process of its own.
type world struct {
	store   *store
	addr    string // addr is the address of the store.
	tmp     string
	record  *os.File
	started time.Time

	mu      sync.Mutex
	procs   []*process
	said    []said
	version int
}

// process is a process that the world started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

func newWorld(dir string) *world {
	tmp, err := os.MkdirTemp("", "barleystep-review")
	must(err)
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	must(err)
	w := &world{store: newStore(), tmp: tmp, record: record, started: time.Now()}
	w.addr = w.store.listen("127.0.0.1")
	current = w
	go w.endOnSignal()
	return w
}

// endOnSignal ends the case, and all its processes, when it is stopped.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	w.note("the case is stopped")
	w.end(2)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes and exits with the code.
func (w *world) end(code int) {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.ended
	}
	_ = os.RemoveAll(w.tmp)
	w.note("exit code %d", code)
	_ = w.record.Close()
	os.Exit(code)
}

func (w *world) start(name string, cmd *exec.Cmd) *process {
	must(cmd.Start())
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p
}

func (w *world) wait(p *process) {
	err := p.cmd.Wait()
	w.note("process %s (pid %d) ended: %v", p.name, p.cmd.Process.Pid, err)
	close(p.ended)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// freePort returns a free port of the address.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// serverProc is a running server.
type serverProc struct {
	*process
	id, service, addr, zone string
	slots                   int
}

// startServer starts a server and writes its entry to the store once it listens.
func (w *world) startServer(id, service, zone string, slots int) *serverProc {
	self, err := os.Executable()
	must(err)
	addr := freePort("127.0.0.1")
	cmd := exec.Command(self, "server", "-listen", addr, "-id", id, "-slots", fmt.Sprint(slots))
	out, err := cmd.StdoutPipe()
	must(err)
	p := w.start("server "+id, cmd)
	listening := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var s said
			if json.Unmarshal(lines.Bytes(), &s) != nil {
				continue
			}
			w.mu.Lock()
			w.said = append(w.said, s)
			w.mu.Unlock()
			w.note("%s: %s %s %s", s.Server, s.What, s.Request, s.Note)
			if s.What == "listening" {
				close(listening)
			}
		}
		w.wait(p)
	}()
	<-listening
	s := &serverProc{p, id, service, addr, zone, slots}
	w.announce(s, "ready")
	return s
}

// announce writes the entry of a server.
func (w *world) announce(s *serverProc, state string) {
	ver := w.store.put("servers", s.id, map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1",
		"slots": s.slots, "state": state, "cold_left_ms": 0, "call_seq": 0})
	w.note("the store has taken: %s is %s at %s (%s), ver %d", s.id, state, s.addr, s.service, ver)
}

// program is the program of the deploy file.
const program = "target/barleystep-router"

// box is one machine of the system.
type box struct {
	*process
	name, zone, ip                       string
	front, ready, control, admin, config string
	w                                    *world
}

// newBox plans a machine; the addresses are its own.
func (w *world) newBox(name, zone, ip string) *box {
	b := &box{name: name, zone: zone, ip: ip, w: w}
	b.front, b.ready, b.control, b.admin = freePort(ip), freePort(ip), freePort(ip), freePort(ip)
	b.config = filepath.Join(w.tmp, name+".toml")
	return b
}

// settings returns the settings of a machine as deploy/settings.toml.tmpl gives them for a site with the
// bounds of cpt-tariff.
func (b *box) settings(store string, seeds []string, freshness string) string {
	s := fmt.Sprintf("[box]\nid = %q\nhall = %q\ncores = 0.4\nlink_mbit = 1000.0\n\n", b.name, b.zone)
	s += fmt.Sprintf("[listen]\ncallers = %q\nready = %q\npeers = %q\nadmin = %q\n\n", b.front, b.ready, b.control, b.admin)
	s += fmt.Sprintf("[peers]\ntrusted = true\nseeds = [%s]\n\n", quoted(seeds))
	s += fmt.Sprintf("[platform]\nurl = \"http://%s\"\nwithin = \"2000ms\"\nleave_within = \"2000ms\"\n\n", store)
	s += fmt.Sprintf("[keys]\nfreshness = %q\n\n[retries]\nratio = 0.2\nextra = 104\nwindow = \"10s\"\n\n[limits]\ngrace = \"8s\"\n", freshness)
	return s
}

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ",")
}

// run starts the machine's process.
func (b *box) run() {
	cmd := exec.Command(program, "--config", b.config)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=200", "GOMAXPROCS=1", "BARLEYSTEP_NODE_FILE=" + b.config}
	log, err := os.OpenFile(filepath.Join(b.w.tmp, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	cmd.Stdout, cmd.Stderr = log, log
	b.process = b.w.start("box "+b.name, cmd)
	b.w.note("box %s started (pid %d): callers at %s", b.name, cmd.Process.Pid, b.front)
	p := b.process
	go func() { b.w.wait(p); _ = log.Close() }()
}

// startBoxes starts machines with the given names in zones.
func (w *world) startBoxes(zones ...string) []*box {
	var list []*box
	var seeds []string
	for i, z := range zones {
		b := w.newBox(fmt.Sprintf("edge-%s-%d", z, i+1), z, fmt.Sprintf("127.0.1.%d", i+1))
		list = append(list, b)
		if len(seeds) < 3 {
			seeds = append(seeds, b.control)
		}
	}
	for _, b := range list {
		must(os.WriteFile(b.config, []byte(b.settings(w.addr, seeds, "5000ms")), 0o644))
		b.run()
	}
	return list
}

// awaitReady waits until the machines say that they are ready.
func (w *world) awaitReady(boxes []*box) {
	until := time.Now().Add(20 * time.Second)
	for _, b := range boxes {
		for !isReady(b) {
			if time.Now().After(until) {
				w.note("box %s is not ready in time", b.name)
				w.end(2)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all boxes are ready")
}

func isReady(b *box) bool {
	a := ask(b.ready, "GET", "x", "/api/ready", nil, nil, time.Second)
	return a.status == 200
}

// await waits until a server says so of the request, and returns the server's id.
func (w *world) await(what, request string) string {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		for _, s := range w.said {
			if s.What == what && s.Request == request {
				w.mu.Unlock()
				return s.Server
			}
		}
		w.mu.Unlock()
	}
	w.note("no server said %q of %s", what, request)
	w.end(2)
	return ""
}
