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

// answered is what one target sent in answer to one try.
type sentAnswer struct {
	number int
	status int
	sealed bool
	// ran is set if the target ran the request, or may have.
	ran bool
	// body is what the target sent of it, and whole is set if that is all.
	body    string
	isWhole bool
}

// script is how the targets of one test answer, try by try.
type script struct {
	mu   sync.Mutex
	sent []*sentAnswer
	// stalled is sent to when a target sends no more and keeps the connection.
	stalled chan struct{}
	ended   chan struct{}
}

// finish is what a target does with the connection after what it sends.
type connAction uint8

const (
	keepOpen connAction = iota
	closeConn
	stallConn
)

// ending is one way in which a target's answer can end. It says what is sent, and notes
// in the answer what that means.
type answerFunc func(a *sentAnswer, r *http.Request) (text string, then connAction)

// step returns the ending as a step. It notes what is sent before it is.
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
				_ = f.CloseWrite() // What was sent arrives.
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

// lastEvent is the id of the last event of a whole stream.
const lastEvent = 6

// wholeBody returns the body that a target has for a request.
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

// framing is how an answer tells where its body ends.
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

// part returns a part of the body as it is sent.
func (a *sentAnswer) part(f framing, text string) string {
	a.body += text
	if f == framedByChunks && text != "" {
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	return text
}

// wholly answers well, or with a failure, to the end.
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

// cutAfter sends the head and so much of the body.
func truncated(status int, part float64, f framing, then connAction) answerFunc {
	return func(a *sentAnswer, r *http.Request) (string, connAction) {
		a.status, a.sealed = status, true
		body := a.wholeBody(r)
		return a.head(r, f, len(body), "") + a.part(f, body[:int(part*float64(len(body)))]), then
	}
}

// empty sends a head and no body, which ends with the connection. A stream has events.
func emptyBody(a *sentAnswer, r *http.Request) (string, connAction) {
	a.status, a.sealed, a.isWhole = 200, true, !isStreamPath(r.RequestURI)
	return a.head(r, framedByClose, 0, ""), closeConn
}

// text sends a text that is no answer to the request, and closes; ID stands for the
// request's id.
func rawText(t string) answerFunc {
	return func(_ *sentAnswer, r *http.Request) (string, connAction) {
		return strings.ReplaceAll(t, "ID", r.Header.Get("Id")), closeConn
	}
}

// nothing sends nothing.
func sendNothing(then connAction) answerFunc {
	return func(*sentAnswer, *http.Request) (string, connAction) { return "", then }
}

// behind sends the text of another answer before the ending.
func precededBy(foreign string, e answerFunc) answerFunc {
	return func(a *sentAnswer, r *http.Request) (string, connAction) {
		own, then := e(a, r)
		return foreign + own, then
	}
}

const (
	foreignAnswer = "HTTP/1.1 200 X\r\nId: other\r\nMark: 77\r\nSeal: s77\r\nContent-Length: 8\r\n\r\nmark-77;"
	unnamedAnswer = "HTTP/1.1 200 X\r\nMark: 77\r\nSeal: s77\r\nContent-Length: 8\r\n\r\nmark-77;"
)

// endings are the ways in which an answer can end.
var answerCases = map[string]answerFunc{
	"whole, by length":                complete(200, true, true, framedByLength, ""),
	"whole, by chunks":                complete(200, true, true, framedByChunks, ""),
	"whole, by close":                 complete(200, true, true, framedByClose, ""),
	"whole behind a foreign one":      precededBy(foreignAnswer, complete(200, true, true, framedByLength, "")),
	"whole behind a nameless one":     precededBy(unnamedAnswer, complete(200, true, true, framedByLength, "")),
	"whole behind an interim one":     precededBy("HTTP/1.1 102 X\r\nMark: 77\r\nSeal: s77\r\n\r\n", complete(200, true, true, framedByLength, "")),
	"foreign one only":                rawText(foreignAnswer),
	"nameless one only":               rawText(unnamedAnswer),
	"without seal":                    complete(200, false, true, framedByLength, ""),
	"encoded":                         complete(200, true, true, framedByLength, "Content-Encoding: gzip\r\n"),
	"failure":                         complete(500, true, true, framedByLength, ""),
	"failure of another kind":         complete(507, true, true, framedByChunks, "Retry-After: 9\r\n"),
	"failure without seal":            complete(500, false, true, framedByLength, ""),
	"its time limit":                  complete(504, true, true, framedByLength, ""),
	"rejection by the caller's fault": complete(422, true, true, framedByLength, ""),
	"busy, may have run":              complete(503, true, true, framedByLength, "Retry-After: 9\r\n"),
	"too many, may have run":          complete(429, true, true, framedByLength, "Retry-After: 9\r\n"),
	"too slow, may have run":          complete(408, true, true, framedByLength, ""),
	"shed":                            complete(503, true, false, framedByLength, "Not-Run: 1\r\nRetry-After: 9\r\n"),
	"shed without seal":               complete(429, false, false, framedByLength, "Not-Run: 1\r\n"),
	"failure cut":                     truncated(500, 0.5, framedByLength, closeConn),
	"head cut off, by length":         truncated(200, 0, framedByLength, closeConn),
	"head cut off, by chunks":         truncated(200, 0, framedByChunks, closeConn),
	"head, then silence":              truncated(200, 0, framedByChunks, stallConn),
	"head cut off, by close":          emptyBody,
	"cut in the first piece":          truncated(200, 0.05, framedByChunks, closeConn),
	"cut midway, by length":           truncated(200, 0.5, framedByLength, closeConn),
	"cut midway, by chunks":           truncated(200, 0.5, framedByChunks, closeConn),
	"silent midway":                   truncated(200, 0.5, framedByChunks, stallConn),
	"closed":                          sendNothing(closeConn),
	"silent":                          sendNothing(stallConn),
	"not an answer":                   rawText("zzz\r\n\r\n"),
	"head cut":                        rawText("HTTP/1.1 200 X\r\nId: ID\r\nSeal: s1\r\nMark: 1\r\n"),
}

// next is what the box can do after the first try.
type followUp struct {
	// second is the second target's answer, nil if there is none to be had.
	second answerFunc
	// prepare takes the next try away from the box.
	prepare func(f *fixture)
}

var followUps = map[string]followUp{
	"another serves":              {second: answerCases["whole, by chunks"]},
	"another sheds":               {second: answerCases["shed"]},
	"another fails":               {second: answerCases["failure of another kind"]},
	"another closes":              {second: answerCases["closed"]},
	"another breaks at its head":  {second: answerCases["head cut off, by chunks"]},
	"another is silent":           {second: answerCases["head, then silence"]},
	"another answers for a third": {second: answerCases["foreign one only"]},
	"no other":                    {prepare: func(f *fixture) { f.targets = f.targets[:1] }},
	"no retry is left":            {prepare: func(f *fixture) { f.front.Budget.SetLimits(0, 0) }},
	"another is unreachable":      {prepare: func(f *fixture) { f.targets[1].Addr = "127.0.0.1:1" }},
}

// TestAnswerOfOneSource checks that an answer is of one source in all its parts,
// whatever targets send and however many tries there were: all that a caller gets
// comes from one target, whose digest it carries, or from the box itself. Only the
// events of a stream may come from several, without a gap.
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

// await returns the answer; from the time on at which a target stalls, it lets time
// pass.
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

// check holds the answer against what the targets sent.
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

// checkOwn checks an answer that carries no target's digest: it is the box's own, and
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

// checkPromises checks that an answer that promises that the request has not run says
// so truly, and that what must not be repeated has run once.
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

// checkStream checks that the events of a stream come without a gap and without
// repetition, and that a stream that looks whole is.
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
