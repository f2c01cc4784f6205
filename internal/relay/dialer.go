package relay

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// Dialer connects to targets directly, or through another box where that does not work. Its
// exported fields are set before use; it is safe for concurrent use.
type Dialer struct {
	Clock   barleystep.Clock
	Monitor *Monitor
	// Direct connects directly.
	Direct barleystep.Dialer
	// Timeout bounds a connection attempt over all paths.
	Timeout time.Duration
	// Relays returns the boxes that may be asked.
	Relays func() Candidates
	// Connect asks the box at relay to connect to the target, as Connector.Connect does.
	Connect func(ctx context.Context, relay, target string) (conn net.Conn, others []string, err error)
	Log     *log.Logger

	memory memory
}

var (
	_ barleystep.Dialer = (*Dialer)(nil)
	_ barleystep.Paths  = (*Dialer)(nil)
)

const (
	// headStart is how long a direct connection attempt may take until another box is asked, several
	// times the latency between halls.
	headStart = 50 * time.Millisecond
	// relayHeadStart is how long a relay may take until the next one is asked too, relayTimeout bounds
	// one call to a relay, and relayAttempts the calls for one connection.
	relayHeadStart = 30 * time.Millisecond
	relayTimeout   = 100 * time.Millisecond
	relayAttempts  = 4
	// minVerdicts is how many other boxes must not reach a target either, of two halls if there are,
	// for it to count as unreachable. All boxes of a hall may be cut off at once.
	minVerdicts = 2
)

// outcome is the result of a connection attempt on one path.
type outcome struct {
	conn net.Conn
	err  error
}

// Dial connects to the target. The error is barleystep.ErrNoPath if this box has no way to it.
func (d *Dialer) Dial(ctx context.Context, addr string) (conn net.Conn, err error) {
	ctx, cancel := clock.WithDeadline(ctx, d.Clock, d.Clock.Now().Add(d.Timeout))
	defer cancel()
	if !d.Monitor.UsesRelay(addr) {
		return d.dialDirectFirst(ctx, addr)
	}
	conn, err = d.dialRelay(ctx, addr)
	if err == nil || eris.Is(err, ErrUnreachable) || d.Monitor.IsCutOff() {
		return conn, err
	}
	return d.dialDirectFirst(ctx, addr)
}

// dialDirectFirst connects directly and, if that fails or takes long, through another box.
func (d *Dialer) dialDirectFirst(ctx context.Context, addr string) (net.Conn, error) {
	direct := d.startDirect(ctx, addr)
	timer := d.Clock.NewTimer(headStart)
	defer timer.Stop()
	select {
	case o := <-direct:
		if o.err == nil {
			return o.conn, nil
		}
		return d.resolve(ctx, addr, o, nil)
	case <-timer.C():
		return d.resolve(ctx, addr, outcome{}, direct)
	case <-ctx.Done():
		go closeLate(direct)
		return nil, context.Cause(ctx)
	}
}

// resolve asks other boxes while a direct attempt is still under way, or has failed with the given
// outcome if direct is nil. The first connection is used.
func (d *Dialer) resolve(ctx context.Context, addr string, failed outcome, direct <-chan outcome) (net.Conn, error) {
	relayed := d.startRelay(ctx, addr)
	var relayErr error
	for relayed != nil || direct != nil {
		select {
		case o := <-direct:
			if o.err == nil {
				go closeLate(relayed)
				return o.conn, nil
			}
			failed, direct = o, nil
		case o := <-relayed:
			if o.err == nil {
				go closeLate(direct)
				return o.conn, nil
			}
			relayErr, relayed = o.err, nil
		case <-ctx.Done():
			go closeLate(relayed)
			go closeLate(direct)
			if failed.err == nil {
				failed.err = context.Cause(ctx)
			}
			return nil, d.verdict(failed.err, relayErr)
		}
	}
	return nil, d.verdict(failed.err, relayErr)
}

// verdict returns the error of an attempt that failed on both paths. The word of another box counts
// more, and without one a box that may be cut off says nothing about the target.
func (d *Dialer) verdict(direct, relayed error) error {
	switch {
	case eris.Is(relayed, ErrUnreachable):
		return relayed
	case d.Monitor.IsDoubtful():
		return eris.Wrap(barleystep.ErrNoPath, direct.Error())
	default:
		return direct
	}
}

// startDirect connects directly in the background. The attempt outlasts ctx, so that its outcome is
// known even if another path was faster.
func (d *Dialer) startDirect(ctx context.Context, addr string) <-chan outcome {
	result := make(chan outcome, 1)
	go func() {
		ctx, cancel := clock.WithDeadline(context.WithoutCancel(ctx), d.Clock, d.Clock.Now().Add(d.Timeout))
		defer cancel()
		c, err := d.Direct.Dial(ctx, addr)
		if err == nil {
			d.Monitor.Connected(addr)
		} else {
			d.Monitor.Failed(addr)
		}
		result <- outcome{c, err}
	}()
	return result
}

