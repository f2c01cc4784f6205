package fleet

import (
	"net"
	"strings"
	"time"
)

// View is an immutable index of a configuration for request routing.
type View struct {
	configuration Configuration
	hosts         map[string]map[string]*Route
	accounts      map[string]*Account
	services      map[string]*Service
	maxPauses     map[string]time.Duration // maxPauses holds the shortest MaxPause of the streams by service.
}

// NewView indexes the configuration, which must not be changed afterwards.
func NewView(c Configuration) *View {
	v := &View{
		configuration: c,
		hosts:         make(map[string]map[string]*Route),
		accounts:      make(map[string]*Account),
		services:      make(map[string]*Service),
		maxPauses:     make(map[string]time.Duration),
	}
	for i := range c.Routes {
		v.addRoute(&c.Routes[i])
	}
	for i := range c.Services {
		v.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			v.accounts[key] = &c.Accounts[i]
		}
	}
	return v
}

func (v *View) addRoute(r *Route) {
	host := strings.ToLower(r.Host)
	if v.hosts[host] == nil {
		v.hosts[host] = make(map[string]*Route)
	}
	v.hosts[host][r.Prefix] = r
	if r.Kind != KindStream || r.MaxPause == 0 {
		return
	}
	for _, share := range r.Split {
		if p, ok := v.maxPauses[share.Service]; !ok || r.MaxPause < p {
			v.maxPauses[share.Service] = r.MaxPause
		}
	}
}

// Version returns the version of the configuration.
func (v *View) Version() int64 { return v.configuration.Version }

// Limits returns the bounds on what callers may send.
func (v *View) Limits() Limits { return v.configuration.Limits }

// Services returns all services.
func (v *View) Services() []Service { return v.configuration.Services }

// Service returns the service with the name, nil if there is none.
func (v *View) Service(name string) *Service { return v.services[name] }

// RequiresKeys reports whether requests on routes that are not public need a key.
func (v *View) RequiresKeys() bool { return v.configuration.Accounts != nil }

// Account returns the account that holds the key, nil if there is none.
func (v *View) Account(key string) *Account { return v.accounts[key] }

// Route returns the route of a request: among the host's routes, the one with the longest matching
// prefix of the path. It returns nil if there is none.
func (v *View) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes := v.hosts[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r, ok := routes[path[:end]]; ok {
			return r
		}
	}
	return nil
}

// Pick returns the service for a request by the route's weights. draw is any uniformly distributed
// number.
func (r Route) Pick(draw uint64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	at := int(draw % uint64(total))
	for _, s := range r.Split {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return ""
}

// MaxPause returns the shortest MaxPause of the routes that stream from the service, zero if there
// are none.
func (v *View) MaxPause(service string) time.Duration { return v.maxPauses[service] }
