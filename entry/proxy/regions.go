package proxy

import (
	"cmp"
	"slices"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/region"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/upconn"
)

// SetRegions replaces the region of each data centre. Upstreams in data centres that it doesn't name are in no
// region that a configuration allows. The map must not be changed after the call.
func (p *Proxy) SetRegions(m map[string]string) { p.regions.Store(&m) }

// updateBounds takes the regions in which a request may run from a configuration in which t is its route. A
// workspace binds by its key alone, however old the configuration is.
func (p *Proxy) updateBounds(x *exchange, v *snapshot, t *rules.Route) {
	if m := p.regions.Load(); m != nil {
		x.regions = *m
	}
	x.bounds = region.New(t.AllowedRegions)
	if x.call.Key == "" {
		return
	}
	if w := cmp.Or(v.rules.Workspace(x.call.Key), x.workspace); w != nil {
		x.bounds = region.New(t.AllowedRegions, w.AllowedRegions)
	}
}

// refreshBounds takes the regions in which a request that waits may run from the configuration in force. If
// its route is gone they remain: the check before the send refuses it.
func (p *Proxy) refreshBounds(x *exchange) {
	v := p.snapshot.Load()
	if t := v.rules.Route(hostWithoutPort(x.r.Host), x.path); t != nil {
		p.updateBounds(x, v, t)
	}
}

// isInBounds reports whether an upstream is in a region in which the request may run.
func (x *exchange) isInBounds(u roster.Upstream) bool {
	return x.bounds.Allows(x.regions[u.DataCentre])
}

// checkRegions refuses a request that no upstream of its service may run, although there are some. Nobody
// knows when there will be one in its regions, so the caller isn't told when to come back.
func (p *Proxy) checkRegions(x *exchange) *fault.Error {
	l := p.snapshot.Load().services[x.service.Name]
	if !x.bounds.Restricts() || slices.ContainsFunc(l, x.isInBounds) {
		return nil
	}
	allowed := x.bounds.Allowed()
	if len(l) == 0 && len(allowed) > 0 {
		return nil
	}
	p.metrics.outOfRegion.Inc()
	if len(allowed) == 0 {
		return fault.NotRun(fault.OutOfRegion, "no region is allowed for the request")
	}
	return fault.NotRun(fault.OutOfRegion, "service %s has no upstream in the allowed regions: %s", x.service.Name, x.bounds)
}

// dropForeignKVCache frees the prompt's KV cache if it is in a region in which the request may no longer
// run. The decode engine then prefills the prompt itself.
func (p *Proxy) dropForeignKVCache(x *exchange) {
	if x.kvCache.source == "" {
		return
	}
	p.refreshBounds(x)
	if !x.isInBounds(x.kvCache.holder) {
		x.kvCache.discard()
		x.kvCache = kvCache{}
	}
}

// checkSource reports why a request may not be sent with the KV cache that its engine is to fetch: the
// configuration has changed since the cache was last looked at.
func (x *exchange) checkSource(params calls.UpstreamParams) error {
	if params.KVSource == "" || x.isInBounds(x.kvCache.holder) {
		return nil
	}
	return &upconn.Error{Err: errUpstreamLeaving}
}
