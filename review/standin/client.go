package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request as its client saw it.
type attempt struct {
	id      string
	box     string
	sent    time.Time
	took    time.Duration
	status  int // status is 0 if there was no answer.
	outcome string
}

// client sends requests to one box on one channel that it keeps.
type client struct {
	box    *box
	host   string
	path   string
	key    string
	limit  time.Duration // limit is sent as X-Barleystep-Deadline-Ms.
	extra  time.Duration // extra is how much longer than that the client waits for an answer.
	rec    *record
	mu     sync.Mutex
	conn   net.Conn
	reader *bufio.Reader
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// send makes one attempt.
func (c *client) send(method string) (a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a = attempt{id: newID(), box: c.box.id}
	defer func() {
		c.rec.line("client: %s %s%s with %s to %s: status %d after %.3f s, %s", a.id, c.host, c.path, c.key, a.box, a.status, a.took.Seconds(), a.outcome)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.box.front, time.Second)
		if err != nil {
			a.sent, a.outcome = time.Now(), "no channel: "+err.Error()
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.sent = time.Now()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Barleystep-Request-Id: %s\r\nX-Barleystep-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 0\r\n\r\n",
		method, c.path, c.host, a.id, c.limit.Milliseconds(), c.key)
	_ = c.conn.SetDeadline(a.sent.Add(c.limit + c.extra))
	resp, body, err := c.exchange(text, method)
	a.took = time.Since(a.sent)
	switch {
	case err != nil:
		a.outcome = "no answer: " + err.Error()
		_ = c.conn.Close()
		c.conn = nil
		return a
	case resp.Header.Get("X-Barleystep-Request-Id") != a.id:
		a.outcome = "an answer to another request"
	case resp.StatusCode == http.StatusOK && !strings.HasPrefix(body, a.id+" "):
		a.outcome = "a foreign body"
	default:
		a.outcome = "answered"
	}
	a.status = resp.StatusCode
	if resp.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	return a
}

func (c *client) exchange(text, method string) (*http.Response, string, error) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// ready reports whether the box says that it takes callers.
func (b *box) isReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + b.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
