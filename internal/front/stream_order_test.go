package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/conn"
)

const (
	// splitTimeout bounds connecting.
	splitTimeout = 10 * time.Second
	unframedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	otherHead    = "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s2\r\nContent-Type: text/event-stream\r\n\r\n"
)

// chunked returns a complete chunked stream with the given chunks.
func chunked(chunks ...string) string {
	text := chunkedHead
	for _, chunk := range chunks {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	}
	return text + "0\r\n\r\n"
}

// otherEvents returns events of another request.
func otherEvents(from, to int) string {
	return strings.ReplaceAll(eventText(from, to), "data: x", "data: other")
}

// splitDialer opens connections on which each read ends at the given offsets of what the target
// sends.
type splitDialer struct {
	dialer conn.TCP
	splits []int
}

func (d splitDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &splitConn{TCPConn: c.(*net.TCPConn), splits: d.splits}, nil
}

type splitConn struct {
	*net.TCPConn
	splits []int
	read   int
}

// Read reads up to the next split.
func (c *splitConn) Read(p []byte) (int, error) {
	for _, split := range c.splits {
		if left := split - c.read; left > 0 && left < len(p) {
			p = p[:left]
		}
	}
	n, err := c.TCPConn.Read(p)
	c.read += n
	return n, err
}

// TestSurplusBehindUnframedStream guards against bytes behind a whole answer that pass for its events:
// wherever reads end, callers get the events of their own answer and nothing else.
func TestSurplusBehindUnframedStream(t *testing.T) {
	surplus := map[string]string{
		"second answer":                   unframedHead + eventText(1, 3),
		"second answer, by chunks":        chunked(eventText(1, 3)),
		"another's longer answer":         otherHead + otherEvents(1, 6),
		"another's failure":               "HTTP/1.1 500 X\r\nId: other\r\nSeal: s2\r\nContent-Length: 4\r\n\r\nbad\n",
		"another's events":                otherEvents(1, 6),
		"no answer":                       "zzz: q\nzzz\n\nzzz\n\n",
		"no answer, without an end":       "zzz",
		"blank lines, then another's":     "\n\n\n\n" + otherHead + otherEvents(1, 6),
		"a comment, then another's":       ": x\n\n" + otherHead + otherEvents(1, 6),
		"an event without id":             "data: other\n\n",
		"an event with another id's form": "id: x\ndata: other\n\n",
	}
	for _, path := range []string{"/stream/", "/plainstream/"} {
		for name, more := range surplus {
			text := unframedHead + eventText(1, 3) + more
			length := len(strings.ReplaceAll(text, "ID", "r1"))
			for split := length - len(more) - 2; split < length; split += 3 {
				t.Run(fmt.Sprintf("%s/%s/%d", strings.Trim(path, "/"), name, split), func(t *testing.T) {
					t.Parallel()
					c := quicktest.New(t)
					f := newFixture(t, state{view: newView()}, rawAnswer(text), rawAnswer(chunked()))
					f.front.Pool.Dialer = splitDialer{dialer: conn.TCP{Timeout: splitTimeout}, splits: []int{split}}
					got := f.do(t, http.MethodPost, path, "ask")
					c.Check(got.body, quicktest.Equals, eventText(1, 3))
					if path == "/stream/" {
						c.Check(got.broken, quicktest.IsFalse)
					}
				})
			}
		}
	}
}

// TestRepeatedEvents guards against streams that go back or repeat events, in one read or in several.
func TestRepeatedEvents(t *testing.T) {
	cut := rawAnswer(unframedHead + eventText(1, 3) + "id: 4\nda")
	cases := map[string]struct {
		steps   []step
		headers []string
		want    string
	}{
		"repeated in one chunk":         {[]step{rawAnswer(chunked(eventText(1, 2)+eventText(2, 3)+eventText(3, 4), eventText(5, 6)))}, nil, eventText(1, 6)},
		"all behind a comment":          {[]step{cut, rawAnswer(chunked(": x\n\n"+eventText(2, 4), eventText(5, 6)))}, nil, eventText(1, 6)},
		"behind new events":             {[]step{cut, rawAnswer(chunked(eventText(4, 5)+eventText(1, 5), eventText(6, 6)))}, nil, eventText(1, 6)},
		"resumed from the first":        {[]step{cut, rawAnswer(chunked(eventText(1, 6)))}, nil, eventText(1, 6)},
		"caller's own resume":           {[]step{rawAnswer(chunked(eventText(1, 6)))}, []string{"Last", "2"}, eventText(3, 6)},
		"caller's own, cut before any":  {[]step{rawAnswer(unframedHead + eventText(1, 2) + "id: 3\nda"), rawAnswer(chunked(eventText(1, 6)))}, []string{"Last", "2"}, eventText(3, 6)},
		"caller's own, cut after some":  {[]step{rawAnswer(unframedHead + eventText(1, 3) + "id: 4\nda"), rawAnswer(chunked(eventText(1, 6)))}, []string{"Last", "2"}, eventText(3, 6)},
		"caller's own, head only":       {[]step{rawAnswer(unframedHead), rawAnswer(chunked(eventText(3, 6)))}, []string{"Last", "2"}, eventText(3, 6)},
		"caller's own, has all of them": {[]step{rawAnswer(chunked())}, []string{"Last", "6"}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()}, tc.steps...)
			got := f.do(t, http.MethodPost, "/stream/", "ask", tc.headers...)
			c.Check(got.status, quicktest.Equals, http.StatusOK)
			c.Check(got.body, quicktest.Equals, tc.want)
			c.Check(got.broken, quicktest.IsFalse)
		})
	}
}

