package table_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/platform"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// faultSetter sets which calls of a table fail.
type faultSetter func(plan func(write bool) table.Failure)

func faultSetterOf(f *table.Faulty) faultSetter {
	return func(plan func(write bool) table.Failure) {
		if plan == nil {
			f.SetPlan(nil)
			return
		}
		f.SetPlan(func(call table.Call) table.Failure { return plan(call.Write()) })
	}
}

// storeFaults maps failures to the faults of the platform's test store.
var storeFaults = map[table.Failure]platformtest.Fault{
	table.FailureNone:        platformtest.FaultNone,
	table.FailureUnavailable: platformtest.FaultBusy,
	table.FailureAnswerLost:  platformtest.FaultNoAnswer,
	table.FailureDelayed:     platformtest.FaultReset,
	table.FailureHang:        platformtest.FaultHang,
}

// tables returns a constructor of each implementation, with failure injection.
func tables(t *testing.T) map[string]func() (barleystep.Table, faultSetter) {
	return map[string]func() (barleystep.Table, faultSetter){
		"memory": func() (barleystep.Table, faultSetter) {
			f := &table.Faulty{Table: &table.Memory{}}
			return f, faultSetterOf(f)
		},
		"platform": func() (barleystep.Table, faultSetter) {
			p := &platformtest.Store{Clock: clock.System{}}
			s := httptest.NewServer(p)
			t.Cleanup(s.Close)
			client := &platform.Store{
				Addr: s.Listener.Addr().String(), Clock: clock.System{},
				HTTP: &http.Client{Transport: &http.Transport{}}, Timeout: 300 * time.Millisecond,
			}
			return client, func(plan func(write bool) table.Failure) {
				if plan == nil {
					p.SetFaultFunc(nil)
					return
				}
				p.SetFaultFunc(func(kind string) platformtest.Fault { return storeFaults[plan(kind == "rows-tx")] })
			}
		},
		"group": func() (barleystep.Table, faultSetter) {
			f := &table.Faulty{Table: &table.Memory{}}
			g := table.NewBatcher(f, clock.System{})
			g.Interval = time.Millisecond
			serve(t, g)
			return g, faultSetterOf(f)
		},
	}
}

func serve(t *testing.T, g *table.Batcher) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- g.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func insert(key, value string) barleystep.Txn {
	return barleystep.Txn{
		Conditions: []barleystep.Condition{barleystep.IfAbsent(key)},
		Writes:     []barleystep.Write{barleystep.Put(key, []byte(value))},
	}
}

// TestContract checks each implementation against the contract of barleystep.Table:
// under every failure, the returned error is true about the effect.
func TestContract(t *testing.T) {
	cases := map[string]struct {
		failure table.Failure
		fault   barleystep.Fault
		there   bool // there is set if the write took effect.
	}{
		"no fault":                {table.FailureNone, barleystep.FaultNone, true},
		"error before the effect": {table.FailureUnavailable, barleystep.FaultUnavailable, false},
		"error after the effect":  {table.FailureAnswerLost, barleystep.FaultUnknownEffect, true},
		"effect yet to come":      {table.FailureDelayed, barleystep.FaultUnknownEffect, false},
		"hangs":                   {table.FailureHang, barleystep.FaultUnknownEffect, false},
	}
	for impl, build := range tables(t) {
		for name, tc := range cases {
			t.Run(impl+"/"+name, func(t *testing.T) {
				c := quicktest.New(t)
				tb, fail := build()
				fail(func(write bool) table.Failure {
					if write {
						return tc.failure
					}
					return table.FailureNone
				})
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				c.Check(barleystep.FaultOf(tb.Commit(ctx, insert("k", "v"))), quicktest.Equals, tc.fault)
				fail(nil)
				rows, err := tb.Read(context.Background(), "k", "other")
				c.Assert(err, quicktest.IsNil)
				c.Check(rows[0].Exists(), quicktest.Equals, tc.there)
				c.Check(rows[1].Exists(), quicktest.IsFalse)
			})
		}
		t.Run(impl+"/conditions", func(t *testing.T) {
			c := quicktest.New(t)
			ctx := context.Background()
			tb, _ := build()
			c.Assert(tb.Commit(ctx, insert("k", "1")), quicktest.IsNil)
			c.Check(tb.Commit(ctx, insert("k", "2")), quicktest.ErrorIs, barleystep.ErrConflict)
			rows, err := tb.Read(ctx, "k")
			c.Assert(err, quicktest.IsNil)
			change := barleystep.Txn{
				Conditions: []barleystep.Condition{barleystep.IfVersion("k", rows[0].Version())},
				Writes:     []barleystep.Write{barleystep.Put("k", []byte("3"))},
			}
			c.Assert(tb.Commit(ctx, change), quicktest.IsNil)
			c.Check(tb.Commit(ctx, change), quicktest.ErrorIs, barleystep.ErrConflict)
			rows, err = tb.Scan(ctx, "k", "", 10)
			c.Assert(err, quicktest.IsNil)
			c.Check(string(rows[0].Value()), quicktest.Equals, "3")
			c.Assert(tb.Commit(ctx, barleystep.Txn{Writes: []barleystep.Write{barleystep.Delete("k")}}), quicktest.IsNil)
			c.Check(tb.Commit(ctx, insert("k", "4")), quicktest.IsNil)
		})
		t.Run(impl+"/reads fail", func(t *testing.T) {
			c := quicktest.New(t)
			tb, fail := build()
			fail(func(bool) table.Failure { return table.FailureUnavailable })
			_, err := tb.Read(context.Background(), "k")
			c.Check(err, quicktest.ErrorIs, barleystep.ErrUnavailable)
			_, err = tb.Scan(context.Background(), "k", "", 1)
			c.Check(err, quicktest.ErrorIs, barleystep.ErrUnavailable)
		})
	}
}

// TestBatcherContinuesAfterHang checks that a commit that hangs does not block the
// next one.
func TestBatcherContinuesAfterHang(t *testing.T) {
	c := quicktest.New(t)
	faulty := &table.Faulty{Table: &table.Memory{}}
	faulty.SetPlan(func(table.Call) table.Failure { return table.FailureHang })
	g := table.NewBatcher(faulty, clock.System{})
	g.Timeout = 20 * time.Millisecond
	serve(t, g)
	err := g.Commit(context.Background(), insert("k", "v"))
	c.Check(barleystep.FaultOf(err), quicktest.Equals, barleystep.FaultUnknownEffect)
	faulty.SetPlan(nil)
	c.Check(g.Commit(context.Background(), insert("k", "v")), quicktest.IsNil)
}

// TestBatcher checks that inserts of many goroutines are combined into few commits,
// and that exactly those that conflict get ErrConflict.
func TestBatcher(t *testing.T) {
	c := quicktest.New(t)
	ctx := context.Background()
	m := &table.Memory{}
	c.Assert(m.Commit(ctx, insert("k7", "old")), quicktest.IsNil)
	g := table.NewBatcher(m, clock.System{})
	g.Interval = 5 * time.Millisecond
	const n = 200
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { errs[i] = g.Commit(ctx, insert(fmt.Sprint("k", i%100), fmt.Sprint(i))) })
	}
	serve(t, g)
	wait.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		c.Check(err, quicktest.ErrorIs, barleystep.ErrConflict)
	}
	c.Check(won, quicktest.Equals, 99)
	_, commits := m.Operations()
	c.Check(commits < n/2, quicktest.IsTrue, quicktest.Commentf("%d commits", commits))
}
