package proxy

import (
	"slices"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"github.com/sirupsen/logrus"
)

// configAgeMargin is subtracted from the age up to which a configuration may authenticate keys,
// since the configuration gets older between the check and the arrival of the request at the
// upstream.
const configAgeMargin = 400 * time.Millisecond

// snapshot is the configuration and the upstreams that were in the store at one time, as read by
// this entry or received from another one. It is immutable.
type snapshot struct {
	rules *rules.Rules
	// services holds the upstreams of each service that may get new work.
	services map[string][]roster.Upstream
	// readAt is when this or another entry began to read the data from the store. The rules were
	// in force at that time.
	readAt clock.Instant
	// revision is the revision of the store's contents. It also grows if only the upstreams
	// change, unlike the version of the configuration, rules.Version.
	revision uint64
	// hash identifies the list of upstreams.
	hash uint64
	// config is the configuration in JSON, as sent to other entries.
	config []byte
}

// isFresh reports whether the snapshot is recent enough to authenticate keys. A maxAge of 0 means
// no limit.
func (s *snapshot) isFresh(maxAge time.Duration) bool {
	return maxAge <= 0 || s.age() < maxAge-configAgeMargin
}

// isUsable reports whether an upstream may still get new work.
func (s *snapshot) isUsable(u roster.Upstream) bool {
	return slices.ContainsFunc(s.services[u.Service], func(x roster.Upstream) bool { return x.Instance == u.Instance })
}

func (s *snapshot) age() time.Duration { return clock.Now().Sub(s.readAt) }

// adopt puts a listing into force that was requested at the given instant. Listings older than
// the current snapshot are ignored.
func (p *Proxy) adopt(l calls.Listing, readAt clock.Instant) error {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.snapshot.Load()
	r := l.Rules
	if old != nil {
		switch {
		case l.Revision < old.revision || readAt < old.readAt:
			return nil
		case r == nil || r.Version() < old.rules.Version():
			p.log.WithFields(logrus.Fields{"event": "older-rules", "in-force": old.rules.Version()}).Warn("listing has an older configuration; keeping the current one")
			r = old.rules
		}
	}
	for _, c := range p.roster.Update(now, l.Upstreams) {
		p.handleRosterChange(c)
	}
	if r == nil {
		return nil
	}
	if old == nil || old.rules.Version() != r.Version() {
		p.log.WithFields(logrus.Fields{
			"event": "adopted", "version": r.Version(), "revision": l.Revision, "age-ms": clock.Now().Sub(readAt).Milliseconds(),
		}).Info("configuration adopted")
	}
	p.upstreams.Set(l.Upstreams)
	n := &snapshot{rules: r, services: map[string][]roster.Upstream{}, readAt: readAt, revision: l.Revision, hash: p.upstreams.Hash()}
	for _, u := range p.roster.Usable() {
		n.services[u.Service] = append(n.services[u.Service], u)
	}
	if err := n.encodeConfig(old); err != nil {
		return err
	}
	p.snapshot.Store(n)
	return nil
}

// handleRosterChange logs a change of the roster and forgets upstreams that are gone. p.mu must
// be held.
func (p *Proxy) handleRosterChange(c roster.Change) {
	switch {
	case c.After == nil:
		p.logUpstream("upstream-gone", c.Before)
		p.picker.Forget(c.Before.Instance)
		p.conns.CloseIdle(c.Before.Address)
	case c.Before == nil:
		p.logUpstream("upstream-new", c.After)
	case c.Before.Leaving != c.After.Leaving:
		p.logUpstream("upstream-leaving", c.After)
	}
}

func (p *Proxy) logUpstream(event string, u *roster.Upstream) {
	p.log.WithFields(logrus.Fields{
		"event": event, "instance": u.Instance, "service": u.Service, "address": u.Address, "stage": u.Stage.String(),
	}).Info("upstream changed")
}
