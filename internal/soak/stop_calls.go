package soak

import (
	"io"
	"time"

	"github.com/barleystep/barleystep"
)

const (
	// One in stopEvery requests goes to a box that is stopping, if there is one. Of those that go to
	// such a box, one in slowBodyEvery has a slow body and one in slowAnswerEvery a slow answer.
	stopEvery       = 3
	slowBodyEvery   = 4
	slowAnswerEvery = 4
	// slowPath is the end of the path of requests whose streams take longer.
	slowPath = "slow/"
	// maxBodyPause bounds the pauses of a slow body, which is sent in bodyParts.
	maxBodyPause = 600 * time.Millisecond
	bodyParts    = 4
)

// randomStopCall changes some requests, so that more go to boxes that are stopping, with bodies and
// answers that take long.
func (c *caller) randomStopCall(b *box, x Call) (*box, Call) {
	if c.stopRand.IntN(stopEvery) == 0 {
		offset := c.stopRand.IntN(len(c.boxes))
		for i := range c.boxes {
			if other := c.boxes[(i+offset)%len(c.boxes)]; other.isStopping() {
				b = other
				break
			}
		}
	}
	if !b.isStopping() {
		return b, x
	}
	x.SlowBody = c.stopRand.IntN(slowBodyEvery) == 0
	isStream := x.Kind == KindResumableStream || x.Kind == KindPlainStream
	if c.stopRand.IntN(slowAnswerEvery) == 0 && isStream {
		x.Path += slowPath
	}
	return b, x
}

// isStopping reports whether the current process was told to stop.
func (b *box) isStopping() bool { return b.history.isStopping(b.id, b.currentIncarnation()) }

// body returns the body of the request as it is sent.
func (c *caller) body(x Call) io.Reader {
	list := &bodyReader{clock: c.clock, rest: x.Body, part: len(x.Body)}
	if x.SlowBody {
		list.part = (len(x.Body) + bodyParts - 1) / bodyParts
		list.pause = time.Duration(c.stopRand.Int64N(int64(maxBodyPause)))
	}
	return list
}

// bodyReader returns a text in parts, with a pause before each but the first.
type bodyReader struct {
	clock barleystep.Clock
	rest  string
	part  int
	pause time.Duration
	begun bool
}

// Read returns a part.
func (r *bodyReader) Read(p []byte) (n int, err error) {
	if r.rest == "" {
		return 0, io.EOF
	}
	if r.begun && r.pause > 0 {
		timer := r.clock.NewTimer(r.pause)
		<-timer.C()
	}
	r.begun = true
	n = copy(p, r.rest[:min(r.part, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}
