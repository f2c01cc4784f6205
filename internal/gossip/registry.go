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
	// registerInterval is the wait between checks whether the box has to be registered, and the
	// first wait between calls while the store is unavailable. While no other box is heard, the
	// wait doubles up to maxRegisterInterval between reads of the registry.
	registerInterval    = 200 * time.Millisecond
	maxRegisterInterval = 8 * time.Second
	// aloneTimeout is how long a box hears no other before it counts as alone; by then other
	// boxes have taken over the roles of those that failed.
	aloneTimeout = 2 * time.Second
	// registerDelay is how long a box has been collector before it registers: roles change
	// often while all boxes start.
	registerDelay = time.Second
	// withdrawTimeout bounds the removal of a box's record.
	withdrawTimeout = 2 * time.Second
)

// registerLoop reads the registry while no other box is heard, and registers this box where
// others could not find it otherwise: once it is the collector of its hall, or while no
// registered box answers. All other boxes are known to their collector, so hundreds of boxes
// start without a call to the store for each.
func (n *Node) registerLoop(ctx context.Context) {
	value, err := barleystep.EncodeBox(barleystep.NewBox(n.Box, n.Hall, n.Addr, false))
	if err != nil {
		n.Log.Error().Err(err).Msg(logPrefix + "Cannot encode this box's registry record.")
		return
	}
	pause, registered := registerInterval, false
	if len(n.Seeds) == 0 {
		pause = 0
	}
	for clock.Sleep(ctx, n.Clock, pause) {
		alone, isolated, isCollector := n.registrationState()
		if !alone && (registered || !isCollector) {
			pause = registerInterval
			continue
		}
		force := !registered && (isCollector || isolated)
		published, err := n.register(ctx, value, force, !registered)
		if err != nil {
			n.Log.Warn().Err(err).Msg(logPrefix + "Registration failed; retrying.")
		}
		registered = registered || published
		pause = min(2*max(pause, registerInterval), maxRegisterInterval)
	}
}

// registrationState reports whether this box hears no other box now (alone), hears none and has
// run for isolatedWait (isolated), and has been collector for registerDelay (isCollector).
func (n *Node) registrationState() (alone, isolated, isCollector bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	heard := n.best(func(m *member) bool { return now.Sub(m.lastHeard) <= aloneTimeout })
	isolated = heard == nil && now.Sub(n.origin) >= isolatedWait
	return heard == nil, isolated, n.collecting && now.Sub(n.collectingSince) >= registerDelay
}

// register reads the records of the other boxes. It writes this box's record if force is set,
// or if ifNoOthers is set and there are no other boxes.
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

// addRecords adds the boxes of the records and returns how many records name other boxes.
// Records that do not decode as a box share one log line, since a box that hears no other reads
// the registry again and again.
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
			Msg(logPrefix + "Ignored invalid box records in the registry.")
	}
	return others
}

// decodeBox decodes a box's record and its address.
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

// removeRecord removes the record of a box that has been silent for forgetAfter. A box that was
// merely cut off writes the record again at its next start, and is found by its datagrams.
func (n *Node) removeRecord(box barleystep.BoxID) {
	ctx, cancel := clock.WithDeadline(context.Background(), n.Clock, n.Clock.Now().Add(withdrawTimeout))
	defer cancel()
	if err := n.Catalogue.Withdraw(ctx, barleystep.TopicBoxes, string(box)); err != nil {
		n.Log.Warn().Str("box", string(box)).Err(err).Msg(logPrefix + "Cannot remove the registry record of a silent box.")
	}
}
