package box

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/peer"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
	"github.com/barleystep/barleystep/internal/web"
)

// node is a box's part in its hall: membership, the configuration in force and
// the way to the other boxes.
type node struct {
	settings       settings.Settings
	clock          barleystep.Clock
	table          barleystep.Table
	objects        barleystep.ObjectStore
	boxes          barleystep.BoxList
	meter          *metric.Meter
	log            *log.Logger
	ids            *identity.Generator
	tls            *tls.Config // tls encrypts what boxes say; nil leaves it in the clear.
	advertisedAddr string      // advert is the address at which the other boxes find the peer listener.

	tracker  *member.Tracker
	follower *version.Follower
	reader   *version.Reader
	client   *peer.Client
	batcher  *table.Batcher
	relay    *table.Relay
	server   *peer.Server
	listener *web.Server
}

// build makes the parts. The endpoint answers the other boxes' questions about
// capacity.
func (n *node) build(ctx context.Context, endpoint *capacity.LocalEndpoint) {
	n.follower = &version.Follower{Clock: n.clock, Meter: n.meter}
	auth := peer.Auth{Secret: n.settings.Peers.Secret, Box: n.ids.Box(), Clock: n.clock}
	n.tracker = &member.Tracker{
		Clock:  n.clock,
		Hall:   barleystep.HallID(n.settings.Box.Hall),
		Boxes:  n.boxes,
		Meter:  n.meter,
		Log:    n.log,
		OnGone: endpoint.RemoveBox,
		Self: member.Update{
			Box:         n.ids.Box(),
			Addr:        n.advertisedAddr,
			Incarnation: n.ids.Incarnation(),
		},
	}
	n.client = &peer.Client{Auth: auth, Clock: n.clock, Addr: n.tracker.Addr, BaseContext: ctx, TLS: n.tls}
	n.tracker.Sender = n.client
	n.reader = &version.Reader{
		Clock:      n.clock,
		Box:        n.ids.Box(),
		Store:      &version.Store{Table: n.table, Objects: n.objects, Clock: n.clock, Meter: n.meter},
		Follower:   n.follower,
		Membership: n.tracker,
		Upstream:   n.client.Upstream,
		Meter:      n.meter,
		Log:        n.log,
	}
	n.batcher = table.NewBatcher(n.table, n.clock)
	n.relay = &table.Relay{Local: n.batcher, Box: n.ids.Box(), Membership: n.tracker, Remote: n.client.Commit}
	n.server = &peer.Server{
		Auth:     auth,
		Clock:    n.clock,
		Endpoint: endpoint,
		Receiver: n.tracker,
		Follower: n.follower,
		Table:    n.batcher,
	}
	n.listener = &web.Server{
		Name:        "peers",
		Addr:        n.settings.Listen.Peers,
		Clock:       n.clock,
		Log:         n.log,
		Unencrypted: true,
		TLS:         n.tls,
	}
}

// forwarder returns the way to other halls.
func (n *node) forwarder() *peer.Forwarder { return &peer.Forwarder{Client: n.client, Boxes: n.boxes} }

// serve makes the peer listener answer, with the handler for callers' requests
// that boxes of other halls forward.
func (n *node) setHandlers(callers http.Handler) {
	n.server.Forwarded = callers
	n.listener.Handler = n.server.Handler()
}

// services returns what has to run. A box without a peer listener serves alone.
func (n *node) services() []suture.Service {
	list := []suture.Service{n.reader, n.tracker, n.batcher}
	if n.settings.Listen.Peers != "" {
		list = append(list, n.listener)
	}
	return list
}
