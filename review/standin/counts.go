package main

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
)

// counts counts attempts by box and outcome.
type counts struct {
	mu sync.Mutex
	by map[string]map[string]int
}

func newCounts() *counts { return &counts{by: make(map[string]map[string]int)} }

func (c *counts) add(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by[a.box] == nil {
		c.by[a.box] = make(map[string]int)
	}
	name := a.outcome
	if a.status != 0 {
		name = http.StatusText(a.status)
	}
	if len(name) > 40 {
		name = name[:10]
	}
	c.by[a.box][name]++
}

// write writes what was counted since the last time.
func (c *counts) write(rec *record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, box := range slices.Sorted(maps.Keys(c.by)) {
		rec.line("%s answered its clients: %v", box, c.by[box])
	}
	c.by = make(map[string]map[string]int)
}

// serveStore opens the store at a free port of 127.0.0.1.
func serveStore(s *store) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}
