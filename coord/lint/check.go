package lint

import (
	"fmt"
	"slices"
	"strings"

	"cranberrypoint.example/coord/rules"
)

// checker collects the findings of a configuration.
type checker struct {
	config   rules.Config
	findings []Finding
}

func (k *checker) add(s Severity, item, format string, args ...any) {
	k.findings = append(k.findings, Finding{s, item, fmt.Sprintf(format, args...)})
}

// checkConfig checks what the processes check, and that no name stands twice.
func (k *checker) checkConfig() {
	if _, err := rules.New(k.config); err != nil {
		k.add(Error, configItem, "the processes would refuse it: %v", err)
	}
	seen := map[string]bool{}
	for _, n := range k.names() {
		if seen[n] {
			k.add(Error, n, "the name stands twice")
		}
		seen[n] = true
	}
}

// names returns the names of all items.
func (k *checker) names() (l []string) {
	for _, s := range k.config.Services {
		l = append(l, serviceKind+s.Name)
	}
	for _, r := range k.config.Routes {
		l = append(l, routeKind+r.Name)
	}
	for _, w := range k.config.Workspaces {
		l = append(l, workspaceKind+w.Name)
	}
	return l
}

// service returns a service, or nil.
func (k *checker) service(name string) *rules.Service {
	i := slices.IndexFunc(k.config.Services, func(s rules.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &k.config.Services[i]
}

func (k *checker) checkServices() {
	for _, s := range k.config.Services {
		item := serviceKind + s.Name
		if !slices.ContainsFunc(k.config.Routes, func(r rules.Route) bool { return leadsTo(r, s.Name) }) {
			k.add(Warning, item, "no route leads to it")
		}
		if s.MaxConnections < 0 {
			k.add(Error, item, "max-connections is negative")
		}
		if s.Engine != nil {
			k.checkEngine(item, s)
		}
	}
}

// checkEngine checks the model engines of a service.
func (k *checker) checkEngine(item string, s rules.Service) {
	e := s.Engine
	if e.Slots <= 0 || e.KVTokens <= 0 {
		k.add(Error, item, "an engine without slots or memory-tokens runs nothing")
	}
	if e.HoldTime <= 0 {
		k.add(Warning, item, "without a hold-time no KV cache lasts until it is fetched")
	}
	if s.MaxConnections > 0 && s.MaxConnections < e.Slots {
		k.add(Warning, item, "max-connections %d is below the %d slots, which can't all be used", s.MaxConnections, e.Slots)
	}
}

// leadsTo reports whether a route sends requests to a service.
func leadsTo(r rules.Route, service string) bool {
	return slices.ContainsFunc(r.Destinations, func(d rules.Destination) bool { return d.Service == service && d.Weight > 0 })
}

func (k *checker) checkRoutes() {
	// first holds the route that gets the requests of a host and prefix.
	first := map[string]string{}
	for _, r := range k.config.Routes {
		item := routeKind + r.Name
		p := strings.ToLower(r.Host) + r.Prefix
		if o, ok := first[p]; ok {
			k.add(Error, item, "it can never match: route %s before it has the same host and prefix", o)
		} else {
			first[p] = r.Name
		}
		if !slices.ContainsFunc(r.Destinations, func(d rules.Destination) bool { return d.Weight > 0 }) {
			k.add(Error, item, "no service of it has a weight, so all its requests are refused")
		}
		if !slices.Contains([]rules.RouteKind{rules.Idempotent, rules.NonIdempotent, rules.Streaming}, r.Kind) {
			k.add(Error, item, "its kind %q is unknown", r.Kind)
		}
		k.checkTimes(item, r)
		k.checkAttempts(item, r)
		k.checkDestinations(item, r)
	}
}

// checkTimes checks the timeout of a route against its targets.
func (k *checker) checkTimes(item string, r rules.Route) {
	if r.Timeout <= 0 {
		k.add(Warning, item, "it has no timeout; the entries' default applies")
		return
	}
	if r.Timeout < r.TargetLatency {
		k.add(Error, item, "its timeout %s is below its target-latency %s", r.Timeout, r.TargetLatency)
	}
	if r.Timeout < r.TargetGap {
		k.add(Error, item, "its timeout %s is below its target-gap %s", r.Timeout, r.TargetGap)
	}
}

// checkAttempts checks what a route says of repeated requests.
func (k *checker) checkAttempts(item string, r rules.Route) {
	if r.MaxAttempts > 1 && r.AtMostOnce() {
		k.add(Warning, item, "max-attempts %d has no effect, since its requests run at most once", r.MaxAttempts)
	}
	if r.Resumable && r.Kind != rules.Streaming {
		k.add(Warning, item, "only streams are resumable")
	}
}

// checkDestinations checks that a route fits its services.
func (k *checker) checkDestinations(item string, r rules.Route) {
	for _, d := range r.Destinations {
		s := k.service(d.Service)
		if s == nil || s.Engine == nil || d.Weight <= 0 {
			continue
		}
		if r.Kind != rules.Streaming {
			k.add(Warning, item, "service %s has model engines, which serve streams", s.Name)
		}
		if r.Timeout > 0 && s.Engine.HoldTime > r.Timeout {
			k.add(Warning, item, "engines of service %s hold KV caches for %s, longer than its requests last (%s)", s.Name, s.Engine.HoldTime, r.Timeout)
		}
	}
}

func (k *checker) checkWorkspaces() {
	if len(k.config.Workspaces) == 0 {
		k.add(Warning, configItem, "without workspaces no request needs a key")
	}
	owner := map[string]string{}
	for _, w := range k.config.Workspaces {
		item := workspaceKind + w.Name
		if len(w.Keys) == 0 {
			k.add(Warning, item, "it has no keys, so nobody can use it")
		}
		for i, key := range w.Keys {
			// Keys are secret, so that their numbers stand for them.
			if o, ok := owner[key]; ok {
				k.add(Error, item, "its key %d is held by workspace %s too", i+1, o)
			}
			if key == "" {
				k.add(Error, item, "its key %d is empty", i+1)
			}
			owner[key] = w.Name
		}
		k.checkRate(item, w)
	}
}

// checkRate checks the rate limit of a workspace.
func (k *checker) checkRate(item string, w rules.Workspace) {
	switch {
	case w.Rate < 0 || w.Burst < 0 || w.DefaultTokens < 0:
		k.add(Error, item, "its rate, burst or default-tokens are negative")
	case w.Rate == 0 && w.Burst > 0:
		k.add(Warning, item, "its burst has no effect without a rate")
	case w.Rate > 0 && w.Burst < 1:
		k.add(Error, item, "its rate lets nothing through without a burst")
	case w.Rate > 0 && !w.CountsRequests && w.Burst < w.DefaultTokens:
		k.add(Error, item, "its burst %d is below the %d tokens of one request, which is never let through", w.Burst, w.DefaultTokens)
	}
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		k.add(Error, configItem, "a limit is negative")
	}
}