// TestResumedStreamOfAnotherKind guards against streams that end as complete since the target that was
// to resume them answered with something else.
func TestResumedStreamOfAnotherKind(t *testing.T) {
	cases := map[string]step{
		"307":          completeAnswer(307, sealed, "moved"),
		"404":          completeAnswer(404, sealed, "none"),
		"422":          completeAnswer(422, sealed, "bad"),
		"500":          completeAnswer(500, sealed, "bad"),
		"204":          rawAnswer("HTTP/1.1 204 X\r\nId: ID\r\nSeal: s\r\n\r\n"),
		"another type": completeAnswer(200, sealed+"Content-Type: application/json\r\n", ""),
	}
	cases["earlier run"] = rawAnswer(chunked(eventText(1, 2)))
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()}, eventStream(1, 3, true), second)
			got := f.do(t, http.MethodPost, "/stream/", "ask")
			c.Check(got.body, quicktest.Equals, eventText(1, 3))
			c.Check(got.broken, quicktest.IsTrue)
			c.Check(f.target.requestCount(), quicktest.Equals, 2)
		})
	}
}

// TestResumedStreamWithGap guards against a missing event where a resumed stream begins beyond the next
// one.
func TestResumedStreamWithGap(t *testing.T) {
	cases := map[string]struct {
		steps   []step
		headers []string
		want    string
	}{
		"by the box":    {[]step{eventStream(1, 3, true), eventStream(5, 6, false)}, nil, eventText(1, 3)},
		"by the caller": {[]step{eventStream(3, 4, true), eventStream(6, 6, false)}, []string{"Last", "2"}, eventText(3, 4)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()}, tc.steps...)
			got := f.do(t, http.MethodPost, "/stream/", "ask", tc.headers...)
			c.Check(got.body, quicktest.Equals, tc.want)
			c.Check(got.broken, quicktest.IsTrue)
		})
	}
}

// TestStreamsThatSkipIDs guards against sound streams that count as broken since their ids rise by more
// than one.
func TestStreamsThatSkipIDs(t *testing.T) {
	c := quicktest.New(t)
	events := []string{eventText(10, 10), eventText(20, 20), eventText(30, 30), eventText(40, 40)}
	first := rawAnswer(unframedHead + events[0] + events[1] + "id: 3")
	f := newFixture(t, state{view: newView()}, first, rawAnswer(chunked(events[2]+events[3])))
	got := f.do(t, http.MethodPost, "/stream/", "ask")
	c.Check(got.body, quicktest.Equals, strings.Join(events, ""))
	c.Check(got.broken, quicktest.IsFalse)
}

// TestSoundUnframedStream guards against sound streams without a length that count as broken, wherever
// reads end.
func TestSoundUnframedStream(t *testing.T) {
	text := unframedHead + ": hello\n\n" + "versions: 2\n" + eventText(1, 1) + "\n" + eventText(2, 3) + ": end\n\n"
	for _, path := range []string{"/stream/", "/plainstream/"} {
		for split := 1; split <= len(text); split += 2 {
			t.Run(fmt.Sprintf("%s/%d", strings.Trim(path, "/"), split), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				f := newFixture(t, state{view: newView()}, rawAnswer(text))
				f.front.Pool.Dialer = splitDialer{dialer: conn.TCP{Timeout: splitTimeout}, splits: []int{split}}
				got := f.do(t, http.MethodPost, path, "ask")
				c.Check(got.broken, quicktest.IsFalse)
				c.Check(strings.Count(got.body, "id: "), quicktest.Equals, 3)
				c.Check(f.target.requestCount(), quicktest.Equals, 1)
			})
		}
	}
}

// TestUnframedStreamOfEndedTarget guards against streams without a length that look complete since the
// process of their target ended between two events: the kernel closes its connections in good order.
func TestUnframedStreamOfEndedTarget(t *testing.T) {
	cases := map[string]struct {
		path, want string
		broken     bool
	}{
		"resumable":     {"/stream/", eventText(1, 6), false},
		"not resumable": {"/plainstream/", eventText(1, 3), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			answer := unframedCase{path: tc.path, answer: unframedHead + eventText(1, 3)}
			f := newUnframedFixture(t, answer, func(f *unframedFixture) { f.listener.Close() })
			got := f.do(t, http.MethodPost, tc.path, "ask")
			c.Check(got.body, quicktest.Equals, tc.want)
			c.Check(got.broken, quicktest.Equals, tc.broken)
		})
	}
}

