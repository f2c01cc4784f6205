package suspect_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/suspect"
)

const size = 100

var digest = suspect.Request{Account: "acme", Method: "POST", Host: "h", RequestURI: "/a", Body: make([]byte, size)}.Digest()

// TestDigest checks what distinguishes two requests, and that their parts are not ambiguous when
// concatenated.
func TestDigest(t *testing.T) {
	base := suspect.Request{Account: "acme", Method: "POST", Host: "h", RequestURI: "/a", Body: []byte("x")}
	cases := map[string]func(r *suspect.Request){
		"account": func(r *suspect.Request) { r.Account = "other" },
		"method":  func(r *suspect.Request) { r.Method = "PUT" },
		"host":    func(r *suspect.Request) { r.Host = "g" },
		"path":    func(r *suspect.Request) { r.RequestURI = "/b" },
		"query":   func(r *suspect.Request) { r.RequestURI = "/a?b" },
		"body":    func(r *suspect.Request) { r.Body = []byte("y") },
		"moved":   func(r *suspect.Request) { r.Host, r.RequestURI = "h/", "a" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			other := base
			change(&other)
			quicktest.Check(t, other.Digest() == base.Digest(), quicktest.IsFalse)
			again := base
			quicktest.Check(t, again.Digest(), quicktest.Equals, base.Digest())
		})
	}
}

// TestStatus checks how a request may run, given what happened to targets that had it, one second
// after the last step.
func TestStatus(t *testing.T) {
	type step func(b *suspect.Registry, clk *clock.Manual)
	end := func(key uint32, marks suspect.EndFlags) step {
		return func(b *suspect.Registry, clk *clock.Manual) {
			b.RecordEnd(digest, size, suspect.NewEnd(key, clk.Now(), marks))
		}
	}
	const (
		answering  = suspect.EndFlags(0)
		unanswered = suspect.BeforeFirstEvent
		ranAlone   = suspect.BeforeFirstEvent | suspect.RanAlone
	)
	success := func(b *suspect.Registry, _ *clock.Manual) { b.RecordSuccess(digest, size) }
	answerStart := func(b *suspect.Registry, _ *clock.Manual) { b.RecordAnswerStart(digest, size) }
	wait := func(d time.Duration) step {
		return func(_ *suspect.Registry, clk *clock.Manual) { clk.Advance(d) }
	}
	lateReport := func(b *suspect.Registry, clk *clock.Manual) {
		late := suspect.NewEvidence(size, []suspect.End{suspect.NewEnd(1, clk.Now().Add(-2*time.Second), unanswered)}, time.Time{}, time.Time{})
		b.Merge(map[suspect.Digest]suspect.Evidence{digest: late})
	}
	three := []step{end(1, unanswered), end(2, ranAlone), end(3, ranAlone)}
	certain := []step{end(1, unanswered), end(2, ranAlone), end(3, ranAlone), end(4, ranAlone), end(5, ranAlone), end(6, ranAlone)}
	cases := map[string]struct {
		steps []step
		want  suspect.Status
	}{
		"no evidence":                                 {nil, suspect.Allowed},
		"one end during the stream":                   {[]step{end(1, answering)}, suspect.Allowed},
		"one end before the first event":              {[]step{end(1, unanswered)}, suspect.Isolated},
		"the same end twice":                          {[]step{end(1, answering), end(1, answering)}, suspect.Allowed},
		"two ends during the streams":                 {[]step{end(1, answering), end(2, answering)}, suspect.Isolated},
		"three ends beside others":                    {[]step{end(1, unanswered), end(2, unanswered), end(3, unanswered)}, suspect.Isolated},
		"four ends beside others":                     {[]step{end(1, unanswered), end(2, unanswered), end(3, unanswered), end(4, unanswered)}, suspect.Isolated},
		"three ends, one of them alone":               {[]step{end(1, unanswered), end(2, answering), end(3, ranAlone)}, suspect.Refused},
		"two ends alone":                              {[]step{end(1, ranAlone), end(2, ranAlone)}, suspect.Isolated},
		"an end, then a success":                      {[]step{end(1, unanswered), success}, suspect.Allowed},
		"an end, then an answer start":                {[]step{end(1, unanswered), answerStart}, suspect.Allowed},
		"an answer start, then an end":                {[]step{end(1, unanswered), answerStart, end(2, unanswered)}, suspect.Isolated},
		"two ends, then an answer start":              {[]step{end(1, unanswered), end(2, unanswered), answerStart}, suspect.Isolated},
		"refused, then a success":                     {append(three[:3:3], success), suspect.Allowed},
		"a success, then an end":                      {[]step{end(1, unanswered), success, end(2, unanswered)}, suspect.Isolated},
		"a success between ends":                      {[]step{end(1, unanswered), end(2, unanswered), success, end(3, answering)}, suspect.Allowed},
		"refused for a minute":                        {append(three[:3:3], wait(suspect.RefusalPeriod-3*time.Second)), suspect.Refused},
		"isolated after a minute":                     {append(three[:3:3], wait(suspect.RefusalPeriod)), suspect.Isolated},
		"an end after a minute":                       {append(three[:3:3], wait(suspect.RefusalPeriod), end(4, ranAlone)), suspect.Refused},
		"another end after a minute":                  {append(three[:3:3], wait(suspect.RefusalPeriod), end(4, ranAlone), wait(suspect.RefusalPeriod), end(5, ranAlone)), suspect.Refused},
		"certain, after a minute":                     {append(certain[:6:6], wait(suspect.RefusalPeriod)), suspect.Refused},
		"certain, after an hour":                      {append(certain[:6:6], wait(suspect.CertainRefusalPeriod)), suspect.Isolated},
		"certain, then a success":                     {append(certain[:6:6], success), suspect.Allowed},
		"six ends, two of them alone, after a minute": {[]step{end(1, unanswered), end(2, unanswered), end(3, unanswered), end(4, unanswered), end(5, ranAlone), end(6, ranAlone), wait(suspect.RefusalPeriod)}, suspect.Isolated},
		"dropped as too old":                          {append(three[:3:3], wait(2*suspect.RefusalPeriod), func(b *suspect.Registry, _ *clock.Manual) { b.GossipUpdate() }), suspect.Allowed},
		"an earlier end reported after a success":     {[]step{end(1, unanswered), success, lateReport}, suspect.Allowed},
		"one end, seen with and without an event":     {[]step{end(1, answering), end(1, unanswered)}, suspect.Isolated},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(time.Unix(1000, 0))
			b := &suspect.Registry{Clock: clk}
			for _, do := range tc.steps {
				do(b, clk)
				clk.Advance(time.Second)
			}
			got, _ := b.Status(digest)
			quicktest.Check(t, got, quicktest.Equals, tc.want)
		})
	}
}

