// Package rules holds the routing configuration of entries, the processes that accept
// callers' requests and forward them to upstreams: routes by host and path, services,
// workspaces and their keys.
//
// Rules are immutable; New validates and indexes them. Entries send each other a Config
// as JSON under its Go field names; a json tag keeps the name of a field that was renamed.
// Operators write one as YAML; see package lint.
package rules

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/fault"
	"github.com/rotisserie/eris"
)

// maxWeight is the largest weight of a destination; it keeps sums of weights from overflowing.
const maxWeight = 1 << 20

// RouteKind says how often a request may run and whether its response is a stream.
type RouteKind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "safe"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "unsafe"
	// Streaming requests get a stream of events as the response and run at most once,
	// unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Destination is a service that a route sends requests to, in proportion to its weight.
type Destination struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"`
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name string `yaml:"name"`
	Host string `yaml:"host"`
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string    `yaml:"prefix"`
	Kind   RouteKind `yaml:"kind"`
	// Timeout is the longest time from the arrival of a request to the end of its response.
	Timeout time.Duration `yaml:"timeout"`
	// TargetLatency is the target for the time from the arrival of a request to the start of
	// its response or, for a stream, to the first event.
	TargetLatency time.Duration `json:"Target" yaml:"target-latency"`
	// TargetGap is the target for the time between two events of a stream.
	TargetGap time.Duration `json:"Pause" yaml:"target-gap"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority     int           `yaml:"priority"`
	Destinations []Destination `json:"Shares" yaml:"destinations"`
	MaxAttempts  int           `yaml:"max-attempts"`
	// Public is true if requests need no key.
	Public bool `json:"Open" yaml:"public"`
	// Resumable is true if a streaming request may run more than once.
	Resumable bool `yaml:"resumable"`
	// AllowedRegions are the regions in which the route's requests may run; empty for any.
	AllowedRegions []string `json:",omitempty" yaml:"allowed-regions"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine processes at once, in one batch.
	Slots int `yaml:"slots"`
	// KVTokens is the size of one engine's KV cache, in tokens.
	KVTokens int64 `json:"Memory" yaml:"memory-tokens"`
	// HoldTime is how long an engine that serves prefill keeps the KV cache of a prompt if no
	// engine that serves decode fetches it.
	HoldTime time.Duration `yaml:"hold-time"`
	// SwitchTime is how long an engine is unavailable while it changes between the stages
	// prefill and decode.
	SwitchTime time.Duration `yaml:"switch-time"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string `yaml:"name"`
	HealthPath string `yaml:"health-path"`
	// MaxConnections is the number of connections that each upstream of the service accepts
	// from all entries together; 0 means no limit.
	MaxConnections int `yaml:"max-connections"`
	// Engine is nil if the upstreams are not model engines.
	Engine *Engine `yaml:"engine"`
	// ColdTime is how long an upstream of the service is cold after its start. ColdRate is the number of
	// requests a second that it takes from all processes together meanwhile; 0 means no such limit.
	ColdTime time.Duration `json:",omitzero" yaml:"cold-time"`
	ColdRate float64       `json:",omitzero" yaml:"cold-rate"`
}

// Workspace is a customer with its keys and rate limit.
type Workspace struct {
	Name string   `yaml:"name"`
	Keys []string `yaml:"keys"`
	// Priority overrides the priority of the route if it is not nil.
	Priority *int `yaml:"priority"`
	// Rate, in tokens per second, and Burst, in tokens, limit the requests to all entries
	// together. CountsRequests replaces tokens by requests. A rate of 0 means no limit.
	Rate  int64 `yaml:"rate"`
	Burst int64 `yaml:"burst"`
	// CountsRequests is true if Rate and Burst count requests instead of tokens.
	CountsRequests bool `json:"ByRequest" yaml:"counts-requests"`
	// DefaultTokens is the number of tokens charged for a request that doesn't state its own
	// number. It is not used if CountsRequests is true.
	DefaultTokens int64 `json:"PlainTokens" yaml:"default-tokens"`
	// AllowedRegions are the regions in which the workspace's requests may run, besides those of
	// the route; empty for any.
	AllowedRegions []string `json:",omitempty" yaml:"allowed-regions"`
}

// Limits bound the size of callers' requests, the time to receive their headers, and the
// time that a connection stays idle.
type Limits struct {
	MaxHeaderBytes int   `yaml:"max-header-bytes"`
	MaxBodyBytes   int64 `yaml:"max-body-bytes"`
	// HeaderTimeout is the time in which a caller must send the head of a request.
	HeaderTimeout time.Duration `yaml:"header-timeout"`
	// IdleTimeout is how long an idle connection of a caller is kept.
	IdleTimeout time.Duration `yaml:"idle-timeout"`
}

// Config is a complete configuration as published by an operator.
type Config struct {
	// Version increases with each published configuration.
	Version    uint64      `yaml:"version"`
	Routes     []Route     `yaml:"routes"`
	Services   []Service   `yaml:"services"`
	Workspaces []Workspace `yaml:"workspaces"`
	Limits     Limits      `yaml:"limits"`
}

// Rules are a validated and indexed configuration.
type Rules struct {
	config Config
	// byHost lists the routes of each host, those with the longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Workspace
}

// New returns the rules of a configuration. Its errors name the version of the configuration
// and the invalid route.
func New(c Config) (r *Rules, err error) {
	defer fault.Annotate(&err, "configuration version %d", c.Version)
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
		return eris.Errorf("route %s: prefix %q does not begin and end with a slash", t.Name, t.Prefix)
	}
	for _, d := range t.Destinations {
		if r.services[d.Service] == nil {
			return eris.Errorf("route %s: service %q is not configured", t.Name, d.Service)
		}
		if d.Weight < 0 || d.Weight > maxWeight {
			return eris.Errorf("route %s: weight %d is not between 0 and %d", t.Name, d.Weight, maxWeight)
		}
	}
	h := strings.ToLower(t.Host)
	r.byHost[h] = append(r.byHost[h], t)
	return nil
}

// Config returns the configuration that the rules were made from.
func (r *Rules) Config() Config { return r.config }

// Version returns the version of the configuration.
func (r *Rules) Version() uint64 { return r.config.Version }

// Limits returns the limits on callers' requests.
func (r *Rules) Limits() Limits { return r.config.Limits }

// Services returns all services.
func (r *Rules) Services() []Service { return r.config.Services }

// RequiresKeys reports whether requests need a key unless their route is public, which is so
// once the configuration has workspaces.
func (r *Rules) RequiresKeys() bool { return len(r.config.Workspaces) > 0 }

// Service returns the service with the given name, or nil.
func (r *Rules) Service(name string) *Service { return r.services[name] }

// Workspace returns the workspace that a key belongs to, or nil.
func (r *Rules) Workspace(key string) *Workspace { return r.byKey[key] }

// Route returns the route of a host with the longest matching prefix of path, or nil.
func (r *Rules) Route(host, path string) *Route {
	for _, t := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, t.Prefix) {
			return t
		}
	}
	return nil
}

// Pick returns the name of the service that n selects; n must not be negative. If n is random,
// each destination is selected in proportion to its weight. Pick returns "" if no destination
// has a weight.
func (t *Route) Pick(n int) string {
	total := 0
	for _, d := range t.Destinations {
		total += d.Weight
	}
	if total == 0 {
		return ""
	}
	n %= total
	for _, d := range t.Destinations {
		if n -= d.Weight; n < 0 {
			return d.Service
		}
	}
	return ""
}

// Serves reports whether the route leads to a service. A destination without a weight gets nothing.
func (t *Route) Serves(service string) bool {
	return slices.ContainsFunc(t.Destinations, func(d Destination) bool { return d.Service == service && d.Weight > 0 })
}

// AtMostOnce reports whether the route's requests must not run more than once.
func (t *Route) AtMostOnce() bool {
	return t.Kind == NonIdempotent || t.Kind == Streaming && !t.Resumable
}
