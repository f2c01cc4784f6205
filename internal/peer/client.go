package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	"github.com/barleystep/barleystep/api/peer/v1/peerv1connect"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/internal/version"
)

// Client calls the other boxes. Its exported fields are set before use; it is safe for concurrent
// use.
type Client struct {
	Auth  Auth
	Clock barleystep.Clock
	// Addr returns the address of a box's peer listener.
	Addr func(barleystep.BoxID) (addr string, ok bool)
	// TLS configures the encryption of connections; nil means unencrypted HTTP/2.
	TLS *tls.Config
	// BaseContext bounds the lifetime of long-lived streams; it ends with the process.
	BaseContext context.Context

	once             sync.Once
	http             *http.Client
	scheme           string
	mu               mutex.Mutex
	heartbeatStreams map[string]*heartbeatStream
	controlStreams   map[string]*controlStream
}

var _ member.Sender = (*Client)(nil)

// pingAfter and pingTimeout detect connections to boxes that are no longer reachable.
const (
	pingAfter   = 3 * time.Second
	pingTimeout = 2 * time.Second
)

func (c *Client) init() {
	c.once.Do(func() {
		p := new(http.Protocols)
		p.SetUnencryptedHTTP2(c.TLS == nil)
		p.SetHTTP2(c.TLS != nil)
		c.scheme = "http://"
		if c.TLS != nil {
			c.scheme = "https://"
		}
		c.http = &http.Client{Transport: &http.Transport{
			Protocols:       p,
			TLSClientConfig: c.TLS.Clone(), // The transport modifies its copy.
			HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		}}
		c.heartbeatStreams = make(map[string]*heartbeatStream)
		c.controlStreams = make(map[string]*controlStream)
	})
}

func (c *Client) rpcClient(addr string) peerv1connect.PeerClient {
	c.init()
	return peerv1connect.NewPeerClient(c.http, c.scheme+addr, connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(c.Auth))
}

// Endpoint returns the capacity endpoint of another box, or false if its address is unknown.
func (c *Client) Endpoint(id barleystep.BoxID) (capacity.Endpoint, bool) {
	addr, ok := c.Addr(id)
	if !ok {
		return nil, false
	}
	return &remoteEndpoint{client: c, addr: addr}, true
}

// Upstream returns another box as a source of configuration versions, or false if its address is
// unknown.
func (c *Client) Upstream(id barleystep.BoxID) (version.Upstream, bool) {
	addr, ok := c.Addr(id)
	if !ok {
		return nil, false
	}
	return upstream{c.rpcClient(addr)}, true
}

// Members returns the membership of its hall as the box at the address sees it.
func (c *Client) Members(ctx context.Context, addr string) ([]member.Update, error) {
	resp, err := c.rpcClient(addr).Members(ctx, connect.NewRequest(&peerv1.MembersRequest{}))
	if err != nil {
		return nil, eris.Wrap(err, "peer: members")
	}
	return convert(resp.Msg.GetMembers(), fromMemberUpdate), nil
}

// remoteEndpoint is the capacity endpoint of another box.
type remoteEndpoint struct {
	client *Client
	addr   string
}

// Ask requests a grant and waits for it.
func (d *remoteEndpoint) Ask(ctx context.Context, pool string, a capacity.GrantRequest) (g capacity.Grant, err error) {
	resp, err := d.client.rpcClient(d.addr).Ask(ctx, connect.NewRequest(toGrantRequest(pool, a, d.client.Clock.Now())))
	if err != nil {
		return capacity.Grant{}, eris.Wrap(err, "peer: ask")
	}
	if r := resp.Msg.GetRefusal(); r != nil {
		return capacity.Grant{}, fromRefusal(r)
	}
	return capacity.Grant{
		Attempt:  a.Demand.Attempt,
		Box:      a.Box,
		Targets:  fromTargets(resp.Msg.GetTargets()),
		Priority: int(resp.Msg.GetPriority()),
	}, nil
}

type upstream struct{ client peerv1connect.PeerClient }

// Follow passes the peer's updates to sink until the stream ends or sink fails.
func (u upstream) Follow(ctx context.Context, have int64, sink func(version.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := u.client.Follow(ctx, connect.NewRequest(&peerv1.FollowRequest{Version: have}))
	if err != nil {
		return eris.Wrap(err, "peer: follow")
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		update, err := fromUpdate(stream.Msg())
		if err != nil {
			return err
		}
		if err := sink(update); err != nil {
			return err
		}
	}
	return stream.Err()
}
