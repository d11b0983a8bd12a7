package proxy

import (
	"slices"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/origin"
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
	// position is that of the store's contents. It also grows if only the upstreams change,
	// unlike the version of the configuration, rules.Version.
	position calls.Position
	// rulesEpoch is the epoch of the store in which the rules were read.
	rulesEpoch uint64
	// evacuationsReadAt is readAt for the evacuations: earlier if the last listing came from an
	// entry of an earlier release, and zero if none was ever read.
	evacuationsReadAt clock.Instant
	// evacuated holds the services that have upstreams, but all in evacuated data centres.
	evacuated map[string]bool
	// hash identifies the list of upstreams.
	hash uint64
	// config is the configuration as sent to other entries, and configHash identifies its content.
	config     *encodedConfig
	configHash uint64
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

// knowsEvacuations reports whether the evacuations were ever read.
func (s *snapshot) knowsEvacuations() bool { return s.evacuationsReadAt != 0 }

// ageOfAll returns the age of what is oldest in the snapshot.
func (s *snapshot) ageOfAll() time.Duration {
	return clock.Now().Sub(min(s.readAt, s.evacuationsReadAt))
}

// chooseRules returns the rules that are in force once a listing is known, and whether the listing
// is newer than the snapshot, so that its upstreams count.
//
// It answers a store that is restored from an older copy. The store then shows an older
// configuration and gives out its revisions again, while other entries may still hold what it
// lost. The order of listings is therefore that of their positions, and the order of
// configurations that of their versions, which the operator only raises: a key that was revoked
// stays revoked until the operator's newest configuration is written again.
func chooseRules(old *snapshot, l calls.Listing, readAt clock.Instant) (r *rules.Rules, isNewer bool) {
	if old == nil {
		return l.Rules, true
	}
	p := l.Position()
	isNewer = old.position.Before(p) || p == old.position && readAt >= old.readAt
	// Within an epoch an older listing can't have a newer configuration, unless that one is left
	// from before the restore.
	hasOutlived := l.Epoch != old.position.Epoch || l.RulesEpoch < l.Epoch
	switch {
	case l.Rules == nil || l.Rules.Version() < old.rules.Version():
		return old.rules, isNewer
	case !isNewer && (!hasOutlived || l.Rules.Version() == old.rules.Version()):
		return old.rules, false
	}
	return l.Rules, isNewer
}

// adopt puts a listing into force that was requested at the given instant. Of a listing older than
// the current snapshot, only a newer configuration counts.
func (p *Proxy) adopt(l calls.Listing, readAt clock.Instant) error {
	return p.adoptAt(present(), l, readAt)
}

// moment is a time on the clock of deadlines and on the one that counts suspensions.
type moment struct {
	time    time.Time
	instant clock.Instant
}

func present() moment { return moment{time.Now(), clock.Now()} }

// before returns the time on the clock of deadlines at an earlier instant.
func (m moment) before(i clock.Instant) time.Time { return m.time.Add(-m.instant.Sub(i)) }

// adoptAt is adopt at a given moment.
func (p *Proxy) adoptAt(now moment, l calls.Listing, readAt clock.Instant) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.snapshot.Load()
	r, isNewer := chooseRules(old, l, readAt)
	if !isNewer && r == old.rules {
		return nil
	}
	n := &snapshot{rules: r, readAt: readAt, position: l.Position(), rulesEpoch: l.RulesEpoch}
	if old != nil && l.Epoch == old.position.Epoch {
		// A listing of a later position holds at least what the store held when the older one was read, whatever the
		// age says that came with it.
		n.readAt = max(readAt, old.readAt)
	}
	if old != nil && r == old.rules {
		n.rulesEpoch = old.rulesEpoch
	}
	if old != nil {
		n.evacuationsReadAt = old.evacuationsReadAt
	}
	if isNewer {
		p.logListing(old, l, r)
		for _, c := range p.roster.Update(now.time, roster.List{Epoch: l.Epoch, ReadAt: now.before(readAt), Upstreams: l.Upstreams}) {
			p.handleRosterChange(c)
		}
		p.learnCold(now, r, l, now.before(readAt), old == nil)
		p.upstreams.Set(p.roster.Listed())
		p.seeVersions(now.before(readAt))
		p.versions.Observe(now.before(readAt))
		if !l.LacksEvacuated {
			p.updateEvacuations(now, l, readAt)
			n.evacuationsReadAt = readAt
		}
	} else {
		n.readAt, n.position = old.readAt, old.position
	}
	if r == nil {
		return nil
	}
	if old == nil || old.rules.Version() != r.Version() {
		p.log.WithFields(logrus.Fields{
			"event": "adopted", "version": r.Version(), "epoch": l.Epoch, "revision": l.Revision, "age-ms": now.instant.Sub(readAt).Milliseconds(),
		}).Info("configuration adopted")
	}
	n.hash = p.upstreams.Hash()
	n.services, n.evacuated = p.usableUpstreams()
	if err := n.encodeConfig(old); err != nil {
		return err
	}
	p.snapshot.Store(n)
	return nil
}

