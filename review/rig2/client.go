package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client received.
type answer struct {
	status int
	header http.Header
	body   string
	// whole is set if the answer was complete; err tells why not.
	whole  bool
	closes bool // closes is set if the channel ends with the answer.
	err    error
	took   time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %v, error %v, seal %q, took %v", a.status, len(a.body), a.whole, a.err,
		a.header.Get("X-Barleystep-Response-Seal"), a.took.Round(time.Millisecond))
}

// ask sends one request on a channel of its own and reads the answer.
func ask(addr, method, host, uri string, header map[string]string, body []byte, timeout time.Duration) answer {
	started := time.Now()
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return answer{err: err, took: time.Since(started), header: http.Header{}}
	}
	defer c.Close()
	return askOn(c, bufio.NewReader(c), method, host, uri, header, body, timeout)
}

// askOn sends one request on a channel and reads the answer.
func askOn(c net.Conn, in *bufio.Reader, method, host, uri string, header map[string]string, body []byte, timeout time.Duration) (a answer) {
	started := time.Now()
	a.header = http.Header{}
	defer func() { a.took = time.Since(started) }()
	_ = c.SetDeadline(started.Add(timeout))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, host)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if _, a.err = c.Write(append([]byte(b.String()), body...)); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header, a.closes = resp.StatusCode, resp.Header, resp.Close
	data, err := io.ReadAll(resp.Body)
	a.body, a.err, a.whole = string(data), err, err == nil
	return a
}
