package conn_test

import (
	"context"
	"net"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/conn"
)

// callingPaths calls the pool from another goroutine, and waits for it, whenever it is asked.
type callingPaths struct {
	pool  *conn.Pool
	calls int
}

func (p *callingPaths) wait() {
	p.calls++
	done := make(chan struct{})
	go func() {
		p.pool.SetTargets(nil)
		close(done)
	}()
	<-done
}

// IsCurrent waits for the pool.
func (p *callingPaths) IsCurrent(net.Conn, string) bool {
	p.wait()
	return true
}

// IsStranded waits for the pool.
func (p *callingPaths) IsStranded(net.Conn, string) bool {
	p.wait()
	return false
}

// TestPathsCalledWithoutLock guards against a circle of locks in which a box stops answering: the paths
// wait for the gossip, the gossip for the follower of targets, and that for the pool. It hangs if the
// pool asks for paths under its lock.
func TestPathsCalledWithoutLock(t *testing.T) {
	c := quicktest.New(t)
	s := newTarget(t, answer("1", "a"), answer("2", "b"))
	p := newPool()
	paths := &callingPaths{pool: p}
	p.Paths = paths
	for _, id := range []string{"1", "2"} {
		_, err := exchange(t, p, s.addr(), "GET", id, nil)
		c.Assert(err, quicktest.IsNil)
	}
	c.Assert(p.EnsureConn(context.Background(), s.addr()), quicktest.IsNil)
	p.CloseExpired()
	c.Check(paths.calls > 0, quicktest.IsTrue)
	c.Check(p.OpenConns(s.addr()), quicktest.Equals, 1)
}
