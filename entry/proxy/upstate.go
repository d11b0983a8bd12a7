package proxy

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/upconn"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// invalidHeaderLogPeriod is the time between two log lines about headers of upstreams that
	// can't be understood.
	invalidHeaderLogPeriod = 10 * time.Second
	// limitLogShare is the part by which a limit must change to be logged again.
	limitLogShare = 0.25
	// hearsayTime is how long it counts that another entry has heard an upstream say it leaves.
	hearsayTime = 10 * time.Second
)

// errUpstreamLimited means that this entry has used up its share of the limit that an upstream names.
var errUpstreamLimited = eris.New("the share of the upstream's limit is used up")

// errUpstreamPaused means that an upstream wants no requests for a time.
var errUpstreamPaused = eris.New("the upstream has asked for a pause")

// observeUpstream acts on what an upstream says of its own state in an answer of any kind.
// sentAt is when the request was sent.
func (p *Proxy) observeUpstream(u roster.Upstream, info calls.ResponseInfo, sentAt time.Time) {
	if info.Invalid != "" {
		p.logInvalidHeader(u, info.Invalid)
	}
	if info.Pause > 0 && !info.WrongInstance {
		p.metrics.upstreamStates.WithLabelValues("pause").Inc()
		p.mu.Lock()
		p.pauses.Ask(time.Now(), u.Instance, info.Pause)
		p.mu.Unlock()
		p.log.WithFields(logrus.Fields{"event": "upstream-paused", "instance": u.Instance, "for-ms": info.Pause.Milliseconds()}).Info("upstream wants no requests for a time")
	}
	if !info.WrongInstance {
		p.pacer.Observe(time.Now(), sentAt, u.Instance, info.Limit)
		p.logLimit(u, info.Limit)
		p.observeCold(u, info, sentAt)
	}
	if info.Leaving {
		p.announceLeaving(u)
	}
}

// logLimit counts the answers that name a limit, and logs when an upstream names another one than before,
// or none.
func (p *Proxy) logLimit(u roster.Upstream, limit float64) {
	if limit > 0 {
		p.metrics.upstreamStates.WithLabelValues("limit").Inc()
	}
	p.mu.Lock()
	before := p.loggedLimits[u.Instance]
	isNews := (limit > 0) != (before > 0) || math.Abs(limit-before) > limitLogShare*before
	if isNews {
		p.loggedLimits[u.Instance] = limit
	}
	p.mu.Unlock()
	if isNews {
		p.log.WithFields(logrus.Fields{"event": "upstream-limited", "instance": u.Instance, "per-second": limit, "before": before}).Info("upstream advertises a limit for all entries together")
	}
}

// announceLeaving ends the use of an upstream that has said that it leaves: its registration may
// say so only later.
func (p *Proxy) announceLeaving(u roster.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	c, ok := p.roster.Announce(now, u.Instance)
	if !ok {
		return
	}
	p.metrics.upstreamStates.WithLabelValues("leaving").Inc()
	p.handleRosterChange(c)
	p.conns.CloseIdle(u.Address)
	p.leaving[u.Instance] = now.Add(hearsayTime)
	if old := p.snapshot.Load(); old != nil {
		n := *old
		n.services, n.evacuated = p.usableUpstreams()
		p.snapshot.Store(&n)
	}
}

// leavingNames returns the upstreams that have recently told this entry that they leave. p.mu must
// be held.
func (p *Proxy) leavingNames(now time.Time) (l []string) {
	for n, until := range p.leaving {
		if !now.Before(until) {
			delete(p.leaving, n)
			continue
		}
		l = append(l, n)
	}
	return l
}

// hearsay is the word of another entry that an upstream leaves.
type hearsay struct {
	until time.Time
	// relay is true if it came with a request and is passed on in replies. What came with a reply
	// isn't, so that it doesn't go round for ever.
	relay bool
}

// hear records that another entry has heard upstreams say that they leave. This entry prefers others
// then; only what it hears itself, or from the store, rules an upstream out. p.mu must be held.
func (p *Proxy) hear(now time.Time, names []string, relay bool) {
	for _, n := range names {
		h := p.heardLeaving[n]
		if !relay && h.relay && now.Before(h.until) {
			continue
		}
		p.heardLeaving[n] = hearsay{now.Add(hearsayTime), relay}
	}
}

