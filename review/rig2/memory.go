package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// memory is what is set aside at a model server.
type memory struct {
	mu  sync.Mutex
	set map[string]*held
}

// held is memory that is set aside under an id.
type held struct {
	tokens int
	timer  *time.Timer
}

const (
	kvTokens       = 450000
	maxOutstanding = 64
)

// order carries out an order to set memory aside or to release it.
func (m *memory) order(s *server, w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMS int    `json:"hold_ms"`
	}
	data, _ := io.ReadAll(r.Body)
	status := http.StatusBadRequest
	if json.Unmarshal(data, &o) == nil {
		m.mu.Lock()
		switch o.Op {
		case "reserve":
			status = m.reserve(s, o.ID, o.Tokens, time.Duration(min(o.HoldMS, 20000))*time.Millisecond)
		case "release":
			m.free(s, o.ID, "released")
			status = http.StatusOK
		}
		m.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]int{"free": kvTokens - m.total()})
}

// reserve sets memory aside or renews it. The lock is held.
func (m *memory) reserve(s *server, id string, tokens int, hold time.Duration) int {
	if h, ok := m.set[id]; ok {
		h.timer.Reset(hold)
		return http.StatusOK
	}
	used := 0
	for _, h := range m.set {
		used += h.tokens
	}
	switch {
	case tokens > kvTokens:
		return http.StatusBadRequest
	case used+tokens > kvTokens || len(m.set) >= maxOutstanding:
		return http.StatusConflict
	}
	if m.set == nil {
		m.set = map[string]*held{}
	}
	m.set[id] = &held{tokens, time.AfterFunc(hold, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.free(s, id, "expired")
	})}
	s.say("set", id, strconv.Itoa(tokens))
	return http.StatusOK
}

// free ends what is set aside under an id. The lock is held.
func (m *memory) free(s *server, id, why string) {
	h, ok := m.set[id]
	if !ok {
		return
	}
	h.timer.Stop()
	delete(m.set, id)
	s.say("freed", id, why)
}

func (m *memory) total() (tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.set {
		tokens += h.tokens
	}
	return tokens
}
