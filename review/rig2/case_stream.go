package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["drain"] = caseDrain
	cases["crash"] = caseCrash
}

const (
	events = 60
	gapMS  = 100 // gapMS is the pause between events; the route allows 200.
)

// streamEnd is what a client received of a stream.
type streamEnd struct {
	request string
	answer
}

// openStream asks a box for a stream without a length.
func (w *world) openStream(b *box, id string, results chan<- streamEnd) {
	uri := fmt.Sprintf("/quote/1?frame=none&events=%d&gap=%d&ms=50", events, gapMS)
	w.note("client: sends %s, POST /quote/1, to box %s", id, b.name)
	go func() {
		results <- streamEnd{id, ask(b.front, "POST", host, uri, promptHeaders(id, 10000), []byte("prompt of "+id), 12*time.Second)}
	}()
}

// checkStream notes what a client received and reports whether the rule ORDER was broken.
func (w *world) checkStream(e streamEnd) (broken bool) {
	blocks := strings.SplitAfter(e.body, "\n\n")
	pieces := len(blocks) - 1
	w.note("client: %s gets %v, %d pieces", e.request, e.answer, pieces)
	for i, b := range blocks[:pieces] {
		if b != fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i+1, e.request, i+1, events) {
			w.note("ORDER is broken: piece %d of %s is %q", i+1, e.request, b)
			return true
		}
	}
	if e.status == 200 && e.whole && pieces < events {
		w.note("ORDER is broken: the stream of %s ends as complete after piece %d of %d", e.request, pieces, events)
		return true
	}
	return false
}

// startEngines starts model servers and the boxes before them.
func startEngines(w *world, count int, zones ...string) (servers map[string]*serverProc, boxes []*box) {
	servers = map[string]*serverProc{}
	for i := range count {
		id := fmt.Sprintf("i-l%d", i+1)
		servers[id] = w.startServer(id, "barley-lm", []string{"bkk-a", "bkk-b"}[i%2], 16)
	}
	w.putConfig([]map[string]any{route("field-quote", "/quote/", "streaming", "barley-lm", 10000, 2, true)},
		[]map[string]any{engine("barley-lm")}, tenants())
	boxes = w.startBoxes(zones...)
	w.awaitReady(boxes)
	return servers, boxes
}

// caseDrain empties one of eight servers and takes it away while it sends a stream without a length.
func caseDrain(dir string, trouble bool) {
	const (
		drain  = 2000 * time.Millisecond
		linger = 1500 * time.Millisecond // linger is how much longer the servers of the site go on serving.
	)
	w := newWorld(dir)
	servers, boxes := startEngines(w, 8, "bkk-a", "bkk-b")
	results := make(chan streamEnd, 1)
	w.openStream(boxes[0], "r1", results)
	s := servers[w.await("event", "r1")]
	if trouble {
		w.announce(s, "draining")
		time.Sleep(drain + linger)
		w.note("server %s ends", s.id)
		s.signal(syscall.SIGTERM)
		w.store.remove("servers", s.id)
	}
	if w.checkStream(<-results) {
		w.end(1)
	}
	w.end(0)
}

// caseCrash crashes three of eighteen servers at the same moment, each with streams without a length from the
// only machine that is left, and again after the crashed ones were replaced.
func caseCrash(dir string, trouble bool) {
	const count, crashes, rounds = 18, 3, 5
	w := newWorld(dir)
	servers, boxes := startEngines(w, count, "bkk-a")
	broken := false
	for round := 1; round <= rounds; round++ {
		w.note("round %d", round)
		broken = w.crashRound(servers, boxes[0], round, crashes, trouble) || broken
		if !trouble {
			continue
		}
		for i := range crashes {
			id := fmt.Sprintf("i-l%d-%d", round, i+1)
			servers[id] = w.startServer(id, "barley-lm", "bkk-a", 16)
		}
		time.Sleep(time.Second)
	}
	if broken {
		w.end(1)
	}
	w.end(0)
}

// crashRound opens streams, crashes the servers that got the first ones, and checks what the clients receive.
func (w *world) crashRound(servers map[string]*serverProc, b *box, round, crashes int, trouble bool) (broken bool) {
	const streams = 30
	results := make(chan streamEnd, streams)
	var used []string
	for i := range streams {
		id := fmt.Sprintf("r%d-%d", round, i+1)
		w.openStream(b, id, results)
		if at := w.await("event", id); !slices.Contains(used, at) {
			used = append(used, at)
		}
	}
	if trouble {
		for _, id := range used[:crashes] {
			w.crash(servers[id])
			delete(servers, id)
		}
	}
	for range streams {
		broken = w.checkStream(<-results) || broken
	}
	return broken
}
