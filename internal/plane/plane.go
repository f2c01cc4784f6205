// Package plane assembles a box's part of the control plane: the gossip between boxes and the
// followers of the store's topics, which read for each other.
package plane

import (
	"net/http"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/follow"
	"github.com/barleystep/barleystep/internal/gossip"
	"github.com/barleystep/barleystep/internal/suspect"
)

// Plane is one box's part of the control plane. Its exported fields are set before Build.
type Plane struct {
	Clock     barleystep.Clock
	Box       barleystep.BoxID
	Hall      barleystep.HallID
	Addr      string
	Seeds     []string
	Catalogue barleystep.Catalogue
	// MaxDelay is how soon a change must be in force; zero uses the followers' default.
	MaxDelay time.Duration
	// MaxLeaveDelay is how soon no request may reach a target any more that leaves; zero is MaxDelay.
	MaxLeaveDelay time.Duration
	// Strength is this box's capacity to do work for others.
	Strength uint32
	// CutOff reports whether this box reaches no target itself; nil means that it does.
	CutOff func() bool
	// Network carries datagrams between boxes; nil uses the operating system's UDP.
	Network barleystep.Network
	// HTTP is the client for calls to other boxes.
	HTTP          *http.Client
	Configuration follow.Handler
	Targets       follow.Handler
	Balancer      gossip.Balancer
	// Suspects holds the evidence about requests that end targets.
	Suspects *suspect.Registry
	Log      *log.Logger

	node      *gossip.Node
	archive   *suspect.Archive
	followers map[barleystep.Topic]*follow.Follower
	health    follow.StoreHealth
}

// Build creates the parts. The caller runs their services.
func (p *Plane) Build() {
	p.node = &gossip.Node{
		Clock:     p.Clock,
		Box:       p.Box,
		Hall:      p.Hall,
		Addr:      p.Addr,
		Seeds:     p.Seeds,
		Catalogue: p.Catalogue,
		Balancer:  p.Balancer,
		Network:   p.Network,
		Strength:  p.Strength,
		CutOff:    p.CutOff,
		Log:       p.Log,
	}
	p.followers = make(map[barleystep.Topic]*follow.Follower)
	p.follow(barleystep.TopicConfiguration, p.Configuration)
	p.follow(barleystep.TopicTargets, p.Targets)
	p.archive = &suspect.Archive{
		Clock:     p.Clock,
		Catalogue: p.Catalogue,
		Registry:  p.Suspects,
		IsLead:    p.node.IsLead,
		Log:       p.Log,
	}
}

func (p *Plane) follow(topic barleystep.Topic, h follow.Handler) {
	f := &follow.Follower{
		Clock:     p.Clock,
		Catalogue: p.Catalogue,
		Topic:     topic,
		Handler:   h,
		Log:       p.Log,
		MaxDelay:  p.maxDelay(topic),
		Role:      p.duty,
		HallBoxes: p.node.HallBoxCount,
		Jitter:    p.Box.Jitter(),
		Health:    &p.health,
		Peers:     &gossip.Client{Clock: p.Clock, HTTP: p.HTTP},
		// The seeds read at once, so that the others hear of a copy with their first queries.
		AwaitsPeers: len(p.Seeds) > 0 && !slices.Contains(p.Seeds, p.Addr),
	}
	p.followers[topic] = f
	p.node.Topics = append(p.node.Topics, f)
}

// maxDelay returns how soon a change of the topic must be in force. Targets come and leave by the same
// list.
func (p *Plane) maxDelay(topic barleystep.Topic) time.Duration {
	if topic == barleystep.TopicTargets && p.MaxLeaveDelay > 0 && (p.MaxDelay <= 0 || p.MaxLeaveDelay < p.MaxDelay) {
		return p.MaxLeaveDelay
	}
	return p.MaxDelay
}

// Await reports that callers wait for this box: if it has just started, it reads the store at once
// instead of waiting for other boxes.
func (p *Plane) Await() {
	for _, f := range p.followers {
		f.Await()
	}
}

// duty returns this box's role in reading the store.
func (p *Plane) duty() follow.ReaderRole {
	switch {
	case p.node.IsLead():
		return follow.RoleReader
	case p.node.IsCollector():
		return follow.RoleStandby
	default:
		return follow.RolePassive
	}
}

// Node returns the gossip node.
func (p *Plane) Node() *gossip.Node { return p.node }

// Archive returns the archive of requests that end targets.
func (p *Plane) Archive() *suspect.Archive { return p.archive }

// Followers returns the followers by topic.
func (p *Plane) Followers() map[barleystep.Topic]*follow.Follower { return p.followers }

// Freshness returns the freshness of what decides whether a target may get requests: evacuations, which
// belong to the configuration, and the list of targets.
func (p *Plane) Freshness() barleystep.Freshness {
	return follow.Oldest{p.followers[barleystep.TopicConfiguration], p.followers[barleystep.TopicTargets]}
}

// Handler returns the HTTP handler for requests of other boxes, and its path.
func (p *Plane) Handler() (path string, h http.Handler) {
	return (&gossip.Server{Followers: p.followers}).Handler()
}
