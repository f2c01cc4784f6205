package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
)

// sentAnswer is what a target sent in answer to one try.
type sentAnswer struct {
	number int
	status int
	sealed bool
	// ran is set if the target ran the request or may have run it.
	ran bool
	// body is the part of the body that was sent; isWhole is set if that is all of it.
	body    string
	isWhole bool
}

// script determines how the targets of one test answer, try by try.
type script struct {
	mu   sync.Mutex
	sent []*sentAnswer
	// stalled receives a value when a target stops sending and keeps the connection open.
	stalled chan struct{}
	ended   chan struct{}
}

// connAction is what a target does with the connection after its answer.
type connAction uint8

const (
	keepOpen connAction = iota
	closeConn
	stallConn
)

// answerFunc produces the text of an answer and records its meaning in a.
type answerFunc func(a *sentAnswer, r *http.Request) (text string, then connAction)

// step returns the answer as a step. It records the answer before sending it.
func (s *script) step(e answerFunc) step {
	return func(c net.Conn, r *http.Request) bool {
		text, then := s.record(e, r)
		_, _ = io.WriteString(c, text)
		switch then {
		case keepOpen:
			return true
		case stallConn:
			s.stalled <- struct{}{}
			<-s.ended
		default:
			if f, ok := c.(*net.TCPConn); ok {
				_ = f.CloseWrite() // Delivers what was sent before closing.
			}
		}
		return false
	}
}

func (s *script) record(e answerFunc, r *http.Request) (text string, then connAction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &sentAnswer{ran: true, number: len(s.sent) + 1}
	s.sent = append(s.sent, a)
	return e(a, r)
}

// lastEvent is the id of the last event of a complete stream.
const lastEvent = 6

// wholeBody returns the complete body of the answer to a request.
func (a *sentAnswer) wholeBody(r *http.Request) string {
	if !isStreamPath(r.RequestURI) {
		return fmt.Sprintf("mark-%d;mark-%d;", a.number, a.number)
	}
	after, err := strconv.Atoi(r.Header.Get("Last"))
	if err != nil {
		after = 0
	}
	var b strings.Builder
	for id := after + 1; id <= lastEvent; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: mark-%d;\n\n", id, a.number)
	}
	return b.String()
}

func isStreamPath(path string) bool { return strings.Contains(path, "stream") }

// framing is how an answer delimits its body.
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	framedByClose  framing = "close"
)

// head returns the head of an answer.
func (a *sentAnswer) head(r *http.Request, f framing, length int, extra string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nMark: %d\r\nOnly-%d: 1\r\n%s", a.status, r.Header.Get("Id"), a.number, a.number, extra)
	if a.sealed {
		text += fmt.Sprintf("Seal: s%d\r\n", a.number)
	}
	switch f {
	case framedByLength:
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	case framedByChunks:
		text += "Transfer-Encoding: chunked\r\n"
	case framedByClose:
		text += "Connection: close\r\n"
	}
	return text + "\r\n"
}

