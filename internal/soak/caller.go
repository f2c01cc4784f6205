package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// caller sends requests one after the other to random boxes, over connections that it keeps open
// until the box's process exits.
type caller struct {
	name    string
	clock   barleystep.Clock
	rand    *rand.Rand
	boxes   []*box
	history *History
	// routes returns how many routes have been added. keys are the API keys to choose from.
	routes func() int
	keys   []string
	// deadly reports whether deadly requests are sent now. They are drawn from a generator of their
	// own, so that the other draws of a seed do not change.
	deadly     func() bool
	deadlyRand *rand.Rand
	// deadlyPart reports whether requests with a deadly part are sent now, which are drawn from
	// partRand. crowded returns the box to which most requests go, on new connections, nil if none.
	deadlyPart func() bool
	crowded    func() *box
	partRand   *rand.Rand
	// long reports whether additional oversized prompts are sent now, which are drawn from longRand.
	long      func() bool
	longRand  *rand.Rand
	longCalls *longCalls
	// stopRand draws the calls to boxes that are stopping.
	stopRand *rand.Rand
	load     load
	client   *http.Client
	number   int
}

const (
	// maxAnswerBytes bounds an answer that is read, in bytes; a longer one is never sound.
	maxAnswerBytes = 16 << 20
	// host is the host name of all routes.
	host = "soak.example"
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 25 * time.Millisecond
	// longBody is the size of a body that exceeds the socket buffers. One in longEvery requests has
	// such a body.
	longBody  = 96 << 10
	longEvery = 20
	// One in deadlyEvery requests is deadly while such requests are sent.
	deadlyEvery = 20
	// One in extraLongEvery requests has an oversized prompt while additional ones are sent.
	extraLongEvery = 4
	deadlyKey      = "key-a"
	// firstParts is the number of first parts that prompts share. One in crowdEvery requests goes to
	// any box while most go to one.
	firstParts = 5
	crowdEvery = 10
	// shortPrompt and oversizedPrompt are lengths in tokens. oversizedPrompt exceeds the KV cache
	// of an engine.
	shortPrompt     = 500
	oversizedPrompt = 60_000
)

func newCaller(number int, seed uint64) *caller {
	return &caller{
		name: fmt.Sprintf("c%d", number),
		rand: rand.New(rand.NewPCG(seed, uint64(number)+1)),

		deadlyRand: rand.New(rand.NewPCG(seed, streamDeadly+uint64(number))),
		longRand:   rand.New(rand.NewPCG(seed, streamLong+uint64(number))),
		stopRand:   rand.New(rand.NewPCG(seed, streamStopCalls+uint64(number))),
		partRand:   rand.New(rand.NewPCG(seed, streamDeadlyParts+uint64(number))),
		client:     &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		b := c.boxes[c.rand.IntN(len(c.boxes))]
		if crowded := c.crowded(); crowded != nil && c.partRand.IntN(crowdEvery) > 0 {
			b = crowded
		}
		c.history.RecordCall(c.call(c.randomStopCall(b, c.randomCall())))
		timer := c.clock.NewTimer(time.Duration(c.rand.ExpFloat64() * float64(thinkTime)))
		select {
		case <-ctx.Done():
		case <-timer.C():
		}
		timer.Stop()
	}
	c.client.CloseIdleConnections()
}

// randomCall draws the next request.
func (c *caller) randomCall() Call {
	c.number++
	x := Call{ID: fmt.Sprintf("%s-%d", c.name, c.number), Key: c.keys[c.rand.IntN(len(c.keys))], Body: "body of a request"}
	x.Kind = []Kind{KindNonIdempotent, KindIdempotent, KindResumableStream, KindPlainStream}[c.rand.IntN(4)]
	x.Path = "/" + string(x.Kind) + "/"
	if n := c.routes(); n > 0 && c.rand.IntN(10) == 0 {
		x.Kind, x.Path = KindIdempotent, fmt.Sprintf("/added%d/", 1+c.rand.IntN(n))
	}
	if c.rand.IntN(longEvery) == 0 {
		x.Body = strings.Repeat("long body ", longBody/10)
	}
	if c.long() && c.longRand.IntN(extraLongEvery) == 0 {
		x.Kind, x.Path, x.Oversized = KindResumableStream, "/"+string(KindResumableStream)+"/", true
	}
	if c.deadly() && c.deadlyRand.IntN(deadlyEvery) == 0 {
		x.Kind, x.Path, x.Key, x.Body = KindIdempotent, "/again/", deadlyKey, platformtest.CrashBody
		x.Oversized = false
	}
	if c.deadlyPart() && c.partRand.IntN(deadlyEvery) == 0 {
		x.Key, x.Body, x.DeadlyPart = deadlyKey, "body of "+x.ID, true
	}
	return x
}

// parts returns the ids of the parts of the prompt. Deadly ones share the first part with others.
func (x Call) parts() []string {
	own := fmt.Sprintf("%x", xxhash.Sum64String(x.ID))
	first := fmt.Sprintf("f%d", len(x.ID)%firstParts)
	if x.DeadlyPart {
		return []string{first, platformtest.CrashPart, own}
	}
	return []string{first, own}
}

// call sends one request and records the answer in the returned Call.
func (c *caller) call(b *box, x Call) Call {
	x.Box, x.Incarnation, x.TimeLimit, x.Started = b.id, b.currentIncarnation(), c.load.timeLimit, c.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), x.TimeLimit)
	defer cancel()
	connected := false
	var sent atomic.Pointer[time.Time] // Set by another goroutine, possibly after the call has ended.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected, x.Reused = true, i.Reused
			if !i.Reused {
				x.Incarnation = b.currentIncarnation() // The process may have been restarted since.
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if now := c.clock.Now(); i.Err == nil {
				sent.Store(&now)
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.callersAddr+x.Path, c.body(x))
	if err != nil {
		panic(err) // Unreachable: the address and the path come from this package.
	}
	req.Host = host
	req.ContentLength = int64(len(x.Body))
	req.GetBody = nil // Keeps the transport from resending the request.
	req.Close = c.crowded() != nil
	platformtest.SetCallerHeaders(req.Header, x.ID, x.Key)
	platformtest.SetPromptParts(req.Header, x.parts()...)
	if x.Kind == KindResumableStream && c.rand.IntN(c.load.oversizedEvery) == 0 {
		x.Oversized = true
	}
	resp, err := c.send(b, req, x)
	if err == nil {
		defer resp.Body.Close()
		x.Status, x.Header, x.Closes = resp.StatusCode, resp.Header, resp.Close
		var data []byte
		data, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		x.Answer, x.Truncated = string(data), err != nil
	}
	x.Ended = c.clock.Now()
	if at := sent.Load(); at != nil {
		x.Sent = *at
	}
	x.TimedOut = eris.Is(err, context.DeadlineExceeded)
	x.ConnectFailed = !connected
	return x
}

// send sends the request and returns the answer once its head has arrived.
func (c *caller) send(b *box, req *http.Request, x Call) (*http.Response, error) {
	output := platformtest.StreamTokens
	if strings.HasSuffix(x.Path, slowPath) {
		output = platformtest.SlowStreamTokens
	}
	if !x.Oversized {
		platformtest.SetPromptHeaders(req.Header, shortPrompt, output, x.TimeLimit)
		return c.client.Do(req)
	}
	platformtest.SetPromptHeaders(req.Header, oversizedPrompt, output, x.TimeLimit)
	c.longCalls.add(b.id, 1)
	defer c.longCalls.add(b.id, -1)
	return c.client.Do(req)
}
