package suspect_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/suspect"
)

// shelf is a store that holds one topic.
type shelf struct {
	mu      sync.Mutex
	records map[string][]byte
	fails   bool
	calls   int
}

func (s *shelf) call() error {
	s.calls++
	if s.fails {
		return barleystep.ErrUnavailable
	}
	return nil
}

func (s *shelf) Fetch(context.Context, barleystep.Topic) (b barleystep.Batch, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []barleystep.Record
	for key, value := range s.records {
		list = append(list, barleystep.NewRecord(key, value))
	}
	return barleystep.NewBatch(list, 1), s.call()
}

func (*shelf) Watch(context.Context, barleystep.Topic, barleystep.Revision, time.Duration) (barleystep.Batch, error) {
	return barleystep.Batch{}, barleystep.ErrUnavailable
}

func (s *shelf) Publish(_ context.Context, _ barleystep.Topic, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = make(map[string][]byte)
	}
	if !s.fails {
		s.records[key] = value
	}
	return s.call()
}

func (s *shelf) Withdraw(_ context.Context, _ barleystep.Topic, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, key)
	return s.call()
}

func (s *shelf) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.records {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// count returns how many calls there were.
func (s *shelf) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// keeper is a box's book with its archive.
type keeper struct {
	book  *suspect.Registry
	clock *clock.Manual
}

// keep starts the archive of a box that leads or not.
func keep(t *testing.T, s *shelf, leads bool) *keeper {
	clk := clock.NewManual(time.Unix(1000, 0))
	k := &keeper{book: &suspect.Registry{Clock: clk}, clock: clk}
	a := &suspect.Archive{
		Clock: clk, Catalogue: s, Registry: k.book, IsLead: func() bool { return leads },
		Log: &log.Logger{Level: log.PanicLevel},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Serve(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return k
}

// until lets time pass until the condition holds.
func (k *keeper) until(t *testing.T, holds func() bool) {
	t.Helper()
	const most = 10_000
	for range most {
		if holds() {
			return
		}
		for k.clock.PendingTimers() == 0 && !holds() {
			clock.Sleep(t.Context(), clock.System{}, time.Millisecond)
		}
		k.clock.Advance(50 * time.Millisecond)
	}
	t.Fatal("the condition did not come about")
}

// condemn has three targets end under the request.
func (k *keeper) condemn() {
	for key := range uint32(3) {
		k.book.RecordEnd(digest, size, suspect.NewEnd(key+1, k.clock.Now(), suspect.BeforeFirstEvent|suspect.RanAlone))
	}
}

func (k *keeper) standing() suspect.Status {
	s, _ := k.book.Status(digest)
	return s
}

// TestArchive checks that a box which knows nothing learns from the store what another lead has
// put there, whatever else lies there.
func TestArchive(t *testing.T) {
	c := quicktest.New(t)
	s := &shelf{}
	first := keep(t, s, true)
	first.book.RecordEnd(digest, size, suspect.NewEnd(9, first.clock.Now(), suspect.BeforeFirstEvent))
	first.condemn()
	first.until(t, func() bool { return len(s.keys()) == 1 })
	c.Check(s.keys(), quicktest.DeepEquals, []string{digest.String()})
	for key, value := range map[string]string{
		"zz":                  `{"size":1,"ends":[]}`,
		digest.String() + "0": `{"size":1,"ends":[]}`,
		suspect.Request{Host: "o"}.Digest().String(): `{"size":1,"ends":[{"target":1}]}`,
		suspect.Request{Host: "p"}.Digest().String(): `nothing`,
		suspect.Request{Host: "q"}.Digest().String(): `{"size":null,"ends":null}`,
	} {
		c.Check(s.Publish(t.Context(), barleystep.TopicSuspects, key, []byte(value)), quicktest.IsNil)
	}
	second := keep(t, s, true)
	second.until(t, func() bool { return second.standing() == suspect.Refused })
	c.Check(second.book.Evidence(digest).Ends(), quicktest.HasLen, 4)
	c.Check(second.book.Counts()[suspect.Isolated], quicktest.Equals, 0)
}

// TestArchiveCleared checks that what a whole run has cleared is removed, and what is too old.
func TestArchiveCleared(t *testing.T) {
	cases := map[string]func(k *keeper){
		"whole": func(k *keeper) { k.book.RecordSuccess(digest, size) },
		"old":   func(k *keeper) { k.clock.Advance(3 * suspect.RefusalPeriod) },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			s := &shelf{}
			k := keep(t, s, true)
			k.condemn()
			k.until(t, func() bool { return len(s.keys()) == 1 })
			k.clock.Advance(time.Second)
			end(k)
			k.until(t, func() bool { return len(s.keys()) == 0 })
		})
	}
}

// TestArchiveCalls checks that a box which does not lead makes no call, that a lead makes one to
// read and one to write, and that a store which is away is asked again.
func TestArchiveCalls(t *testing.T) {
	c := quicktest.New(t)
	s := &shelf{}
	other := keep(t, s, false)
	other.condemn()
	passed := 0
	other.until(t, func() bool { passed++; return passed > 100 })
	c.Check(s.count(), quicktest.Equals, 0)

	lead := keep(t, s, true)
	lead.condemn()
	lead.until(t, func() bool { return len(s.keys()) == 1 })
	passed = 0
	lead.until(t, func() bool { passed++; return passed > 100 })
	c.Check(s.count(), quicktest.Equals, 2)

	away := &shelf{fails: true}
	late := keep(t, away, true)
	late.condemn()
	late.until(t, func() bool { return away.count() > 2 })
	away.mu.Lock()
	away.fails = false
	away.mu.Unlock()
	late.until(t, func() bool { return len(away.keys()) == 1 })
}
