package limit_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/limit"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/table"
)

func limiter(clk barleystep.Clock, tb barleystep.Table, hall barleystep.HallID) *limit.Limiter {
	return &limit.Limiter{Clock: clk, Box: "b", Hall: hall, Table: tb, Membership: member.NewFixed("b"), Meter: metric.Discard()}
}

// spend requests 100 tokens ten times a second from each limiter, and returns the number of admitted
// tokens.
func spend(clk *clock.Manual, rate float64, seconds int, limiters ...*limit.Limiter) (tokens int) {
	for range seconds * 10 {
		clk.Advance(100 * time.Millisecond)
		for _, l := range limiters {
			if _, ok := l.Take("a", rate, 100); ok {
				tokens += 100
			}
		}
	}
	return tokens
}

func TestRateIsEnforced(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(time.Unix(1e9, 0))
	l := limiter(clk, &table.Memory{}, "h1")
	got := spend(clk, 200, 100, l)
	c.Check(got >= 200*100 && got <= 200*103, quicktest.IsTrue, quicktest.Commentf("%d tokens", got))
	c.Check(spend(clk, 0, 1, l), quicktest.Equals, 1_000, quicktest.Commentf("no rate means no limit"))
}

func TestNegativeBalanceReturnsWait(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(time.Unix(1e9, 0))
	l := limiter(clk, &table.Memory{}, "h1")
	_, ok := l.Take("a", 1_000, 500_000)
	c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("a prompt may be longer than the burst"))
	wait, ok := l.Take("a", 1_000, 1)
	c.Assert(ok, quicktest.IsFalse)
	clk.Advance(wait)
	_, ok = l.Take("a", 1_000, 1)
	c.Check(ok, quicktest.IsTrue)
}

// TestHallsDivideTheRate checks that two halls together stay within a rate, that the rate follows the
// demand to one hall, and that the last shares stay in force while the table is unavailable.
func TestHallsDivideTheRate(t *testing.T) {
	c := quicktest.New(t)
	ctx := context.Background()
	clk := clock.NewManual(time.Unix(1e9, 0))
	faulty := &table.Faulty{Table: &table.Memory{}}
	one, two := limiter(clk, faulty, "h1"), limiter(clk, faulty, "h2")
	rounds := func(n int, limiters ...*limit.Limiter) (tokens int) {
		for range n {
			tokens += spend(clk, 200, 5, limiters...)
			one.Rebalance(ctx)
			two.Rebalance(ctx)
		}
		return tokens
	}
	rounds(4, one, two)
	both := rounds(10, one, two)
	c.Check(both <= 200*50*21/20, quicktest.IsTrue, quicktest.Commentf("%d tokens in both halls", both))
	c.Check(both >= 200*50*9/10, quicktest.IsTrue, quicktest.Commentf("%d tokens in both halls", both))
	rounds(70, one) // The demand of hall 2 expires.
	alone := rounds(10, one)
	c.Check(alone >= 200*50*8/10, quicktest.IsTrue, quicktest.Commentf("%d tokens in one hall", alone))
	faulty.SetPlan(func(table.Call) table.Failure { return table.FailureUnavailable })
	outage := rounds(10, one)
	c.Check(outage, quicktest.Equals, alone)
}
