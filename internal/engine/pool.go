package engine

import (
	"net/http"
	"sync"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Pool holds the clients of the configured targets. Its exported field is set before use; it is
// safe for concurrent use.
type Pool struct {
	Configuration config.Source

	once  sync.Once
	http  *http.Client
	mu    mutex.Mutex
	byURL map[clientKey]*Client
}

type clientKey struct {
	url   string
	fresh bool
}

// idlePerTarget is the maximum number of idle connections to each target.
const idlePerTarget = 64

// Engine returns the client of the target in the current configuration; it returns false if the
// target is not configured. If fresh is true, the client opens a new connection for each attempt.
func (p *Pool) Engine(id barleystep.TargetID, fresh bool) (barleystep.Engine, bool) {
	v, _ := p.Configuration.View()
	if v == nil {
		return nil, false
	}
	t, ok := v.Target(string(id))
	if !ok {
		return nil, false
	}
	return p.client(clientKey{t.URL, fresh}), true
}

func (p *Pool) client(k clientKey) *Client {
	p.once.Do(func() {
		p.http = NewHTTP(idlePerTarget)
		p.byURL = make(map[clientKey]*Client)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.byURL[k]
	if !ok {
		c = &Client{URL: k.url, HTTP: p.http, NewConnPerAttempt: k.fresh}
		p.byURL[k] = c
	}
	return c
}
