package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

const (
	// announcePause is the wait between tries to write the own record while the
	// store is away.
	announcePause = 500 * time.Millisecond
	// withdrawTimeout bounds the removal of a forgotten box's record.
	withdrawTimeout = 2 * time.Second
)

// announce writes this box's record and reads those of the others, until both
// have succeeded.
func (n *Node) announce(ctx context.Context) {
	value, err := barleystep.EncodeBox(barleystep.NewBox(n.Box, n.Hall, n.Addr, false))
	if err != nil {
		n.Log.Error().Err(err).Msg(logPrefix + "The own record cannot be encoded.")
		return
	}
	for ctx.Err() == nil {
		if err = n.register(ctx, value); err == nil {
			return
		}
		n.Log.Warn().Err(err).Msg(logPrefix + "The box could not be registered. It tries again.")
		clock.Sleep(ctx, n.Clock, announcePause)
	}
}

func (n *Node) register(ctx context.Context, value []byte) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "gossip: register")
		}
	}()
	if err = n.Catalogue.Publish(ctx, string(n.Box), value); err != nil {
		return err
	}
	b, err := n.Catalogue.Fetch(ctx, barleystep.TopicBoxes)
	if err != nil {
		return err
	}
	for _, r := range b.Records() {
		n.learn(r)
	}
	return nil
}

func (n *Node) learn(r barleystep.Record) {
	b, err := barleystep.DecodeBox(r)
	if err != nil {
		n.Log.Warn().Str("box", r.Key()).Err(err).Msg(logPrefix + "A box's record cannot be read.")
		return
	}
	addr, err := netip.ParseAddrPort(b.Addr())
	if err != nil {
		n.Log.Warn().Str("box", r.Key()).Err(err).Msg(logPrefix + "A box's address cannot be read.")
		return
	}
	n.add(b.ID(), b.Hall(), addr)
}

func (n *Node) add(box barleystep.BoxID, hall barleystep.HallID, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.members[box]; known || box == n.Box {
		return
	}
	n.members[box] = &member{box: box, hall: hall, addr: addr, added: n.Clock.Now()}
}

// withdraw removes the record of a box that was silent for very long. A box
// that was merely cut off writes it anew at its next start, and is found again
// by what it sends.
func (n *Node) withdraw(box barleystep.BoxID) {
	ctx, cancel := clock.WithDeadline(context.Background(), n.Clock, n.Clock.Now().Add(withdrawTimeout))
	defer cancel()
	if err := n.Catalogue.Withdraw(ctx, string(box)); err != nil {
		n.Log.Warn().Str("box", string(box)).Err(err).Msg(logPrefix + "A forgotten box's record could not be removed.")
	}
}
