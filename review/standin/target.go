package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in for a server of a plain service (PROTOCOL.md, "Servers").
type target struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	rec                     *record

	listener net.Listener
	server   *http.Server
	running  atomic.Int64
	waiting  atomic.Int64
	sem      chan struct{}
	mu       sync.Mutex
	runs     map[string]int
}

const queueLength = 24

// start opens the target at a free port of 127.0.0.1.
func (t *target) start() error {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Multipath sockets take no filter.
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.listener, t.addr = l, l.Addr().String()
	t.sem = make(chan struct{}, t.slots)
	t.runs = make(map[string]int)
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(l) }()
	return nil
}

// record is the target's row in the store.
func (t *target) record(state string) map[string]any {
	return map[string]any{
		"service": t.service, "address": t.addr, "zone": t.zone, "version": "v1", "slots": t.slots,
		"state": state, "cold_left_ms": 0, "call_seq": 0,
	}
}

func (t *target) stop() { _ = t.server.Close() }

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Barleystep-Request-Id")
	h := w.Header()
	h.Set("X-Barleystep-Request-Id", id)
	h.Set("X-Barleystep-Server-Load", fmt.Sprintf("%d,%d,%d", t.running.Load(), t.waiting.Load(), t.slots))
	if want := r.Header.Get("X-Barleystep-Expect-Instance"); want != "" && want != t.id {
		h.Set("At-Server", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if t.waiting.Add(1) > queueLength {
		t.waiting.Add(-1)
		t.notRun(w)
		return
	}
	left, err := strconv.Atoi(r.Header.Get("X-Barleystep-Deadline-Ms"))
	if err != nil {
		left = 4000
	}
	deadline := time.After(time.Duration(left) * time.Millisecond)
	select {
	case t.sem <- struct{}{}:
		t.waiting.Add(-1)
	case <-deadline:
		t.waiting.Add(-1)
		t.notRun(w)
		return
	case <-r.Context().Done():
		t.waiting.Add(-1)
		return
	}
	t.running.Add(1)
	t.mu.Lock()
	t.runs[id]++
	run := t.runs[id]
	t.mu.Unlock()
	t.rec.line("server: %s runs %s, tenant %q", t.id, id, r.Header.Get("X-Barleystep-Tenant"))
	time.Sleep(t.work)
	t.running.Add(-1)
	<-t.sem
	h.Set("X-Barleystep-Response-Seal", fmt.Sprintf("%s.%d.200", t.id, run))
	_, _ = fmt.Fprintf(w, "%s %s\n", id, t.id)
}

func (t *target) notRun(w http.ResponseWriter) {
	w.Header().Set("X-Barleystep-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
