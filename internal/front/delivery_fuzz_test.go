package front_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
)

// Requests of one caller on one connection.
const (
	firstID = "r1"
	nextID  = "next-request"
)

// delivery is what one run of FuzzDelivery draws.
type delivery struct {
	path string
	// tries are the texts that targets send for the first request, try by try; ends are what they do then.
	tries [2]string
	ends  [2]deliveryEnd
	split *rand.Rand

	mu      sync.Mutex
	sent    []rawSent
	stalled chan struct{}
	ended   chan struct{}
}

// deliveryEnd is what a target does behind the text.
type deliveryEnd uint8

const (
	endClose deliveryEnd = iota
	endReset
	endOpen
	endCount
)

// rawSent is the answer in a text that a target sent, as net/http reads it.
type rawSent struct {
	resp *http.Response
	body string
	// whole is set if the body has its end, or may have it where it has no length.
	whole bool
	end   deliveryEnd
}

// readSent returns the first final answer to the request in a text.
func readSent(text, id string) (s rawSent) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return rawSent{}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if resp.Header.Get("Id") == id {
			return rawSent{resp: resp, body: string(body), whole: err == nil}
		}
		if err != nil {
			return rawSent{}
		}
	}
}

// nextBody is the body of the answer to the next request.
const nextBody = "id: 1\ndata: next\n\n"

// answer is the step of all targets.
func (d *delivery) answer(c net.Conn, r *http.Request) bool {
	if r.Header.Get("Id") == nextID {
		return completeAnswer(http.StatusOK, "Seal: next\r\nContent-Type: text/event-stream\r\n", nextBody)(c, r)
	}
	parts, sent := d.next()
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			break
		}
		runtime.Gosched()
	}
	return d.end(c, sent)
}

// next returns the parts in which a text is sent to the next try.
func (d *delivery) next() (parts []string, sent rawSent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := min(len(d.sent), len(d.tries)-1)
	text := d.tries[i]
	sent = readSent(text, firstID)
	sent.end = d.ends[i]
	d.sent = append(d.sent, sent)
	for len(text) > 0 {
		n := 1 + d.split.IntN(len(text))
		parts, text = append(parts, text[:n]), text[n:]
	}
	return parts, sent
}

// end does what follows a text. It reports whether the connection is used on.
func (d *delivery) end(c net.Conn, sent rawSent) bool {
	switch sent.end {
	case endReset:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case endOpen:
		if sent.isFramed() {
			return true
		}
		d.stalled <- struct{}{}
		<-d.ended
		return false
	default:
		_ = c.(*net.TCPConn).CloseWrite() // Delivers what was sent before closing.
		return false
	}
}

// isFramed reports whether the answer says where it ends, and has ended.
func (s rawSent) isFramed() bool {
	return s.whole && (s.resp.ContentLength >= 0 || len(s.resp.TransferEncoding) > 0)
}

// ask sends a request over the connection and returns what the caller sees.
func ask(c net.Conn, reader *bufio.Reader, path, id string) (got reply, isOpen bool) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 3\r\n\r\nask", path, id)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return reply{broken: true}, false
	}
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err != nil}, err == nil && !resp.Close
}

// quietTime is how long no answer comes before the clock is advanced without a target that stalls: the box
// may wait for its own timers.
const quietTime = time.Second

// await calls ask, and advances the clock once a target stalls.
func (d *delivery) await(manual *clock.Manual, c net.Conn, reader *bufio.Reader, id string) (got reply, isOpen bool) {
	answered := make(chan reply, 1)
	go func() {
		var r reply
		r, isOpen = ask(c, reader, d.path, id)
		answered <- r
	}()
	timer := time.AfterFunc(quietTime, func() { d.stalled <- struct{}{} })
	defer timer.Stop()
	got = awaitReply(manual, d.stalled, answered)
	return got, isOpen
}

// check compares what the caller saw of the first request with what targets sent.
func (d *delivery) check(c *quicktest.C, got reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if got.status == 0 {
		return // The connection broke.
	}
	c.Assert(got.header.Get("Id"), quicktest.Equals, firstID)
	if got.header.Get("Seal") == "" {
		c.Assert(got.status >= http.StatusBadRequest, quicktest.IsTrue)
		c.Assert(got.body, quicktest.Not(quicktest.Contains), "mark-")
		return
	}
	for i, s := range d.sent {
		if s.resp == nil || s.resp.Header.Get("Seal") != got.header.Get("Seal") || s.resp.StatusCode != got.status {
			continue
		}
		if isStreamPath(d.path) && got.status == http.StatusOK {
			d.checkEvents(c, i, got)
			return
		}
		if s.whole && !got.broken && s.body == got.body {
			return
		}
	}
	c.Fatalf("the answer is none of a target's: %+v of %q", got, d.tries)
}

