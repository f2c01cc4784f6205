package box

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/peer"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/signature"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
	"github.com/barleystep/barleystep/internal/web"
)

// node holds what connects a box with its hall: membership, the current
// configuration, and the client and server for other boxes.
type node struct {
	settings       settings.Settings
	clock          barleystep.Clock
	table          barleystep.Table
	objects        barleystep.ObjectStore
	boxes          barleystep.BoxList
	meter          *metric.Meter
	log            *log.Logger
	ids            *identity.Generator
	tls            *tls.Config // tls encrypts connections between boxes; nil leaves them unencrypted.
	advertisedAddr string      // advertisedAddr is the peer listener's address for other boxes.
	memory         *guard.Budget

	tracker  *member.Tracker
	follower *version.Follower
	reader   *version.Reader
	client   *peer.Client
	batcher  *table.Batcher
	relay    *table.Relay
	server   *peer.Server
	listener *web.Server
}

// build creates the components. The endpoint serves capacity requests of other
// boxes.
func (n *node) build(ctx context.Context, endpoint *capacity.LocalEndpoint) {
	n.follower = &version.Follower{Clock: n.clock, Meter: n.meter}
	auth := peer.Auth{Key: signature.Key{Secret: n.settings.Peers.Secret, Box: n.ids.Box(), Clock: n.clock}}
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
		Memory:      n.memory,
		MaxConns:    guard.PeerPlaces(n.settings.Limits.Descriptors),
		Unencrypted: true,
		TLS:         n.tls,
	}
}

// forwarder returns the forwarder of requests to other halls.
func (n *node) forwarder() *peer.Forwarder { return &peer.Forwarder{Client: n.client, Boxes: n.boxes} }

// setHandlers sets the handler of the peer listener. Callers' requests that boxes of
// other halls forward are passed to callers.
func (n *node) setHandlers(callers http.Handler) {
	n.server.Forwarded = callers
	n.listener.Handler = n.server.Handler()
}

// services returns the services to run. Without an address for peers, there is no
// peer listener, and other boxes can't reach this one.
func (n *node) services() []suture.Service {
	list := []suture.Service{n.reader, n.tracker, n.batcher}
	if n.settings.Listen.Peers != "" {
		list = append(list, n.listener)
	}
	return list
}
