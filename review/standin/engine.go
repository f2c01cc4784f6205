package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The cost model of the engines, as the sheet of cpt-tariff gives it.
const (
	engineMemory  = 450_000
	engineSlots   = 16
	readPerSecond = 256_000
	pairsPerM     = 0.0917 // pairsPerM is in milliseconds per million pairs.
	maxHold       = 20 * time.Second
	streamEvents  = 8
	eventGap      = 50 * time.Millisecond
)

// ticket is memory that is set aside at an engine.
type ticket struct {
	tokens int
	since  time.Time // since is when it was set aside.
	until  time.Time // until is when it expires.
	users  int
	// idleSince is since when no request has used it, and usedBy the last request that did.
	idleSince time.Time
	usedBy    string
}

// engine is a stand-in for a model server (PROTOCOL.md: helpers, reserve, release).
type engine struct {
	id, service, zone, addr string
	// byAddr finds the other engines by their addresses.
	byAddr map[string]*engine
	rec    *record
	// stuck is told of each stretch for which memory was set aside and no request used it.
	stuck func(e *engine, id string, tokens int, idle time.Duration, usedBy string)

	server *http.Server

	mu      sync.Mutex
	tickets map[string]*ticket
	running int
	waiting int
	// grey is the share of requests that are left unanswered, until greyUntil.
	grey      float64
	greyUntil time.Time
	rand      *rand.Rand
}

func (e *engine) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.addr = l.Addr().String()
	e.tickets = make(map[string]*ticket)
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			e.mu.Lock()
			e.expire()
			e.mu.Unlock()
		}
	}()
	return nil
}

func (e *engine) recordRow() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_left_ms": 0, "call_seq": 0, "stage": "both",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

// drop ends a ticket. The lock is held.
func (e *engine) drop(id string, t *ticket) {
	if t.users == 0 {
		e.stuck(e, id, t.tokens, time.Since(t.idleSince), t.usedBy)
	}
	delete(e.tickets, id)
}

// expire drops tickets whose time is over. The lock is held.
func (e *engine) expire() {
	now := time.Now()
	for id, t := range e.tickets {
		if now.After(t.until) {
			e.drop(id, t)
		}
	}
}

func (e *engine) setAside() (sum int) {
	for _, t := range e.tickets {
		sum += t.tokens
	}
	return sum
}

// use marks a ticket as used by a request, or no longer; it reports false if there is no such ticket.
func (e *engine) use(id, request string, begin bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	t, ok := e.tickets[id]
	if !ok {
		return false
	}
	if begin {
		if t.users == 0 {
			e.stuck(e, id, t.tokens, time.Since(t.idleSince), t.usedBy)
		}
		t.users++
		t.usedBy = request
		return true
	}
	if t.users--; t.users == 0 {
		t.idleSince = time.Now()
	}
	return true
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMS int64  `json:"hold_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || (o.Op != "reserve" && o.Op != "release") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	now := time.Now()
	t, known := e.tickets[o.ID]
	hold := min(time.Duration(o.HoldMS)*time.Millisecond, maxHold)
	switch {
	case o.Op == "release":
		if known {
			e.drop(o.ID, t)
		}
	case known:
		t.until = now.Add(hold)
	case e.setAside()+o.Tokens > engineMemory || len(e.tickets) >= 64:
		w.WriteHeader(http.StatusConflict)
		return
	default:
		e.tickets[o.ID] = &ticket{tokens: o.Tokens, since: now, until: now.Add(hold), idleSince: now}
		e.rec.line("%s sets %d tokens aside under %s", e.id, o.Tokens, o.ID)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"free": engineMemory - e.setAside()})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/order":
		e.order(w, r)
		return
	case "/health":
		w.Header().Set("X-Barleystep-Instance-Id", e.id)
		return
	}
	id := r.Header.Get("X-Barleystep-Request-Id")
	h := w.Header()
	h.Set("X-Barleystep-Request-Id", id)
	if r.Header.Get("X-Barleystep-Expect-Instance") != e.id {
		h.Set("At-Server", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	hangs := time.Now().Before(e.greyUntil) && e.rand.Float64() < e.grey
	full := e.running >= engineSlots
	if !full && !hangs {
		e.running++
	}
	e.mu.Unlock()
	switch {
	case hangs:
		e.rec.line("%s takes %s and does not answer", e.id, id)
		<-r.Context().Done()
		e.rec.line("%s: the channel of %s is closed", e.id, id)
		return
	case full:
		e.refuse(w, e.id)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.run(w, r, id)
}

func (e *engine) refuse(w http.ResponseWriter, by string) {
	w.Header().Set("At-Server", by)
	w.Header().Set("X-Barleystep-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run reads the prompt with the helpers and writes the answer.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string) {
	prompt, _, _ := strings.Cut(r.Header.Get("X-Barleystep-Token-Count"), ",")
	tokens, _ := strconv.ParseFloat(prompt, 64)
	parts := 1.0
	if list := r.Header.Get("Helpers"); list != "" {
		for _, entry := range strings.Split(list, ",") {
			addr, name, _ := strings.Cut(entry, "/")
			helper := e.byAddr[addr]
			if helper == nil || (name != "" && !helper.use(name, id, true)) {
				e.refuse(w, addr)
				return
			}
			if name != "" {
				defer helper.use(name, id, false)
			}
			parts++
		}
	}
	read := tokens/readPerSecond + tokens*tokens/2/1e6*pairsPerM/1e3
	if !wait(r, time.Duration(read/parts*float64(time.Second))) {
		return
	}
	e.rec.line("%s runs %s, %.0f tokens, %.0f helpers", e.id, id, tokens, parts-1)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Versions", "1")
	h.Set("X-Barleystep-Response-Seal", e.id+".1.200")
	for i := 1; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush()
		if !wait(r, eventGap) {
			return
		}
	}
}

func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