// TestAbortedStreamToOldCaller guards against streams that break off and look complete to callers who
// speak HTTP/1.0, to whom the end of the connection is the end of the answer.
func TestAbortedStreamToOldCaller(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, eventStream(1, 3, true))
	connection, err := net.Dial("tcp4", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, quicktest.IsNil)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST /plainstream/ HTTP/1.0\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
	c.Assert(err, quicktest.IsNil)
	_, err = io.ReadAll(connection)
	c.Check(err, quicktest.ErrorMatches, ".*connection reset by peer")
}

// TestEndlessNonEvents guards against bytes without an event that a target sends without end, and that
// are passed on or held.
func TestEndlessNonEvents(t *testing.T) {
	endless := map[string]string{
		"blank lines":    "\n\n\n\n",
		"comments":       ": x\n\n",
		"one comment":    ":xxxxxxxx",
		"one line":       "xxxxxxxx",
		"one event":      "data: xx\n",
		"old events":     "id: 1\ndata: x\n\n",
		"status lines":   "HTTP/1.1 200 OK\r\n",
		"carriage lines": "\r\n\r\n",
	}
	for name, text := range endless {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sent := make(chan int, 1)
			send := func(connection net.Conn, r *http.Request) bool {
				rawAnswer(unframedHead+eventText(1, 2))(connection, r)
				block, total := strings.Repeat(text, 4096/len(text)), 0
				for {
					n, err := io.WriteString(connection, block)
					total += n
					if err != nil || total > 64<<20 {
						sent <- total
						return false
					}
				}
			}
			f := newFixture(t, state{view: newView()}, send)
			got := f.do(t, http.MethodPost, "/plainstream/", "ask")
			c.Check(got.broken, quicktest.Equals, name != "status lines") // The answer ends where another begins.
			c.Check(got.body == eventText(1, 2), quicktest.IsTrue, quicktest.Commentf("%d bytes", len(got.body)))
			c.Check(<-sent < 32<<20, quicktest.IsTrue)
		})
	}
}

// countingDialer opens connections and counts what is read of all of them.
type countingDialer struct {
	dialer conn.TCP
	read   *atomic.Int64
}

// Dial opens a connection.
func (d countingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{TCPConn: c.(*net.TCPConn), read: d.read}, nil
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

// Read counts what is read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestManyEndlessAnswers guards against boxes whose memory is filled by many answers without an end, each of
// which is below its own bound.
func TestManyEndlessAnswers(t *testing.T) {
	const requests = 16
	cases := map[string]struct {
		path, text string
		most       int64 // most is how much a box may read of all answers.
	}{
		"bodies": {"/once/", "x", requests * 9 << 20},
		"events": {"/plainstream/", "data: x\n", 4 << 20},
		"lines":  {"/plainstream/", "x", 4 << 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			endless := func(connection net.Conn, r *http.Request) bool {
				rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n")(connection, r)
				for block := strings.Repeat(tc.text, 4096/len(tc.text)); ; {
					if _, err := io.WriteString(connection, block); err != nil {
						return false
					}
				}
			}
			f := newFixture(t, state{view: newView()}, slices.Repeat([]step{endless}, requests)...)
			f.targets[0].Slots, f.targets[1].Slots = requests, requests
			var read atomic.Int64
			f.front.Pool.Dialer = countingDialer{dialer: conn.TCP{Timeout: splitTimeout}, read: &read}
			var all sync.WaitGroup
			for range requests {
				all.Go(func() {
					c.Check(f.do(t, http.MethodPost, tc.path, "ask").status, quicktest.Equals, http.StatusBadGateway)
				})
			}
			all.Wait()
			c.Check(read.Load() <= tc.most, quicktest.IsTrue, quicktest.Commentf("%d bytes", read.Load()))
		})
	}
}

// TestSlowRefusal guards against requests that wait for the rest of an answer that says that they have not
// run.
func TestSlowRefusal(t *testing.T) {
	c := quicktest.New(t)
	release := make(chan struct{})
	defer close(release)
	slow := func(connection net.Conn, r *http.Request) bool {
		rawAnswer("HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\n")(connection, r)
		<-release
		return false
	}
	f := newFixture(t, state{view: newView()}, slow, completeAnswer(200, sealed, "good"))
	got := f.do(t, http.MethodPost, "/once/", "ask")
	c.Check(got.status, quicktest.Equals, http.StatusOK)
	c.Check(got.body, quicktest.Equals, "good")
}