// part records a part of the body and returns it in its encoded form.
func (a *sentAnswer) part(f framing, text string) string {
	a.body += text
	if f == framedByChunks && text != "" {
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	return text
}

// complete sends a complete answer with the given status.
func complete(status int, sealed, ran bool, f framing, extra string) answerFunc {
	return func(a *sentAnswer, r *http.Request) (string, connAction) {
		a.status, a.sealed, a.ran, a.isWhole = status, sealed, ran, true
		body := a.wholeBody(r)
		text := a.head(r, f, len(body), extra) + a.part(f, body)
		switch f {
		case framedByChunks:
			return text + "0\r\n\r\n", keepOpen
		case framedByClose:
			return text, closeConn
		default:
			return text, keepOpen
		}
	}
}

// truncated sends the head and the given fraction of the body.
func truncated(status int, part float64, f framing, then connAction) answerFunc {
	return func(a *sentAnswer, r *http.Request) (string, connAction) {
		a.status, a.sealed = status, true
		body := a.wholeBody(r)
		return a.head(r, f, len(body), "") + a.part(f, body[:int(part*float64(len(body)))]), then
	}
}

// emptyBody sends a head without a body, delimited by the close of the connection. For a stream
// that is incomplete, since it has events.
func emptyBody(a *sentAnswer, r *http.Request) (string, connAction) {
	a.status, a.sealed, a.isWhole = 200, true, !isStreamPath(r.RequestURI)
	return a.head(r, framedByClose, 0, ""), closeConn
}

// rawText sends a text that does not answer the request, and closes; ID is replaced by the
// request's id.
func rawText(t string) answerFunc {
	return func(_ *sentAnswer, r *http.Request) (string, connAction) {
		return strings.ReplaceAll(t, "ID", r.Header.Get("Id")), closeConn
	}
}

// sendNothing sends nothing.
func sendNothing(then connAction) answerFunc {
	return func(*sentAnswer, *http.Request) (string, connAction) { return "", then }
}

// precededBy sends the text of another answer before the answer.
func precededBy(first string, e answerFunc) answerFunc {
	return func(a *sentAnswer, r *http.Request) (string, connAction) {
		own, then := e(a, r)
		return first + own, then
	}
}

const (
	otherRequestAnswer = "HTTP/1.1 200 X\r\nId: other\r\nMark: 77\r\nSeal: s77\r\nContent-Length: 8\r\n\r\nmark-77;"
	unnamedAnswer      = "HTTP/1.1 200 X\r\nMark: 77\r\nSeal: s77\r\nContent-Length: 8\r\n\r\nmark-77;"
)

// answerCases are the answers tested for the first try.
var answerCases = map[string]answerFunc{
	"complete, by length":                     complete(200, true, true, framedByLength, ""),
	"complete, by chunks":                     complete(200, true, true, framedByChunks, ""),
	"complete, by close":                      complete(200, true, true, framedByClose, ""),
	"complete after another request's answer": precededBy(otherRequestAnswer, complete(200, true, true, framedByLength, "")),
	"complete after an unnamed answer":        precededBy(unnamedAnswer, complete(200, true, true, framedByLength, "")),
	"complete after an interim answer":        precededBy("HTTP/1.1 102 X\r\nMark: 77\r\nSeal: s77\r\n\r\n", complete(200, true, true, framedByLength, "")),
	"another request's answer only":           rawText(otherRequestAnswer),
	"unnamed answer only":                     rawText(unnamedAnswer),
	"without digest":                          complete(200, false, true, framedByLength, ""),
	"encoded":                                 complete(200, true, true, framedByLength, "Content-Encoding: gzip\r\n"),
	"failure":                                 complete(500, true, true, framedByLength, ""),
	"failure of another kind":                 complete(507, true, true, framedByChunks, "Retry-After: 9\r\n"),
	"failure without digest":                  complete(500, false, true, framedByLength, ""),
	"its time limit":                          complete(504, true, true, framedByLength, ""),
	"client error":                            complete(422, true, true, framedByLength, ""),
	"busy, may have run":                      complete(503, true, true, framedByLength, "Retry-After: 9\r\n"),
	"too many, may have run":                  complete(429, true, true, framedByLength, "Retry-After: 9\r\n"),
	"too slow, may have run":                  complete(408, true, true, framedByLength, ""),
	"shed":                                    complete(503, true, false, framedByLength, "Not-Run: 1\r\nRetry-After: 9\r\n"),
	"shed without digest":                     complete(429, false, false, framedByLength, "Not-Run: 1\r\n"),
	"truncated failure":                       truncated(500, 0.5, framedByLength, closeConn),
	"head only, by length":                    truncated(200, 0, framedByLength, closeConn),
	"head only, by chunks":                    truncated(200, 0, framedByChunks, closeConn),
	"head, then silence":                      truncated(200, 0, framedByChunks, stallConn),
	"head only, by close":                     emptyBody,
	"truncated in the first event":            truncated(200, 0.05, framedByChunks, closeConn),
	"truncated midway, by length":             truncated(200, 0.5, framedByLength, closeConn),
	"truncated midway, by chunks":             truncated(200, 0.5, framedByChunks, closeConn),
	"silent midway":                           truncated(200, 0.5, framedByChunks, stallConn),
	"closed":                                  sendNothing(closeConn),
	"silent":                                  sendNothing(stallConn),
	"not an answer":                           rawText("zzz\r\n\r\n"),
	"truncated head":                          rawText("HTTP/1.1 200 X\r\nId: ID\r\nSeal: s1\r\nMark: 1\r\n"),
}

// followUp is what happens after the first try.
type followUp struct {
	// second is the second target's answer, nil if no second target answers.
	second answerFunc
	// prepare prevents the second try.
	prepare func(f *fixture)
}

var followUps = map[string]followUp{
	"another serves":                  {second: answerCases["complete, by chunks"]},
	"another sheds":                   {second: answerCases["shed"]},
	"another fails":                   {second: answerCases["failure of another kind"]},
	"another closes":                  {second: answerCases["closed"]},
	"another breaks after its head":   {second: answerCases["head only, by chunks"]},
	"another is silent":               {second: answerCases["head, then silence"]},
	"another answers another request": {second: answerCases["another request's answer only"]},
	"no other target":                 {prepare: func(f *fixture) { f.targets = f.targets[:1] }},
	"no retry left":                   {prepare: func(f *fixture) { f.front.Budget.SetLimits(0, 0) }},
	"another is unreachable":          {prepare: func(f *fixture) { f.targets[1].Addr = "127.0.0.1:1" }},
}

// TestAnswerFromSingleSource checks that all parts of an answer come from a single source, whatever
// targets send and however many tries there are: either one target, whose digest the answer
// carries, or the box itself. Only the events of a stream may come from several targets, without a
// gap.
func TestAnswerFromSingleSource(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/", "/plainstream/"} {
		for ended, first := range answerCases {
			for name, then := range followUps {
				t.Run(strings.Trim(path, "/")+"/"+ended+"/"+name, func(t *testing.T) {
					t.Parallel()
					checkSource(t, path, first, then)
				})
			}
		}
	}
}