// TestTargetsEndTogether checks that a request which many callers repeat is never refused where
// many targets that have it end at the same time for other reasons, and is allowed again as soon as
// one of its other runs completes.
func TestTargetsEndTogether(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	b := &suspect.Registry{Clock: clk}
	refused := make(chan struct{}, 1)
	b.NotifyRefused(func() { refused <- struct{}{} })
	for wave := range uint32(5) {
		for key := range uint32(6) {
			b.RecordEnd(digest, size, suspect.NewEnd(10*wave+key, clk.Now(), suspect.BeforeFirstEvent))
			s, _ := b.Status(digest)
			c.Check(s, quicktest.Not(quicktest.Equals), suspect.Refused)
		}
		clk.Advance(100 * time.Millisecond)
		b.RecordSuccess(digest, size)
		s, _ := b.Status(digest)
		c.Check(s, quicktest.Equals, suspect.Allowed)
		clk.Advance(100 * time.Millisecond)
	}
	c.Check(len(refused), quicktest.Equals, 0)
}

// TestMerge checks that boxes reach the same evidence in whatever order, and however often, they
// exchange it. An incarnation ends once.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clk := clock.NewManual(time.Unix(1000, 0))
		start := clk.Now()
		moment := func(label string) time.Time {
			return start.Add(time.Duration(rapid.IntRange(0, 20).Draw(r, label)) * time.Second)
		}
		ends := make([]time.Time, 6)
		for key := range ends {
			ends[key] = moment("end")
		}
		var updates []suspect.Evidence
		for range rapid.IntRange(1, 12).Draw(r, "words") {
			if rapid.IntRange(0, 3).Draw(r, "cleared") == 0 {
				updates = append(updates, suspect.NewEvidence(size, nil, moment("whole"), time.Time{}))
				continue
			}
			key := rapid.IntRange(0, len(ends)-1).Draw(r, "target")
			end := suspect.NewEnd(uint32(key), ends[key], suspect.BeforeFirstEvent)
			updates = append(updates, suspect.NewEvidence(size, []suspect.End{end}, time.Time{}, time.Time{}))
		}
		clk.Advance(30 * time.Second)
		endCount := func(words []suspect.Evidence) int {
			sum := make(map[suspect.Digest]suspect.Evidence)
			for _, e := range words {
				suspect.Merge(sum, map[suspect.Digest]suspect.Evidence{digest: e})
			}
			return len(sum[digest].Ends())
		}
		other := rapid.Permutation(updates).Draw(r, "order")
		twice := slices.Concat(other, updates)
		if endCount(updates) != endCount(other) || endCount(updates) != endCount(twice) {
			r.Fatalf("%d, %d and %d ends", endCount(updates), endCount(other), endCount(twice))
		}
	})
}