// checkEvents checks that each event was sent to the first try of the answer or a later one, that their
// numbers rise, and that a stream that looks complete is complete.
func (d *delivery) checkEvents(c *quicktest.C, first int, got reply) {
	last := -1
	lines := strings.NewReplacer("\r\n", "\n", "\r", "\n")
	events := strings.SplitAfter(lines.Replace(got.body), "\n\n")
	for _, e := range events {
		isSent := false
		for _, s := range d.sent[first:] {
			isSent = isSent || strings.Contains(lines.Replace(s.body), e)
		}
		c.Assert(isSent, quicktest.IsTrue, quicktest.Commentf("event %q of %q", e, d.tries))
		if number, ok := eventNumber(e); ok {
			c.Assert(number > last, quicktest.IsTrue, quicktest.Commentf("event %d after %d of %q", number, last, d.tries))
			last = number
		}
	}
	if !got.broken {
		c.Assert(d.sent[len(d.sent)-1].whole, quicktest.IsTrue, quicktest.Commentf("%q looks complete: %q", got.body, d.tries))
	}
}

// eventNumber returns the number of a whole event, which its last id line gives.
func eventNumber(event string) (number int, ok bool) {
	if !strings.HasSuffix(event, "\n\n") {
		return 0, false
	}
	for line := range strings.SplitSeq(event, "\n") {
		text, isID := strings.CutPrefix(line, "id: ")
		if n, err := strconv.Atoi(text); isID && err == nil {
			number, ok = n, true
		}
	}
	return number, ok
}

// seeds are texts of answers to the first request, sound and not.
func seeds() (texts []string) {
	r := &http.Request{RequestURI: "/stream/", Header: http.Header{"Id": {firstID}}}
	for _, uri := range []string{"/stream/", "/again/"} {
		r.RequestURI = uri
		for _, f := range answerCases {
			text, _ := f(&sentAnswer{number: 1}, r)
			texts = append(texts, text)
		}
	}
	whole, _ := complete(http.StatusOK, true, true, framedByChunks, "")(&sentAnswer{number: 1}, r)
	surplus := strings.ReplaceAll(otherRequestAnswer, "other", firstID)
	return append(texts, whole+otherRequestAnswer, whole+unnamedAnswer, whole+surplus, whole+"zzz")
}

// FuzzDelivery guards against answers that callers can't tell from sound ones: whatever bytes targets send,
// and however they split and end them, the caller sees the whole answer of one target to its own request,
// a stream whose events come once and in order, an answer that looks broken, or a failure of the box. The
// next answer on the connection belongs to the next request.
func FuzzDelivery(f *testing.F) {
	resumed, _ := complete(http.StatusOK, true, true, framedByChunks, "")(&sentAnswer{number: 2}, &http.Request{RequestURI: "/stream/", Header: http.Header{"Id": {firstID}, "Last": {"3"}}})
	for i, text := range seeds() {
		for kind := range uint8(len(deliveryPaths)) {
			f.Add(kind, text, resumed, uint8(i)%uint8(endCount), uint8(endClose), uint64(i))
		}
	}
	f.Fuzz(func(t *testing.T, kind uint8, first, second string, firstEnd, secondEnd uint8, split uint64) {
		if strings.Contains(first+second, nextID) || len(first)+len(second) > 64<<10 {
			return
		}
		checkDelivery(t, &delivery{
			path:    deliveryPaths[int(kind)%len(deliveryPaths)],
			tries:   [2]string{first, second},
			ends:    [2]deliveryEnd{deliveryEnd(firstEnd) % endCount, deliveryEnd(secondEnd) % endCount},
			split:   rand.New(rand.NewPCG(split, 0)),
			stalled: make(chan struct{}, 8),
			ended:   make(chan struct{}),
		})
	})
}

var deliveryPaths = []string{"/once/", "/again/", "/stream/", "/plainstream/"}

func checkDelivery(t *testing.T, d *delivery) {
	c := quicktest.New(t)
	defer close(d.ended)
	view := newView()
	view.Route("h", d.path).Timeout = 24 * time.Hour
	manual := clock.NewManual(time.Unix(1000, 0))
	f := newFixtureAt(t, manual, state{view: view}, slices.Repeat([]step{d.answer}, 8)...)
	f.targets = f.targets[:2]
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	got, isOpen := d.await(manual, conn, reader, firstID)
	d.check(c, got)
	if !isOpen {
		return
	}
	got, _ = d.await(manual, conn, reader, nextID)
	if got.status == 0 {
		return
	}
	c.Assert(got.header.Get("Id"), quicktest.Equals, nextID)
	if got.header.Get("Seal") != "" {
		c.Assert(got.broken, quicktest.IsFalse)
		c.Assert(got.body, quicktest.Equals, nextBody)
	}
}
