package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/peer"
	"github.com/barleystep/barleystep/internal/signature"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
)

const pool = "m"

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept returns the next connection, wrapped in a countingConn.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// receiver passes received heartbeats to a channel.
type receiver struct{ received chan member.Heartbeat }

// Receive sends the heartbeat to the channel.
func (e receiver) Receive(b member.Heartbeat) { e.received <- b }

// Members returns one box.
func (e receiver) Members() []member.Update {
	return []member.Update{{Box: "b1", Incarnation: 1}}
}

// testBox is a box's peer server with a client connected to it.
type testBox struct {
	endpoint *capacity.LocalEndpoint
	follower *version.Follower
	client   *peer.Client
	receiver receiver
	table    *table.Faulty
	listener *countingListener
}

func newTestBox(t testing.TB, serverSecret, clientSecret string) *testBox {
	c := quicktest.New(t)
	d, err := config.File{
		Classes: []config.Class{{Name: "normal"}},
		Models:  []config.Model{{Name: pool, EngineTokens: 100_000, MaxPrompt: 100_000}},
		Targets: []config.Target{{ID: "e1", Hall: "h", URL: "http://127.0.0.1:1", Model: pool}},
	}.Document()
	c.Assert(err, quicktest.IsNil)
	follower := &version.Follower{Clock: clock.System{}, Meter: metric.Discard()}
	c.Assert(follower.Load(version.Increment{Version: 1, Changes: d.Entries(), Digest: d.Digest()}), quicktest.IsNil)
	endpoint := &capacity.LocalEndpoint{Clock: clock.System{}, Hall: "h", Configuration: follower, Meter: metric.Discard()}
	e := &testBox{endpoint: endpoint, follower: follower, receiver: receiver{make(chan member.Heartbeat, 100)}, table: &table.Faulty{Table: &table.Memory{}}}
	server := &peer.Server{
		Auth:  peer.Auth{Key: signature.Key{Secret: serverSecret, Box: "b1", Clock: clock.System{}}},
		Clock: clock.System{}, Endpoint: endpoint, Receiver: e.receiver, Follower: follower, Table: e.table,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	e.listener = &countingListener{Listener: l}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	h := &http.Server{Handler: server.Handler(), Protocols: protocols}
	go func() { _ = h.Serve(e.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		h.Close()
	})
	e.client = &peer.Client{
		Auth:        peer.Auth{Key: signature.Key{Secret: clientSecret, Box: "b2", Clock: clock.System{}}},
		Clock:       clock.System{},
		Addr:        func(barleystep.BoxID) (string, bool) { return l.Addr().String(), true },
		BaseContext: ctx,
	}
	endpoint.UpdateLoad(pool, "e1", barleystep.Load{At: clock.System{}.Now(), TotalTokens: 100_000, FreeTokens: 100_000})
	return e
}

func newGrantRequest(n uint64) capacity.GrantRequest {
	now := clock.System{}.Now()
	return capacity.GrantRequest{Box: "b2", Weight: 1, Limit: 1, Demand: barleystep.Demand{
		Attempt: barleystep.NewAttemptID("b2", 7, n), Account: "conversia", Class: "normal", Model: pool,
		PromptTokens: 20_000, MaxOutputTokens: 1_000, AdmittedAt: now, Deadline: now.Add(time.Hour), PrefixHashes: make([]uint64, 5),
	}}
}

// TestEndpoint checks that the local and the remote Endpoint fulfil the same contract.
func TestEndpoint(t *testing.T) {
	e := newTestBox(t, "secret", "secret")
	remote, _ := e.client.Endpoint("b1")
	for name, endpoint := range map[string]capacity.Endpoint{"local": e.endpoint, "remote": remote} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			first := newGrantRequest(1)
			g, err := endpoint.Ask(t.Context(), pool, first)
			c.Assert(err, quicktest.IsNil)
			c.Check(g.Targets, quicktest.DeepEquals, []barleystep.TargetID{"e1"})
			// A second long prompt waits until the first one's prefill is done.
			got := make(chan error, 1)
			go func() {
				_, err := endpoint.Ask(t.Context(), pool, newGrantRequest(2))
				got <- err
			}()
			c.Assert(endpoint.FirstToken(t.Context(), pool, first.Demand.Attempt), quicktest.IsNil)
			c.Assert(<-got, quicktest.IsNil)
			// An abandoned call leaves no waiting request behind.
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err = endpoint.Ask(ctx, pool, newGrantRequest(3))
			c.Check(err, quicktest.IsNotNil)
			for n := uint64(1); n <= 3; n++ {
				c.Assert(endpoint.Release(t.Context(), pool, newGrantRequest(n).Demand.Attempt, barleystep.Usage{Outcome: barleystep.OutcomeDone, TimeToFirstEvent: 1}), quicktest.IsNil)
			}
			credits, err := endpoint.Report(t.Context(), pool, capacity.Report{Box: "b2", RequestedTokens: 1_000})
			c.Assert(err, quicktest.IsNil)
			c.Assert(credits.Credits, quicktest.HasLen, 1)
			c.Check(credits.Credits[0].Target, quicktest.Equals, barleystep.TargetID("e1"))
			late := newGrantRequest(4)
			late.Demand.Deadline = late.Demand.AdmittedAt
			_, err = endpoint.Ask(t.Context(), pool, late)
			c.Check(barleystep.AsRefusal(err).Reason(), quicktest.Equals, barleystep.ReasonDeadlineCannotBeMet)
		})
	}
}

