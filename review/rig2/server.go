package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runServer is the program of a stand-in for a server of the platform. What a request does is told by its
// query, so that clients choose the work:
//
//	ms     how long the work takes before the head of the answer
//	size   bytes of the body
//	frame  length (default), chunked or none: the answer ends with its channel
//	pause  ms between the halves of the body
//	events, gap  a stream of so many events, gap ms apart
//
// SIGUSR1 makes it leave a part of the prompts that several servers read unanswered, SIGUSR2 takes that back. Each event of
// its life is a line of JSON on standard output.
func runServer(args []string) {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	listen := f.String("listen", "", "IP and port")
	id := f.String("id", "", "id")
	slots := f.Int("slots", 8, "requests at a time")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", *listen)
	must(err)
	s := &server{id: *id, slots: make(chan struct{}, *slots)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for g := range signals {
			s.hangs.Store(g == syscall.SIGUSR1)
		}
	}()
	s.say("listening", "", l.Addr().String())
	must(http.Serve(l, s))
}

// hangShare is the part of the prompts that several servers read that a server leaves unanswered while it hangs.
const hangShare = 0.45

type server struct {
	id     string
	slots  chan struct{}
	memory memory
	mu     sync.Mutex
	// hangs is set while the server leaves a part of its long prompts unanswered.
	hangs atomic.Bool
}

// said is a line that a server writes.
type said struct {
	At      int64  `json:"at_ms"` // Unix milliseconds.
	Server  string `json:"server"`
	What    string `json:"what"`
	Request string `json:"request,omitempty"`
	Note    string `json:"note,omitempty"`
}

func (s *server) say(what, request, note string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(said{time.Now().UnixMilli(), s.id, what, request, note})
	_, _ = os.Stdout.Write(append(data, '\n'))
}

// bodyOf returns the body that a server gives for a request.
func bodyOf(server, request string, size int) string {
	line := server + " answers " + request + ". "
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// sealOf returns the digest of a whole answer.
func sealOf(server, request, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, server+"/"+request+"/"+body)
	return fmt.Sprintf("%x.%x.%x", len(body), h.Sum64(), len(server))
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Barleystep-Request-Id")
	h := w.Header()
	h.Set("X-Barleystep-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	if r.URL.Path == "/health" {
		h.Set("X-Barleystep-Instance-Id", s.id)
		return
	}
	if r.URL.Path == "/api/order" {
		s.memory.order(s, w, r)
		return
	}
	if id != "" {
		h.Set("X-Barleystep-Request-Id", id)
	}
	refuse := func(status int) {
		s.say("refused", id, strconv.Itoa(status))
		h.Set("X-Barleystep-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if want := r.Header.Get("X-Barleystep-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Barleystep-Instance-Id", s.id)
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	s.say("arrived", id, r.Method+" "+r.RequestURI+" tenant="+r.Header.Get("X-Barleystep-Tenant")+" deadline="+r.Header.Get("X-Barleystep-Deadline-Ms")+
		" last="+r.Header.Get("Last-Event-Id"))
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case s.slots <- struct{}{}:
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.say("run", id, "")
	if helpers := r.Header.Get("Helpers"); helpers != "" {
		if s.hangs.Load() && rand.Float64() < hangShare {
			s.say("hangs", id, helpers)
			<-r.Context().Done()
			return
		}
		s.say("uses", id, helpers)
		defer s.say("used", id, helpers)
	}
	q := r.URL.Query()
	ms := func(name string) time.Duration {
		n, _ := strconv.Atoi(q.Get(name))
		return time.Duration(n) * time.Millisecond
	}
	select {
	case <-time.After(ms("ms")):
	case <-r.Context().Done():
		s.say("dropped", id, "")
		return
	}
	if events, _ := strconv.Atoi(q.Get("events")); events > 0 {
		s.stream(w, r, id, events, ms("gap"))
		return
	}
	size, _ := strconv.Atoi(q.Get("size"))
	body := bodyOf(s.id, id, max(size, 1))
	h.Set("X-Barleystep-Response-Seal", sealOf(s.id, id, body))
	h.Set("Content-Type", "text/plain")
	half := len(body) / 2
	switch q.Get("frame") {
	case "none":
		s.unframed(w, r, id, body, half, ms("pause"))
	case "chunked":
		_, _ = io.WriteString(w, body[:half])
		w.(http.Flusher).Flush()
		time.Sleep(ms("pause"))
		_, _ = io.WriteString(w, body[half:])
	default:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:half])
		w.(http.Flusher).Flush()
		time.Sleep(ms("pause"))
		_, _ = io.WriteString(w, body[half:])
	}
	s.say("done", id, strconv.Itoa(len(body)))
}

// unframed sends an answer without a length, which finishes with its channel.
func (s *server) unframed(w http.ResponseWriter, _ *http.Request, id, body string, half int, pause time.Duration) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n"+body[:half])
	s.say("half", id, strconv.Itoa(half))
	time.Sleep(pause)
	_, _ = io.WriteString(c, body[half:])
}

// stream sends a stream of events, those after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, events int, gap time.Duration) {
	h := w.Header()
	h.Set("X-Barleystep-Response-Seal", sealOf(s.id, id, strconv.Itoa(events)))
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if r.URL.Query().Get("frame") == "none" {
		s.unframedStream(w, id, last, events, gap)
		return
	}
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d of %d\n\n", n, id, n, events); err != nil {
			s.say("dropped", id, "")
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			s.say("dropped", id, strconv.Itoa(n))
			return
		}
	}
	s.say("done", id, "")
}

// unframedStream is stream for an answer without a length.
func (s *server) unframedStream(w http.ResponseWriter, id string, last, events int, gap time.Duration) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n")
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s piece %d of %d\n\n", n, id, n, events); err != nil {
			s.say("dropped", id, strconv.Itoa(n))
			return
		}
		s.say("event", id, strconv.Itoa(n))
		time.Sleep(gap)
	}
	s.say("done", id, "")
}
