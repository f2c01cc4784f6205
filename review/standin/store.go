package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store in its wire form.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
type store struct {
	mu      sync.Mutex
	rows    map[string]row // rows holds the latest version of each row, also of removed ones.
	ver     uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), started: time.Now()}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// apply carries out one transaction.
func (s *store) apply(put, remove []row) {
	s.ver++
	for _, r := range put {
		r.Ver, r.Gone = s.ver, false
		s.rows[rowID(r.Table, r.Part, r.Key)] = r
	}
	for _, r := range remove {
		id := rowID(r.Table, r.Part, r.Key)
		if old, ok := s.rows[id]; ok && !old.Gone {
			s.rows[id] = row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Gone: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// remove removes a row as a server does that has left.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// list returns the rows of a table after a version, by version or by key.
func (s *store) list(table string, since uint64, withGone bool) []row {
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > since && (withGone || !r.Gone) {
			out = append(out, r)
		}
	}
	return out
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "more": false, "ver": s.ver, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		var rows []row
		for _, x := range s.list(q.Get("table"), 0, false) {
			if x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("target_version") == "" || x.Key < q.Get("target_version")) {
				rows = append(rows, x)
			}
		}
		sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
		s.answer(w, http.StatusOK, rows)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		rows, changed := s.list(q.Get("table"), since, true), s.changed
		if len(rows) > 0 || expired {
			sort.Slice(rows, func(i, k int) bool { return rows[i].Ver < rows[k].Ver })
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []row `json:"expect_rev"`
		Put    []row `json:"put"`
		Remove []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row{}, t.Put...), t.Remove...) {
		if x.Table == "servers" || x.Table == "op" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var now []row
	holds := true
	for _, e := range t.Expect {
		x := s.rows[rowID(e.Table, e.Part, e.Key)]
		if x.Gone {
			x = row{}
		}
		if x.Ver != 0 {
			now = append(now, x)
		}
		holds = holds && x.Ver == e.Ver
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, now)
		return
	}
	s.apply(t.Put, t.Remove)
	s.answer(w, http.StatusOK, []row{})
}