// TestUnframedStreamCutInsideEvent guards against streams that have neither a length nor chunks, end
// inside an event, and pass for complete: wherever in the event, the stream is resumed or broken off.
func TestUnframedStreamCutInsideEvent(t *testing.T) {
	const size = len("id: 1\ndata: mark-1;\n\n")
	for _, path := range []string{"/stream/", "/plainstream/"} {
		for _, event := range []int{0, 1, lastEvent / 2, lastEvent - 1} {
			for inside := 1; inside < size; inside++ {
				t.Run(fmt.Sprint(strings.Trim(path, "/"), "/", event, "/", inside), func(t *testing.T) {
					cut := (float64(event*size+inside) + 0.5) / float64(lastEvent*size)
					checkSource(t, path, truncated(200, cut, framedByClose, closeConn), followUps["another serves"])
				})
			}
		}
	}
}

func checkSource(t *testing.T, path string, first answerFunc, then followUp) {
	c := quicktest.New(t)
	s := &script{stalled: make(chan struct{}, 8), ended: make(chan struct{})}
	defer close(s.ended)
	steps := []step{s.step(first)}
	if then.second != nil {
		steps = append(steps, s.step(then.second))
	}
	view := newView()
	view.Route("h", path).Timeout = 24 * time.Hour
	manual := clock.NewManual(time.Unix(1000, 0))
	f := newFixtureAt(t, manual, state{view: view}, steps...)
	f.targets = f.targets[:2]
	if then.prepare != nil {
		then.prepare(f)
	}
	got := make(chan reply, 1)
	go func() { got <- f.do(t, http.MethodPost, path, "ask") }()
	s.check(c, path, awaitReply(manual, s.stalled, got))
}

// awaitReply returns the reply. Once a target stalls, it advances the clock.
func awaitReply(manual *clock.Manual, stalled <-chan struct{}, got <-chan reply) reply {
	select {
	case r := <-got:
		return r
	case <-stalled:
	}
	for {
		select {
		case r := <-got:
			return r
		default:
			manual.Advance(time.Minute)
			runtime.Gosched()
		}
	}
}

// check compares the reply with what the targets sent.
func (s *script) check(c *quicktest.C, path string, got reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Assert(got.status, quicktest.Not(quicktest.Equals), 0)
	c.Check(got.header.Get("Id"), quicktest.Equals, "r1")
	s.checkNotRunStatus(c, path, got)
	seal := got.header.Get("Seal")
	if seal == "" {
		checkBoxAnswer(c, got)
		return
	}
	number, err := strconv.Atoi(strings.TrimPrefix(seal, "s"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(number <= len(s.sent), quicktest.IsTrue)
	from := s.sent[number-1]
	c.Check(got.status, quicktest.Equals, from.status)
	c.Check(got.header.Get("Mark"), quicktest.Equals, strconv.Itoa(number))
	for other := 1; other <= len(s.sent); other++ {
		c.Check(got.header.Get(fmt.Sprintf("Only-%d", other)) != "", quicktest.Equals, other == number)
	}
	if isStreamPath(path) && got.status == http.StatusOK {
		s.checkStream(c, got)
		return
	}
	c.Check(from.isWhole, quicktest.IsTrue)
	c.Check(got.broken, quicktest.IsFalse)
	c.Check(got.body, quicktest.Equals, from.body)
}

// checkBoxAnswer checks a reply without a target's digest: it must come from the box itself and be
// a failure.
func checkBoxAnswer(c *quicktest.C, got reply) {
	c.Check(got.status >= http.StatusBadRequest, quicktest.IsTrue)
	c.Check(got.broken, quicktest.IsFalse)
	c.Check(got.body, quicktest.Not(quicktest.Contains), "mark-")
	own := map[string]bool{"Id": true, "Again": true, "Content-Type": true, "Content-Length": true, "Date": true, "Connection": true}
	for name := range got.header {
		c.Check(own[name], quicktest.IsTrue, quicktest.Commentf("%s is not of the box", name))
	}
}

// checkNotRunStatus checks that a status that guarantees that the request has not run is true, and
// that requests that must not be repeated run at most once.
func (s *script) checkNotRunStatus(c *quicktest.C, path string, got reply) {
	ran := 0
	for _, a := range s.sent {
		if a.ran {
			ran++
		}
	}
	switch got.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.Check(ran, quicktest.Equals, 0)
	}
	if path == "/once/" || path == "/plainstream/" {
		c.Check(ran <= 1, quicktest.IsTrue)
	}
}

// checkStream checks that the events of a stream arrive without gaps or repetitions, and that a
// stream that looks complete is complete.
func (s *script) checkStream(c *quicktest.C, got reply) {
	events := strings.Split(strings.TrimSuffix(got.body, "\n\n"), "\n\n")
	if got.body == "" {
		events = nil
	}
	for i, e := range events {
		c.Check(strings.HasPrefix(e, fmt.Sprintf("id: %d\n", i+1)), quicktest.IsTrue, quicktest.Commentf("event %d: %q", i+1, e))
	}
	if !got.broken {
		c.Check(events, quicktest.HasLen, lastEvent)
		c.Check(s.sent[len(s.sent)-1].isWhole, quicktest.IsTrue)
	}
}
