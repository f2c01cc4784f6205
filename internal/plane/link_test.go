//go:build !race

package plane_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/relay"
)

// linkMode is the state of a box's links to all targets.
type linkMode uint8

const (
	linkOpen linkMode = iota
	linkRefuses
	linkSilent
)

// links are the links of all boxes to targets. All are open unless they were cut.
type links struct {
	mu  sync.Mutex
	cut map[*box]linkMode
}

// set sets the state of a box's links.
func (l *links) set(b *box, m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut = make(map[*box]linkMode)
	}
	l.cut[b] = m
}

func (l *links) mode(b *box) linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[b]
}

// targetConn is a connection to a target, through the box relay if it is set.
type targetConn struct {
	net.Conn
	relay *process
}

// Close does nothing.
func (*targetConn) Close() error { return nil }

// directDialer connects a box to targets over its own links.
type directDialer struct{ box *box }

// Dial takes a round trip, or fails as the box's links do.
func (d directDialer) Dial(ctx context.Context, _ string) (net.Conn, error) {
	switch d.box.simulation.links.mode(d.box) {
	case linkSilent:
		<-ctx.Done()
		return nil, context.Cause(ctx)
	case linkRefuses:
		sleep(2 * hallDelay)
		return nil, syscall.ECONNREFUSED
	default:
		sleep(2 * hallDelay)
		return &targetConn{}, nil
	}
}

// addRelay creates what connects the box to targets through others, and others through it.
func (b *box) addRelay(l *process) {
	direct := directDialer{b}
	relays := func() (c relay.Candidates) {
		c.Near, c.Far, c.Stale = l.plane.Node().Relays()
		return c
	}
	targets := func() (list []string) {
		for _, t := range b.simulation.scenario.load.targets() {
			list = append(list, t.Addr)
		}
		return list
	}
	l.monitor = &relay.Monitor{Clock: b, Log: quiet, OnCutOff: l.balancer.ForgetUnreachable}
	l.dialer = &relay.Dialer{Clock: b, Monitor: l.monitor, Direct: direct, Timeout: 250 * ms, Relays: relays, Connect: b.askRelay, Log: quiet}
	l.relay = &relay.Server{
		Clock: b, Monitor: l.monitor, Direct: direct, Relays: relays, Log: quiet,
		Targets:    targets,
		IsStopping: func() bool { return false },
	}
	prober := &relay.Prober{Clock: b, Monitor: l.monitor, Direct: direct, Targets: targets}
	l.done.Go(func() { _ = prober.Serve(l.ctx) })
}

var errNoBox = eris.New("no box runs at the address")

// askRelay has the box at the address connect to a target.
func (b *box) askRelay(ctx context.Context, addr, target string) (net.Conn, []string, error) {
	n := b.simulation.network
	to := n.count(b, netip.MustParseAddrPort(addr), len(http.MethodGet)+len(addr)+len(target))
	if to == nil || n.isCut(b, to) || n.isCut(to, b) {
		<-ctx.Done()
		return nil, nil, context.Cause(ctx)
	}
	sleep(2 * n.delay(b, to)) // The connection and the call.
	l := to.running()
	if l == nil {
		return nil, nil, errNoBox
	}
	_, err := l.relay.Connect(ctx, target)
	sleep(n.delay(to, b))
	if ctx.Err() != nil {
		return nil, nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, l.relay.NamedRelays(), err
	}
	return &targetConn{relay: l}, l.relay.NamedRelays(), nil
}

// serviceDelay returns how long a request takes to a target and back over the connection, besides
// its service.
func (c *targetConn) serviceDelay() time.Duration {
	if c.relay != nil {
		return 2 * (hallDelay + farDelay)
	}
	return 2 * hallDelay
}
