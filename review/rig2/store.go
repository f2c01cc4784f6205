package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver,omitempty"`
	Gone  bool   `json:"gone,omitempty"`
}

// store is a stand-in for the platform's metadata store: rows, transactions and the feed of changes.
type store struct {
	started time.Time
	delay   time.Duration // delay is how long a call takes.

	mu      sync.Mutex
	ver     int64
	rows    map[[3]string]row
	changed chan struct{}
	down    bool // down makes every call answer 503.
	calls   int
}

func newStore() *store {
	return &store{started: time.Now(), delay: 4 * time.Millisecond, rows: map[[3]string]row{}, changed: make(chan struct{})}
}

// listen serves the store at a free port of the address and returns where.
func (s *store) listen(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

// put writes a row and returns its version: the acknowledgement.
func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.signal()
	return s.ver
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Gone: true})
	s.signal()
}

func (s *store) set(r row) { s.rows[[3]string{r.Table, r.Part, r.Key}] = r }

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target_version"), q.Get("limit"))
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, part, from, before, limit string) {
	most, err := strconv.Atoi(limit)
	if err != nil || most > 500 {
		most = 500
	}
	s.mu.Lock()
	list := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && !r.Gone && r.Key >= from && (before == "" || r.Key < before) {
			list = append(list, r)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > most
	if more {
		list = list[:most]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": list, "more": more, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		list := []row{}
		for _, r := range s.rows {
			if r.Table == q.Get("table") && r.Ver > since {
				list = append(list, r)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(list) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Ver < list[j].Ver })
		s.answer(w, http.StatusOK, map[string]any{"rows": list, "ver": ver})
		return
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev []row `json:"expect_rev"`
		Put       []row `json:"put"`
		Remove    []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []row
	for _, e := range t.ExpectRev {
		if now, ok := s.rows[[3]string{e.Table, e.Part, e.Key}]; (ok && !now.Gone && now.Ver != e.Ver) || ((!ok || now.Gone) && e.Ver != 0) {
			failed = append(failed, now)
		}
	}
	if failed != nil {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": failed, "ver": s.ver})
		return
	}
	s.ver++
	for _, p := range t.Put {
		p.Ver = s.ver
		s.set(p)
	}
	for _, p := range t.Remove {
		p.Ver, p.Gone = s.ver, true
		s.set(p)
	}
	s.signal()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
