package box

import (
	"context"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/keeper"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/peer"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/signature"
	"github.com/barleystep/barleystep/internal/supervisor"
	"github.com/barleystep/barleystep/internal/version"
)

// Keeper is the process that maintains the hall's targets and deletes expired
// claims. It gets the configuration and the hall's membership from the entry
// process of its own box. Its exported fields are set before Run.
type Keeper struct {
	Settings settings.Settings
	Clock    barleystep.Clock
	Table    barleystep.Table
	Objects  barleystep.ObjectStore
	Boxes    barleystep.BoxList
	Meter    *metric.Meter
	Log      *log.Logger
}

// Run runs the keeper's services until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	id, hall := barleystep.BoxID(k.Settings.Box.ID), barleystep.HallID(k.Settings.Box.Hall)
	ids := identity.NewGenerator(id, identity.NewIncarnation(k.Clock))
	entry := k.Settings.Listen.Peers
	encryption, err := peer.LoadTLS(k.Settings.Peers.Certificate, k.Settings.Peers.Key, k.Settings.Peers.Authority)
	if err != nil {
		return err
	}
	client := &peer.Client{
		Auth:        peer.Auth{Key: signature.Key{Secret: k.Settings.Peers.Secret, Box: id, Clock: k.Clock}},
		Clock:       k.Clock,
		Addr:        func(barleystep.BoxID) (string, bool) { return entry, true },
		BaseContext: ctx,
		TLS:         encryption,
	}
	follower := &version.Follower{Clock: k.Clock, Meter: k.Meter}
	watcher := &keeper.Watcher{
		Clock:   k.Clock,
		Hall:    hall,
		Boxes:   k.Boxes,
		Members: func(ctx context.Context) ([]member.Update, error) { return client.Members(ctx, entry) },
	}
	targets := &engine.Pool{Configuration: follower}
	tree := supervisor.New("keeper", k.Log, 0)
	for _, s := range []suture.Service{
		&version.Subscriber{Clock: k.Clock, Follower: follower, Upstream: func() (version.Upstream, bool) { return client.Upstream(id) }, Meter: k.Meter},
		watcher,
		&keeper.Cleaner{
			Clock: k.Clock, Box: id, Hall: hall, Configuration: follower, Targets: targets, Watcher: watcher, Meter: k.Meter, Log: k.Log,
		},
		&keeper.Issuer{
			Clock: k.Clock, Hall: hall, IDs: ids, Table: k.Table, Configuration: follower, Targets: targets, Watcher: watcher,
			Meter: k.Meter, Log: k.Log,
		},
		&keeper.Sweeper{Clock: k.Clock, Box: id, Table: k.Table, Objects: k.Objects, Watcher: watcher, Meter: k.Meter},
	} {
		tree.Add(s)
	}
	return tree.Serve(ctx)
}
