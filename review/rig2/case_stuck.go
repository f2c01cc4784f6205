package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stuck"] = caseStuck }

const (
	idleMax    = 9000 * time.Millisecond // idleMax is idle_max_ms.
	longTokens = 810000
)

// prefill returns how long one server takes to read a prompt, by the engine's figures in the config.
func prefill(tokens int) time.Duration {
	n := float64(tokens)
	return time.Duration((n/256000 + n*n/2/1e6*0.0917/1000) * float64(time.Second))
}

// caseStuck has one of seven servers leave long prompts unanswered, in one spell after the other, while others hold memory for it.
func caseStuck(dir string, trouble bool) {
	const (
		count  = 7
		spell  = 6500 * time.Millisecond
		length = 95 * time.Second
	)
	w := newWorld(dir)
	servers := map[string]*serverProc{}
	var list []*serverProc
	for i := range count {
		id := fmt.Sprintf("i-l%d", i+1)
		servers[id] = w.startServer(id, "barley-lm", []string{"bkk-a", "bkk-b"}[i%2], 16)
		list = append(list, servers[id])
	}
	audit := route("province-audit", "/audit/", "streaming", "barley-lm", 15000, 2, true)
	audit["slo_ms"], audit["gap_aim_ms"] = 3000, 800
	w.putConfig([]map[string]any{route("field-quote", "/quote/", "streaming", "barley-lm", 10000, 2, true), audit},
		[]map[string]any{engine("barley-lm")}, tenants())
	boxes := w.startBoxes("bkk-a", "bkk-b")
	w.awaitReady(boxes)
	time.Sleep(2 * time.Second)
	end := time.Now().Add(length)
	var clients sync.WaitGroup
	clients.Go(func() { w.sendQuotes(boxes, end) })
	clients.Go(func() { w.sendAudits(boxes, end, count) })
	for trouble && time.Now().Before(end) {
		s := list[rand.IntN(count)]
		if id := w.lastFirst(); id != "" {
			s = servers[id]
		}
		w.note("server %s leaves a part of its long prompts unanswered, for %v", s.id, spell)
		s.signal(syscall.SIGUSR1)
		time.Sleep(spell)
		s.signal(syscall.SIGUSR2)
	}
	clients.Wait()
	time.Sleep(4 * time.Second)
	if w.checkUnused(servers) {
		w.end(1)
	}
	w.end(0)
}

// lastFirst returns the server that was the first to be sent the last long prompt, empty if there was none.
func (w *world) lastFirst() (id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.said {
		if s.What == "uses" {
			id = s.Server
		}
	}
	return id
}

// sendQuotes sends short prompts, four a second.
func (w *world) sendQuotes(boxes []*box, end time.Time) {
	for i := 1; time.Now().Before(end); i++ {
		id := fmt.Sprintf("q%d", i)
		go ask(boxes[i%len(boxes)].front, "POST", host, "/quote/1?events=20&gap=30&ms=60", promptHeaders(id, 10000), []byte(id), 10*time.Second)
		time.Sleep(250 * time.Millisecond)
	}
}

// sendAudits sends long prompts, one after the other. A client gives up after four times the objective.
func (w *world) sendAudits(boxes []*box, end time.Time, count int) {
	reading := prefill(longTokens) / time.Duration(count)
	for i := 1; time.Now().Before(end); i++ {
		id := fmt.Sprintf("a%d", i)
		h := promptHeaders(id, 15000)
		h["X-Barleystep-Token-Count"] = fmt.Sprintf("%d,800", longTokens)
		h["X-Barleystep-Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:40,%x:%d", id, longTokens-40)
		w.note("client: sends %s, POST /audit/1 with %d tokens, to box %s", id, longTokens, boxes[i%len(boxes)].name)
		a := ask(boxes[i%len(boxes)].front, "POST", host, fmt.Sprintf("/audit/1?events=6&gap=100&ms=%d", reading.Milliseconds()),
			h, []byte(id), 12*time.Second)
		w.note("client: %s gets %v", id, a)
	}
}

// checkUnused reports whether memory was set aside for idleMax without any request that used it.
func (w *world) checkUnused(servers map[string]*serverProc) (broken bool) {
	w.mu.Lock()
	said := w.said
	w.mu.Unlock()
	used := map[string]bool{} // used holds the address and id of what a request has used.
	for _, s := range said {
		if s.What != "uses" {
			continue
		}
		for part := range strings.SplitSeq(s.Note, ",") {
			used[part] = true
		}
	}
	since := map[string]int64{}
	longest, times := time.Duration(0), 0
	for _, s := range said {
		at := servers[s.Server].addr + "/" + s.Request
		switch s.What {
		case "set":
			since[at] = s.At
		case "freed":
			lasted := time.Duration(s.At-since[at]) * time.Millisecond
			if used[at] {
				continue
			}
			longest = max(longest, lasted)
			if lasted >= idleMax {
				times++
				broken = true
				w.note("STUCK is broken: memory at %s under %s was set aside for %v and no request used it", s.Server, s.Request, lasted)
			}
		}
	}
	w.note("memory that no request used was set aside for %v at the longest, %d times for %v or longer", longest, times, idleMax)
	return broken
}