// seeVersions records the versions of the upstreams that are listed. p.mu must be held.
func (p *Proxy) seeVersions(now time.Time) {
	for _, u := range p.roster.Listed() {
		if u.Version != "" {
			p.versions.See(now, origin.Origin{Service: u.Service, Version: u.Version})
		}
	}
}

// usableUpstreams returns the upstreams of each service that may get new work, and the services
// that have none since all are in evacuated data centres. p.mu must be held.
func (p *Proxy) usableUpstreams() (services map[string][]roster.Upstream, evacuated map[string]bool) {
	services, evacuated = map[string][]roster.Upstream{}, map[string]bool{}
	for _, u := range p.roster.Usable() {
		if p.evac.Contains(u.DataCentre) {
			evacuated[u.Service] = true
			continue
		}
		services[u.Service] = append(services[u.Service], u)
	}
	for s := range services {
		delete(evacuated, s)
	}
	return services, evacuated
}

// logListing logs a new epoch of the store, and, once in each epoch, a configuration that is older
// than the one in force. p.mu must be held.
func (p *Proxy) logListing(old *snapshot, l calls.Listing, inForce *rules.Rules) {
	if old == nil {
		return
	}
	if l.Epoch > old.position.Epoch && old.position.Epoch > 0 {
		p.metrics.storeEpochs.Inc()
		p.log.WithFields(logrus.Fields{
			"event": "store-restored", "epoch": l.Epoch, "before": old.position.Epoch, "revision": l.Revision, "revision-before": old.position.Revision,
		}).Warn("the store was restored from a copy")
	}
	if l.Rules == nil || l.Rules.Version() >= inForce.Version() || p.olderRulesEpoch == l.Epoch+1 {
		return
	}
	p.olderRulesEpoch = l.Epoch + 1
	p.log.WithFields(logrus.Fields{
		"event": "older-rules", "in-force": inForce.Version(), "listed": l.Rules.Version(), "epoch": l.Epoch,
	}).Warn("listing has an older configuration; keeping the current one")
}

// handleRosterChange logs a change of the roster and forgets upstreams that are gone. p.mu must
// be held.
func (p *Proxy) handleRosterChange(c roster.Change) {
	if c.Before != nil && !c.Before.Leaving && (c.After == nil || c.After.Born != c.Before.Born) {
		p.recordGone(*c.Before)
	}
	if c.After != nil {
		p.correctOrigins(*c.After)
	}
	if c.Before != nil && c.After != nil && c.After.Born != c.Before.Born {
		p.pauses.Forget(c.Before.Instance)
		p.pacer.Forget(c.Before.Instance)
	}
	switch {
	case c.After == nil:
		p.logUpstream("upstream-gone", c.Before)
		p.picker.Forget(c.Before.Instance)
		p.pauses.Forget(c.Before.Instance)
		p.pacer.Forget(c.Before.Instance)
		delete(p.loggedLimits, c.Before.Instance)
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
