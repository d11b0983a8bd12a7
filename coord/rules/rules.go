// Package rules holds the configuration by which requests are routed to upstreams that
// entries speak to themselves: routes by host and path, services, workspaces and keys.
//
// Rules are immutable; New checks and indexes them.
package rules

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/fault"
	"github.com/rotisserie/eris"
)

// maxWeight bounds a weight, so that sums of weights don't overflow.
const maxWeight = 1 << 20

// RouteKind says how often a request may run and what its answer is.
type RouteKind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "safe"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "unsafe"
	// Streaming requests are answered by a stream of events and run at most once, unless
	// the route is resumable.
	Streaming RouteKind = "streaming"
)

// Backend is a service's part of the requests of a route.
type Backend struct {
	Service string
	Weight  int
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout bounds a request from its arrival to its end.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or a stream's first event, is in time.
	TargetLatency time.Duration `json:"Target"`
	// TargetGap is the longest time between two events of a stream that is in time.
	TargetGap time.Duration `json:"Pause"`
	// Priority is the rank of the route's requests; 0 is first.
	Priority    int
	Backends      []Backend `json:"Shares"`
	MaxAttempts int
	// Public routes need no key.
	Public      bool `json:"Open"`
	Resumable bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of runs in one batch.
	Slots int
	// KVTokens is the KV cache of one engine, in tokens.
	KVTokens int64 `json:"Memory"`
	// HoldTime is how long an engine keeps a prompt's KV cache that nobody takes.
	HoldTime time.Duration
	// SwitchTime is how long an engine is away when it changes its stage.
	SwitchTime time.Duration
}

// Service is a set of upstreams that run the same program.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with its keys and limit.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces that of the route where it is not nil.
	Priority *int
	// Rate is in tokens a second and Burst in tokens, over all entries; a rate of 0 is no limit.
	Rate  int64
	Burst int64
	// CountsRequests counts requests in place of tokens.
	CountsRequests bool `json:"ByRequest"`
	// DefaultTokens is what a request costs that names no number of tokens.
	DefaultTokens int64 `json:"PlainTokens"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a whole configuration as an operator publishes it.
type Config struct {
	// Version grows with each configuration.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Rules are a checked and indexed configuration.
type Rules struct {
	config   Config
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Workspace
}

// New returns the rules of a configuration, or an error that names what is wrong.
func New(c Config) (r *Rules, err error) {
	defer fault.Annotate(&err, "configuration %d", c.Version)
	r = &Rules{
		config:   c,
		byHost:   map[string][]*Route{},
		services: map[string]*Service{},
		byKey:    map[string]*Workspace{},
	}
	for i := range c.Services {
		r.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := r.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, l := range r.byHost {
		slices.SortStableFunc(l, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			r.byKey[k] = w
		}
	}
	return r, nil
}

func (r *Rules) addRoute(t *Route) error {
	if !strings.HasPrefix(t.Prefix, "/") || !strings.HasSuffix(t.Prefix, "/") {
		return eris.Errorf("route %s: prefix is %q; a path between slashes would be right", t.Name, t.Prefix)
	}
	for _, s := range t.Backends {
		if r.services[s.Service] == nil {
			return eris.Errorf("route %s: service %q is not configured", t.Name, s.Service)
		}
		if s.Weight < 0 || s.Weight > maxWeight {
			return eris.Errorf("route %s: weight %d; one from 0 to %d would be right", t.Name, s.Weight, maxWeight)
		}
	}
	h := strings.ToLower(t.Host)
	r.byHost[h] = append(r.byHost[h], t)
	return nil
}

// Config returns the configuration that the rules were made of.
func (r *Rules) Config() Config { return r.config }

// Version returns the version of the configuration.
func (r *Rules) Version() uint64 { return r.config.Version }

// Limits returns the bounds on what callers may send.
func (r *Rules) Limits() Limits { return r.config.Limits }

// Services returns all services.
func (r *Rules) Services() []Service { return r.config.Services }

// RequiresKeys reports whether the configuration has workspaces, so that requests need keys.
func (r *Rules) RequiresKeys() bool { return len(r.config.Workspaces) > 0 }

// Service returns the service of a name, or nil.
func (r *Rules) Service(name string) *Service { return r.services[name] }

// Workspace returns the workspace that holds a key, or nil.
func (r *Rules) Workspace(key string) *Workspace { return r.byKey[key] }

// Route returns the route of a host with the longest prefix of path, or nil.
func (r *Rules) Route(host, path string) *Route {
	for _, t := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, t.Prefix) {
			return t
		}
	}
	return nil
}

// Pick returns a service of the route in proportion to the weights; n is a random
// number that is not negative.
func (t *Route) Pick(n int) string {
	total := 0
	for _, s := range t.Backends {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	n %= total
	for _, s := range t.Backends {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}

// AtMostOnce reports whether the route's requests run at most once.
func (t *Route) AtMostOnce() bool { return t.Kind == NonIdempotent || t.Kind == Streaming && !t.Resumable }
