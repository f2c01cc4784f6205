package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["cut"] = caseCut }

// caseCut crashes one of seven servers while it sends an answer without a length.
func caseCut(dir string, trouble bool) {
	const (
		count   = 7
		size    = 4800 // size is the largest answer of the site's plain requests, in bytes.
		pauseMS = 400  // pauseMS is how long the server works between the halves of the answer.
	)
	w := newWorld(dir)
	servers := map[string]*serverProc{}
	for i := range count {
		id := fmt.Sprintf("i-a%d", i+1)
		servers[id] = w.startServer(id, "custapp", []string{"bkk-a", "bkk-b"}[i%2], 6)
	}
	w.putConfig([]map[string]any{route("top-up", "/topup/", "idempotent", "custapp", 2000, 2, false)},
		[]map[string]any{service("custapp")}, tenants())
	boxes := w.startBoxes("bkk-a", "bkk-b")
	w.awaitReady(boxes)
	result := make(chan answer, 1)
	w.note("client: sends r1, GET /topup/1, to box %s", boxes[0].name)
	go func() {
		result <- ask(boxes[0].front, "GET", host, fmt.Sprintf("/topup/1?frame=none&size=%d&pause=%d", size, pauseMS),
			callerHeaders("r1", 4000), nil, 5*time.Second)
	}()
	at := w.await("half", "r1")
	if trouble {
		time.Sleep(pauseMS / 2 * time.Millisecond)
		w.crash(servers[at])
	}
	a := <-result
	w.note("client: r1 gets %v", a)
	if a.status < 200 || a.status > 299 || !a.whole {
		w.note("not a success: nothing wrong was passed off as the server's answer")
		w.end(0)
	}
	by, _, _ := strings.Cut(a.body, " ")
	if whole := bodyOf(by, "r1", size); a.body != whole || a.header.Get("X-Barleystep-Response-Seal") != sealOf(by, "r1", whole) {
		w.note("MIXED is broken: the client gets a success with %d of the %d bytes of the body of %s", len(a.body), size, by)
		w.end(1)
	}
	w.note("the client has the whole body of %s", by)
	w.end(0)
}

// crash kills a server. Its entry goes after three heartbeats of silence.
func (w *world) crash(s *serverProc) {
	s.signal(syscall.SIGKILL)
	w.note("server %s crashes", s.id)
	time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", s.id) })
}

// heartbeat is the time between the liveness reports of servers.
const heartbeat = 1200 * time.Millisecond