// TestRepeatedRequest checks that a request which ends each target that runs it, and is repeated
// for 50 minutes, is sent to at most three more targets after three have ended.
//
// It guards against refusals that are always for a minute: after each, one attempt ran alone and
// ended a target, and the next refusal was for a minute again. In a run of four minutes, the first
// three ends followed each other closely and all others came 60 s apart.
func TestRepeatedRequest(t *testing.T) {
	const (
		length  = 50 * time.Minute
		mostAll = 3 + 3
	)
	clk := clock.NewManual(time.Unix(1000, 0))
	b := &suspect.Registry{Clock: clk}
	ended := uint32(0)
	for range int(length / time.Second) {
		clk.Advance(time.Second)
		status, _ := b.Status(digest)
		if status == suspect.Refused {
			continue
		}
		marks := suspect.BeforeFirstEvent
		if status == suspect.Isolated {
			marks |= suspect.RanAlone
		}
		ended++
		b.RecordEnd(digest, size, suspect.NewEnd(ended, clk.Now(), marks))
	}
	quicktest.Check(t, ended <= mostAll, quicktest.IsTrue, quicktest.Commentf("%d ended", ended))
}

// TestBounds checks that a registry holds and gossips no more than its bounds, and keeps the
// requests with the most evidence.
func TestBounds(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	b := &suspect.Registry{Clock: clk}
	for key := range uint32(3) {
		b.RecordEnd(digest, size, suspect.NewEnd(key, clk.Now(), suspect.BeforeFirstEvent|suspect.RanAlone))
	}
	for i := range 1000 {
		clk.Advance(time.Millisecond)
		d := suspect.Request{RequestURI: "/" + string(rune(i)), Method: "GET"}.Digest()
		b.RecordEnd(d, 0, suspect.NewEnd(9, clk.Now(), suspect.BeforeFirstEvent))
	}
	held := 0
	for _, n := range b.Counts() {
		held += n
	}
	c.Check(held, quicktest.Equals, 80)
	c.Check(len(b.GossipUpdate()), quicktest.Equals, 32)
	status, left := b.Status(digest)
	c.Check(status, quicktest.Equals, suspect.Refused)
	c.Check(left > 50*time.Second, quicktest.IsTrue)
}

// TestGossipUpdate checks that recent evidence is gossiped each time, and all else once a second.
func TestGossipUpdate(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	b := &suspect.Registry{Clock: clk}
	b.RecordEnd(digest, size, suspect.NewEnd(1, clk.Now(), suspect.BeforeFirstEvent))
	count := func(span time.Duration) (gossiped int) {
		const tick = 50 * time.Millisecond
		for range span / tick {
			clk.Advance(tick)
			gossiped += len(b.GossipUpdate())
		}
		return gossiped
	}
	quicktest.Check(t, count(4*time.Second), quicktest.Equals, 80)
	clk.Advance(2 * time.Second)
	quicktest.Check(t, count(10*time.Second), quicktest.Equals, 10)
}

// TestNilRegistry checks that a box without a registry suspects no request.
func TestNilRegistry(t *testing.T) {
	c := quicktest.New(t)
	var b *suspect.Registry
	b.RecordEnd(digest, size, suspect.NewEnd(1, time.Time{}, suspect.BeforeFirstEvent))
	b.RecordSuccess(digest, size)
	status, _ := b.Status(digest)
	c.Check(status, quicktest.Equals, suspect.Allowed)
	c.Check(b.HasBodySize(size), quicktest.IsFalse)
	c.Check(b.GossipUpdate(), quicktest.HasLen, 0)
}
