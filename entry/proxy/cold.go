package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"github.com/sirupsen/logrus"
)

// maxStarts is the number of remembered starts above which those of upstreams that aren't listed are forgotten.
const maxStarts = 4096

// coldShare returns how many requests a second this entry may send to a cold upstream that takes perSecond from all.
func (p *Proxy) coldShare(instance string, perSecond float64) float64 {
	if !p.fleet.MaySend(time.Now()) {
		return 0
	}
	s := p.coldShares.Load()
	if s == nil {
		return 0
	}
	return s.of(coldLimit{instance, perSecond}, func(l coldLimit) float64 {
		return p.settings.ColdBound.Share(l.instance, l.perSecond, p.settings.VM, s.entries)
	})
}

// coldLimit is the limit of a cold upstream, in requests a second.
type coldLimit struct {
	instance  string
	perSecond float64
}

// coldShares are the shares of limits as of one heartbeat. Each choice among many cold upstreams asks for
// all of them, and each needs the ranks of all entries.
type coldShares struct {
	// entries are the names of all known entries, this one included.
	entries []string

	mu      sync.Mutex
	byLimit map[coldLimit]float64
}

// of returns the share of a limit, which share computes the first time.
func (s *coldShares) of(l coldLimit, share func(coldLimit) float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.byLimit[l]
	if !ok {
		f = share(l)
		s.byLimit[l] = f
	}
	return f
}

// observeFleet records which other entries this one hears.
func (p *Proxy) observeFleet(now time.Time) {
	p.fleet.Observe(now, pacer.View{
		Heard: p.mesh.HeardNames(mesh.RoleEntry), Joined: p.mesh.HasJoined(), Isolated: p.mesh.Isolated(),
	})
	p.coldShares.Store(&coldShares{
		entries: append(p.mesh.KnownNames(mesh.RoleEntry), p.settings.VM),
		byLimit: map[coldLimit]float64{},
	})
}

// recordCold records a report on the cold time of an upstream. It does nothing if the service has no limit for cold
// upstreams. p.mu need not be held.
func (p *Proxy) recordCold(now time.Time, r *rules.Rules, u roster.Upstream, w pacer.ColdReport) {
	s := r.Service(u.Service)
	if s == nil || s.ColdRate <= 0 {
		return
	}
	w.PerSecond, w.Ramp = s.ColdRate, s.ColdTime
	if p.pacer.ObserveCold(now, u.Instance, w) {
		p.mesh.Spread()
	}
}

// assumeCold holds an upstream to be cold for the usual time of its service.
func (p *Proxy) assumeCold(now time.Time, r *rules.Rules, u roster.Upstream, source pacer.Source) {
	if s := r.Service(u.Service); s != nil {
		p.recordCold(now, r, u, pacer.ColdReport{Source: source, Remaining: s.ColdTime, AsOf: now})
	}
}

// learnCold learns from a listing which upstreams are cold: those that say so, and those that start. Of the first
// listing, those count as starting that name a recent start: all processes may have been restarted since. That is the
// time of another clock, so it is used only to hold back. p.mu must be held.
func (p *Proxy) learnCold(now moment, r *rules.Rules, l calls.Listing, asOf time.Time, isFirst bool) {
	if r == nil {
		return
	}
	listed := p.roster.Listed()
	if len(p.starts) > maxStarts {
		maps.DeleteFunc(p.starts, func(i string, _ int64) bool {
			return !slices.ContainsFunc(listed, func(u roster.Upstream) bool { return u.Instance == i })
		})
	}
	for _, u := range listed {
		born, isKnown := p.starts[u.Instance]
		p.starts[u.Instance] = u.Born
		isNew := !isFirst && (!isKnown || born != u.Born)
		if isNew || isFirst && isRecent(now.time, r, u) {
			p.assumeCold(now.time, r, u, pacer.SourceStart)
		}
		if d, ok := l.Cold[u.Instance]; ok {
			p.recordCold(now.time, r, u, pacer.ColdReport{Source: pacer.SourceRegistration, Remaining: d, AsOf: asOf})
		}
	}
}

// isRecent reports whether an upstream names a start within the cold time of its service.
func isRecent(now time.Time, r *rules.Rules, u roster.Upstream) bool {
	s := r.Service(u.Service)
	if s == nil {
		return false
	}
	age := now.Sub(time.UnixMilli(u.Born))
	return age >= 0 && age < s.ColdTime
}

// observeCold records what an answer of an upstream says of its cold time. sentAt is when the request was sent.
func (p *Proxy) observeCold(u roster.Upstream, info calls.ResponseInfo, sentAt time.Time) {
	v := p.snapshot.Load()
	if v == nil || info.Cold == 0 && !info.IsWarm {
		return
	}
	p.recordCold(time.Now(), v.rules, u, pacer.ColdReport{Source: pacer.SourceAnswer, Remaining: info.Cold, AsOf: sentAt})
}

// logColdChanges logs and counts the upstreams that have become cold or warm.
func (p *Proxy) logColdChanges(now time.Time) {
	for _, c := range p.pacer.ColdChanges(now) {
		l := p.log.WithFields(logrus.Fields{"instance": c.Instance, "per-second": c.PerSecond, "source": c.Source})
		if !c.IsCold {
			l.WithField("event", "upstream-warm").Info("upstream is warm; its limit ends in steps")
			continue
		}
		p.metrics.coldUpstreams.WithLabelValues(string(c.Source)).Inc()
		l.WithFields(logrus.Fields{"event": "upstream-cold", "share": c.Share, "until-ms": c.Until.Sub(now).Milliseconds()}).Info("upstream is cold and takes few requests of all entries together")
	}
}