// relayedNames returns the upstreams that leave by this entry's own knowledge or by that of entries
// which have asked it. p.mu must be held.
func (p *Proxy) relayedNames(now time.Time) []string {
	l := p.leavingNames(now)
	for n, h := range p.heardLeaving {
		if p.isSaidToLeave(now, n) && h.relay {
			l = append(l, n)
		}
	}
	return l
}

// isSaidToLeave reports whether another entry has recently heard that an upstream leaves. p.mu must be
// held.
func (p *Proxy) isSaidToLeave(now time.Time, instance string) bool {
	h, ok := p.heardLeaving[instance]
	if ok && !now.Before(h.until) {
		delete(p.heardLeaving, instance)
		return false
	}
	return ok
}

// closesAfter reports whether a connection is of no further use after a response with a header.
func (p *Proxy) closesAfter(h http.Header) bool {
	return p.codec.ResponseInfo(http.StatusOK, h).Leaving
}

// isPaused reports whether an upstream has asked for a pause.
func (p *Proxy) isPaused(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.pauses.Until(time.Now(), instance)
	return ok
}

// availableAt returns when an upstream may get a request: after its pause, and as soon as this entry's share
// of its limit allows; now at the earliest. p.mu must be held.
func (p *Proxy) availableAt(now time.Time, instance string) time.Time {
	at := p.pacer.Next(now, instance)
	if end, ok := p.pauses.Until(now, instance); ok && end.After(at) {
		return end
	}
	return at
}

// isAvailable reports whether an upstream may get a request now. p.mu must be held.
func (p *Proxy) isAvailable(now time.Time, instance string) bool {
	return !p.availableAt(now, instance).After(now)
}

// checkAvailable refuses a request if all upstreams of its service have asked for a pause, or named limits of
// which this entry has used up its share, or are cold and take no more of it for now.
func (p *Proxy) checkAvailable(x *exchange) *fault.Error {
	if x.mayHaveRun {
		return nil
	}
	now := time.Now()
	var first time.Time
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.snapshot.Load().services[x.service.Name] {
		if !x.accepts(u) {
			continue
		}
		at := p.availableAt(now, u.Instance)
		if !at.After(now) {
			return nil
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return nil
	}
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return fault.NotRun(fault.Overloaded, "all upstreams have asked for a pause or named limits that are used up, or are cold").WithRetryAt(pause.ReturnAt(now, first, r))
}

// limitShare returns the part of an upstream's limit that this entry may use.
func (p *Proxy) limitShare(instance string, perSecond float64) float64 {
	names := []string{p.settings.VM}
	for _, m := range p.mesh.Live(mesh.RoleEntry) {
		names = append(names, m.Name)
	}
	return pacer.EqualShare(instance, perSecond, p.settings.VM, names, 1+p.mesh.CountKnown(mesh.RoleEntry))
}

// checkUpstream reports why a request may not be sent to an upstream that was picked before; nil if
// it may.
func (p *Proxy) checkUpstream(u roster.Upstream) error {
	switch {
	case !p.snapshot.Load().isUsable(u):
		return &upconn.Error{Err: errUpstreamLeaving}
	case p.isPaused(u.Instance):
		return &upconn.Error{Err: errUpstreamPaused}
	}
	return nil
}

// isUnavailable reports whether a send or a reservation failed because its upstream leaves, wants a pause
// or is limited, so that another one should be asked at once.
func isUnavailable(err error) bool {
	return errors.Is(err, errUpstreamLeaving) || errors.Is(err, errUpstreamPaused) || errors.Is(err, errUpstreamLimited)
}

func (p *Proxy) logInvalidHeader(u roster.Upstream, header string) {
	p.metrics.upstreamStates.WithLabelValues("invalid").Inc()
	now := time.Now()
	p.mu.Lock()
	isDue := now.After(p.invalidHeaderLogFrom)
	if isDue {
		p.invalidHeaderLogFrom = now.Add(invalidHeaderLogPeriod)
	}
	p.mu.Unlock()
	if isDue {
		p.log.WithFields(logrus.Fields{"event": "invalid-header", "instance": u.Instance, "header": header}).Warn("header of an upstream can't be understood")
	}
}
