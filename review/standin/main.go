// Command standin runs a case of the review: the platform's store, servers and clients in one process,
// and the program under review as processes of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitCannot)
	}
	cases := map[string]func(root, dir string, r *record) int{"stuck": runStuck, "reload": runReload, "revoke": runRevoke}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitCannot)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		_ = os.RemoveAll(dir)
		os.Exit(exitCannot) // The processes that were started end with this one.
	}()
	// Where SIGHUP is ignored, as under nohup, the processes that are started would ignore it too. One
	// that is handled here has its default action there.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	code := run(os.Args[2], dir, &record{file: file, started: time.Now()})
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
