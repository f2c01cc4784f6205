package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// checker collects problems in settings.
type checker struct{ problems []string }

// reject adds a problem.
func (c *checker) reject(key string, value any, allowed string) {
	c.problems = append(c.problems, fmt.Sprintf("%s = %v: must be %s", key, value, allowed))
}

// check returns the problems in the settings.
func (s Settings) check() []string {
	c := &checker{}
	c.name("box.id", s.Box.ID)
	c.name("box.hall", s.Box.Hall)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.ready", s.Listen.Ready)
	for _, seed := range s.Peers.Seeds {
		c.address("peers.seeds", seed)
	}
	c.positive("keys.freshness", s.Keys.Freshness)
	c.positive("retries.window", s.Retries.Window)
	c.fraction("retries.ratio", s.Retries.Ratio)
	if s.Retries.Extra < 0 {
		c.reject("retries.extra", s.Retries.Extra, "a number of requests, 0 or above")
	}
	c.url("platform.url", s.Platform.URL)
	c.positive("platform.timeout", s.Platform.Timeout)
	c.positive("platform.within", s.Platform.MaxDelay)
	c.positive("platform.leave_within", s.Platform.MaxLeaveDelay)
	c.nonNegative("box.cores", s.Box.Cores)
	c.nonNegative("box.link_mbit", s.Box.LinkMbit)
	c.limits(s.Limits)
	c.peers(s)
	c.fraction("capacity.long_part", s.Capacity.LongShare)
	c.fraction("capacity.short_memory", s.Capacity.ShortMemoryShare)
	c.positive("capacity.interval", s.Capacity.Interval)
	c.positive("capacity.window", s.Capacity.Window)
	c.operators(s.Admin.Operators)
	levels := []string{"", "debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.Log.Level) {
		c.reject("log.level", s.Log.Level, "debug, info, warn or error")
	}
	return c.problems
}

func (c *checker) name(key, value string) {
	if value == "" {
		c.reject(key, `""`, "a name")
	}
}

func (c *checker) nonNegative(key string, value float64) {
	if value < 0 {
		c.reject(key, value, "a number, 0 or above")
	}
}

func (c *checker) address(key, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.reject(key, value, "an IP number and port, such as 127.0.0.1:8080")
	}
}

func (c *checker) url(key, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
		c.reject(key, value, "http://host:port")
	}
}

// positive rejects a negative duration; zero means unset.
func (c *checker) positive(key string, d Duration) {
	if d < 0 {
		c.reject(key, time.Duration(d), "a duration above 0, such as 2s")
	}
}

// fraction rejects a number outside of 0 to 1.
func (c *checker) fraction(key string, v float64) {
	if v < 0 || v > 1 {
		c.reject(key, v, "from 0 to 1")
	}
}

func (c *checker) limits(l Limits) {
	if l.MaxBody < 0 {
		c.reject("limits.body", l.MaxBody, "a number of bytes above 0")
	}
	if l.MemoryMB < 0 {
		c.reject("limits.memory_mb", l.MemoryMB, "a number of megabytes above 0")
	}
	if l.Descriptors < 0 {
		c.reject("limits.descriptors", l.Descriptors, "a number above 0")
	}
	c.positive("limits.min_time", l.MinTime)
	c.positive("limits.max_time", l.MaxTime)
	c.positive("limits.stall", l.StallTimeout)
	c.positive("limits.rest", l.MaxRest)
	c.positive("limits.grace", l.Grace)
	c.positive("limits.notice", l.Notice)
	if l.MaxTime != 0 && l.MinTime > l.MaxTime {
		c.reject("limits.min_time", time.Duration(l.MinTime), "at most limits.max_time")
	}
}

// peers rejects a peer listener that is reachable from outside the box and does not
// authenticate its peers.
func (c *checker) peers(s Settings) {
	p := s.Peers
	if (p.Certificate == "") != (p.Key == "") || (p.Certificate == "") != (p.Authority == "") {
		c.reject("peers.certificate", p.Certificate, "set together with peers.key and peers.authority")
	}
	host, _, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		return
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || ip.IsLoopback() || p.Trusted || p.Secret != "" || p.Certificate != "" {
		return
	}
	c.reject("peers.secret", `""`, "set, or peers.certificate or peers.trusted, when listen.peers is not on loopback")
}

func (c *checker) operators(list []Operator) {
	const digits = 64
	for _, o := range list {
		if len(o.SHA256) != digits {
			c.reject("admin.operator.sha256", o.SHA256, "64 hexadecimal digits")
		}
		if !slices.Contains([]string{"viewer", "team", "admin"}, o.Role) {
			c.reject("admin.operator.role", o.Role, "viewer, team or admin")
		}
	}
}
