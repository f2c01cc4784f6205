package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// box is one process of the program under review, started with the command of deploy/system.toml.
type box struct {
	id, zone              string
	front, ready, control string
	admin                 string
	cpus                  string // cpus is a list for taskset, empty for none.
	dir                   string
	file                  string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// freePorts returns n free ports of 127.0.0.1.
func freePorts(n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// fill writes the box's settings: deploy/settings.toml.tmpl, filled as the platform fills it.
func (b *box) fill(template string, seeds []string, platform string) (string, error) {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	host, adminPort, _ := net.SplitHostPort(b.admin)
	text := strings.NewReplacer(
		"{{node|json}}", strconv.Quote(b.id), "{{zone|json}}", strconv.Quote(b.zone),
		"{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000.0",
		"{{listen.front|json}}", strconv.Quote(b.front), "{{listen.ready|json}}", strconv.Quote(b.ready),
		"{{listen.control|json}}", strconv.Quote(b.control), "{{ip}}:9464", host+":"+adminPort,
		"{{seeds|json}}", "["+strings.Join(quoted, ", ")+"]", "{{platform.address}}", platform,
		"{{bounds.config_apply_ms}}", "2000", "{{bounds.drain_ms}}", "2000", "{{bounds.revoke_ms}}", "5000",
		"{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_extra}}", "106", "{{bounds.budget_window_s}}", "10",
		"{{bounds.grace_s}}", "8", "{{#bounds.revoke_strict}}", "", "{{/bounds.revoke_strict}}", "",
	).Replace(template)
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("a gap of the settings is not filled:\n%s", text)
	}
	file := filepath.Join(b.dir, b.id+".toml")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// start starts the process.
func (b *box) start(program, file, cores string) error {
	args := []string{program, "--config", file}
	if b.cpus != "" {
		args = append([]string{"taskset", "-c", b.cpus}, args...)
	}
	out, err := os.OpenFile(filepath.Join(b.dir, b.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	b.cmd = exec.Command(args[0], args[1:]...)
	b.cmd.Stdout, b.cmd.Stderr = out, out
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=200", "GOMAXPROCS=" + cores}
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(b.cmd, b.exited)
	return nil
}

func (b *box) signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

// end stops the process and reports whether it had to be killed.
func (b *box) end(grace time.Duration) (killed bool) {
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGTERM)
	select {
	case <-b.exited:
		return false
	case <-time.After(grace):
		b.signal(syscall.SIGKILL)
		<-b.exited
		return true
	}
}