func TestAuthRejectsOtherSecrets(t *testing.T) {
	cases := map[string]struct {
		server, client string
		ok             bool
	}{
		"same secret":  {"s", "s", true},
		"other secret": {"s", "x", false},
		"no secret":    {"s", "", false},
		"none needed":  {"", "", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestBox(t, tc.server, tc.client)
			_, err := e.client.Members(t.Context(), e.listener.Addr().String())
			quicktest.Check(t, err == nil, quicktest.Equals, tc.ok)
			endpoint, _ := e.client.Endpoint("b1")
			_, err = endpoint.Report(t.Context(), pool, capacity.Report{Box: "b2"})
			quicktest.Check(t, err == nil, quicktest.Equals, tc.ok)
		})
	}
}

func TestHeartbeatsAndFollow(t *testing.T) {
	c := quicktest.New(t)
	e := newTestBox(t, "s", "s")
	addr := e.listener.Addr().String()
	for n := range uint64(2) {
		e.client.SendHeartbeat("b1", addr, member.Heartbeat{From: member.Update{Box: "b2", Incarnation: 7, Sequence: n}, Hall: "h"})
		c.Check((<-e.receiver.received).From.Sequence, quicktest.Equals, n)
	}
	u, _ := e.client.Upstream("b1")
	other := &version.Follower{Clock: clock.System{}, Meter: metric.Discard()}
	f := &version.Subscriber{Clock: clock.System{}, Follower: other, Meter: metric.Discard(), Upstream: func() (version.Upstream, bool) { return u, true }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- f.Serve(ctx) }()
	other.Await(1)
	cancel()
	<-done
	c.Check(other.Version(), quicktest.Equals, int64(1))
}

// TestCommitReportsEffect checks that a box learns the true effect of a transaction that another box
// commits for it.
func TestCommitReportsEffect(t *testing.T) {
	cases := map[string]struct {
		failure table.Failure
		want    barleystep.Fault
	}{
		"applied":      {table.FailureNone, barleystep.FaultNone},
		"not applied":  {table.FailureUnavailable, barleystep.FaultUnavailable},
		"answer lost":  {table.FailureAnswerLost, barleystep.FaultUnknownEffect},
		"yet to apply": {table.FailureDelayed, barleystep.FaultUnknownEffect},
	}
	txn := barleystep.Txn{
		Conditions: []barleystep.Condition{barleystep.IfAbsent("k")},
		Writes:     []barleystep.Write{barleystep.Put("k", []byte("v")), barleystep.Delete("j")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestBox(t, "s", "s")
			e.table.SetPlan(func(table.Call) table.Failure { return tc.failure })
			quicktest.Check(t, barleystep.FaultOf(e.client.Commit(t.Context(), "b1", txn)), quicktest.Equals, tc.want)
		})
	}
	t.Run("conflict", func(t *testing.T) {
		e := newTestBox(t, "s", "s")
		quicktest.Assert(t, e.client.Commit(t.Context(), "b1", txn), quicktest.IsNil)
		quicktest.Check(t, e.client.Commit(t.Context(), "b1", txn), quicktest.ErrorIs, barleystep.ErrConflict)
	})
	t.Run("no box there", func(t *testing.T) {
		e := newTestBox(t, "s", "s")
		e.client.Addr = func(barleystep.BoxID) (string, bool) { return "127.0.0.1:1", true }
		quicktest.Check(t, e.client.Commit(t.Context(), "b1", txn), quicktest.ErrorIs, barleystep.ErrUnavailable)
	})
}

// BenchmarkCapacityWire measures the bytes of a grant with its notices, and of a report, in both
// directions of a TCP connection.
func BenchmarkCapacityWire(b *testing.B) {
	e := newTestBox(b, "secret", "secret")
	endpoint, _ := e.client.Endpoint("b1")
	ctx := context.Background()
	grant := func(n uint64) {
		a := newGrantRequest(n)
		_, err := endpoint.Ask(ctx, pool, a)
		quicktest.Assert(b, err, quicktest.IsNil)
		_ = endpoint.FirstToken(ctx, pool, a.Demand.Attempt)
		_ = endpoint.Release(ctx, pool, a.Demand.Attempt, barleystep.Usage{Outcome: barleystep.OutcomeDone, TimeToFirstEvent: 1})
	}
	report := func(uint64) {
		_, err := endpoint.Report(ctx, pool, capacity.Report{Box: "b2", Uses: []capacity.CreditUse{{Target: "e1", Running: 1, PrefillTokens: 5_000}}})
		quicktest.Assert(b, err, quicktest.IsNil)
	}
	for name, f := range map[string]func(uint64){"grant": grant, "report": report} {
		b.Run(name, func(b *testing.B) {
			f(0)
			before := e.listener.bytes.Load()
			n := uint64(0)
			for b.Loop() {
				n++
				f(n)
			}
			b.ReportMetric(float64(e.listener.bytes.Load()-before)/float64(n), "B/"+name)
		})
	}
}