// startRelay connects through another box in the background.
func (d *Dialer) startRelay(ctx context.Context, addr string) <-chan outcome {
	result := make(chan outcome, 1)
	go func() {
		c, err := d.dialRelay(ctx, addr)
		result <- outcome{c, err}
	}()
	return result
}

// closeLate closes a connection that nobody uses any more.
func closeLate(result <-chan outcome) {
	if result == nil {
		return
	}
	if o := <-result; o.err == nil {
		_ = o.conn.Close() // Nothing was sent on it.
	}
}

// dialRelay connects through another box. The error is ErrUnreachable if other boxes do not reach the
// target either, and barleystep.ErrNoPath if none serves as a relay. The next box is asked when one
// has failed or is slow; the first connection is used.
func (d *Dialer) dialRelay(ctx context.Context, addr string) (net.Conn, error) {
	relays := d.memory.order(d.Relays(), d.Clock.Now())
	relays = relays[:min(relayAttempts, len(relays))]
	results := make(chan outcome, len(relays))
	asked, answered, verdicts := 0, 0, 0
	var verdict error
	for answered < len(relays) {
		if asked < len(relays) {
			relay := relays[asked]
			asked++
			go func() {
				c, err := d.askRelay(ctx, relay, addr)
				results <- outcome{c, err}
			}()
		}
		o, ok := d.nextAnswer(ctx, results, asked == len(relays))
		if !ok {
			continue
		}
		answered++
		if eris.Is(o.err, ErrUnreachable) {
			verdict = o.err
			verdicts++
		}
		switch {
		case ctx.Err() != nil && o.err != nil:
			go closeAll(results, asked-answered)
			return nil, context.Cause(ctx)
		case o.err == nil || (verdicts >= minVerdicts && !d.Monitor.IsDoubtful()):
			go closeAll(results, asked-answered)
			return o.conn, o.err
		}
	}
	if verdict != nil {
		return nil, verdict
	}
	return nil, eris.Wrapf(barleystep.ErrNoPath, "relay: %d boxes asked", len(relays))
}

// nextAnswer returns the next answer of a relay, or false if none has come when the next one is to be
// asked.
func (d *Dialer) nextAnswer(ctx context.Context, results <-chan outcome, isLast bool) (o outcome, ok bool) {
	if isLast {
		return <-results, true // All calls are bounded.
	}
	timer := d.Clock.NewTimer(relayHeadStart)
	defer timer.Stop()
	select {
	case o = <-results:
		return o, true
	case <-timer.C():
		return outcome{}, false
	case <-ctx.Done():
		return <-results, true
	}
}

// closeAll closes the connections of calls that are still under way.
func closeAll(results <-chan outcome, pending int) {
	for range pending {
		closeLate(results)
	}
}

// askRelay asks one box to connect to the target.
func (d *Dialer) askRelay(ctx context.Context, relay, addr string) (net.Conn, error) {
	callCtx, cancel := clock.WithDeadline(ctx, d.Clock, d.Clock.Now().Add(relayTimeout))
	defer cancel()
	c, others, err := d.Connect(callCtx, relay, addr)
	now := d.Clock.Now()
	d.memory.hint(others, now)
	switch {
	case err == nil:
		d.Monitor.Relayed(addr)
	case !eris.Is(err, ErrUnreachable) && ctx.Err() == nil:
		d.memory.fail(relay, now)
		d.Log.Info().Str("relay", relay).Str("target", addr).Err(err).Msg(logPrefix + "A box did not serve as a relay.")
	}
	return c, err
}

// IsCurrent reports whether a new connection to the address would take the same path.
func (d *Dialer) IsCurrent(c net.Conn, addr string) bool {
	t, relayed := c.(*tunnel)
	if relayed != d.Monitor.UsesRelay(addr) {
		return false
	}
	return !relayed || d.isUsable(t.relay)
}

// isUsable reports whether the box at the address still serves as a relay, as far as is known.
func (d *Dialer) isUsable(relay string) bool {
	c := d.Relays()
	return slices.Contains(c.Near, relay) || slices.Contains(c.Far, relay) || slices.Contains(c.Stale, relay) ||
		d.memory.isHinted(relay, d.Clock.Now())
}

// IsStranded reports whether this is a direct connection to an address that this box reaches through
// others only.
func (d *Dialer) IsStranded(c net.Conn, addr string) bool {
	_, relayed := c.(*tunnel)
	return !relayed && d.Monitor.UsesRelay(addr)
}
