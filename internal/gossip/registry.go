package gossip

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/strict"
)

const (
	// announcePause is the wait between looks whether the box has to be registered,
	// and between tries while the store is away; alone a box waits up to
	// longestAnnouncePause between its looks at the registry.
	registerInterval    = 200 * time.Millisecond
	maxRegisterInterval = 8 * time.Second
	// aloneFor is how long a box hears nobody before it counts as alone: by then
	// others have taken over the roles of boxes that were lost.
	aloneTimeout = 2 * time.Second
	// collectingFor is how long a box collects before it is registered: while all
	// boxes start, roles go from hand to hand.
	registerDelay = time.Second
	// withdrawTimeout bounds the removal of a forgotten box's record.
	withdrawTimeout = 2 * time.Second
)

// announce reads the registry while the box hears of nobody, and registers this box
// where others could not find it without: once it collects for its hall, and where
// the registry names nobody who answers. Each of the others is known to its
// collector, so that hundreds of boxes start without a call to the store for each.
func (n *Node) registerLoop(ctx context.Context) {
	value, err := barleystep.EncodeBox(barleystep.NewBox(n.Box, n.Hall, n.Addr, false))
	if err != nil {
		n.Log.Error().Err(err).Msg(logPrefix + "The own record cannot be encoded.")
		return
	}
	pause, registered := registerInterval, false
	if len(n.Seeds) == 0 {
		pause = 0
	}
	for clock.Sleep(ctx, n.Clock, pause) {
		alone, isolated, collecting := n.registrationState()
		if !alone && (registered || !collecting) {
			pause = registerInterval
			continue
		}
		force := !registered && (collecting || isolated)
		published, err := n.register(ctx, value, force, !registered)
		if err != nil {
			n.Log.Warn().Err(err).Msg(logPrefix + "The registry does not answer. The box tries again.")
		}
		registered = registered || published
		pause = min(2*max(pause, registerInterval), maxRegisterInterval)
	}
}

// standing reports whether this box hears of nobody now, whether it has done so for
// long, and whether it has collected for a while.
func (n *Node) registrationState() (alone, isolated, collecting bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	heard := n.best(func(m *member) bool { return now.Sub(m.lastHeard) <= aloneTimeout })
	isolated = heard == nil && now.Sub(n.origin) >= isolatedWait
	return heard == nil, isolated, n.collecting && now.Sub(n.collectingSince) >= registerDelay
}

// register reads the others' records, and writes this box's if that is wanted or, where
// it may, if there are no others.
func (n *Node) register(ctx context.Context, value []byte, force, ifNoOthers bool) (published bool, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "gossip: register")
		}
	}()
	b, err := n.Catalogue.Fetch(ctx, barleystep.TopicBoxes)
	if err != nil {
		return false, err
	}
	others := n.addRecords(b.Records())
	if !force && (!ifNoOthers || others > 0) {
		return false, nil
	}
	err = n.Catalogue.Publish(ctx, barleystep.TopicBoxes, string(n.Box), value)
	return err == nil, err
}

// learn takes in the records and returns how many of them name other boxes. One that no
// box wrote names none; there is one line about all of them, since the registry is read
// again and again by a box that hears nobody.
func (n *Node) addRecords(records []barleystep.Record) (others int) {
	var firstErr error
	invalid := 0
	for _, r := range records {
		b, addr, err := decodeBox(r)
		if err != nil {
			firstErr = cmp.Or(firstErr, err)
			invalid++
			continue
		}
		if b.ID() != n.Box {
			others++
		}
		n.addMember(b.ID(), b.Hall(), addr)
	}
	if invalid > 0 {
		n.Log.Warn().Int("records", invalid).Str("reason", strict.ReasonOf(firstErr).String()).Err(firstErr).
			Msg(logPrefix + "Records of the registry name no box.")
	}
	return others
}

// decodeBox reads a box's record with its address.
func decodeBox(r barleystep.Record) (b barleystep.Box, addr netip.AddrPort, err error) {
	if b, err = barleystep.DecodeBox(r); err != nil {
		return barleystep.Box{}, netip.AddrPort{}, err
	}
	addr, err = netip.ParseAddrPort(b.Addr())
	return b, addr, err
}

func (n *Node) addMember(box barleystep.BoxID, hall barleystep.HallID, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.members[box]; known || box == n.Box {
		return
	}
	n.members[box] = &member{box: box, hall: hall, addr: addr, addedAt: n.Clock.Now()}
}

// withdraw removes the record of a box that was silent for very long. A box
// that was merely cut off writes it anew at its next start, and is found again
// by what it sends.
func (n *Node) removeRecord(box barleystep.BoxID) {
	ctx, cancel := clock.WithDeadline(context.Background(), n.Clock, n.Clock.Now().Add(withdrawTimeout))
	defer cancel()
	if err := n.Catalogue.Withdraw(ctx, barleystep.TopicBoxes, string(box)); err != nil {
		n.Log.Warn().Str("box", string(box)).Err(err).Msg(logPrefix + "A forgotten box's record could not be removed.")
	}
}
