package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"github.com/sirupsen/logrus"
)

const (
	// listPeriod is the time between two reads of the store.
	listPeriod = 600 * time.Millisecond
	// listTimeout bounds a read; a silent connection takes that long to be noticed.
	listTimeout = 800 * time.Millisecond
	// listRetry is the pause after a read that failed.
	listRetry = 150 * time.Millisecond
	// termMargin is taken off the time for which a read proves a key: the way to the
	// upstream takes a part of it.
	termMargin = 400 * time.Millisecond
)

// view is what an entry knows from the store. It is immutable.
type view struct {
	rules *rules.Rules
	// services holds the upstreams of each service that aren't leaving.
	services map[string][]roster.Upstream
	// asked is when the read began that returned the rules: they were in force then.
	asked clock.Instant
}

// fresh reports whether the view is young enough to prove that a key is granted. A term
// of 0 is no limit.
func (v *view) fresh(term time.Duration) bool {
	return term <= 0 || v.age() < term-termMargin
}

func (v *view) age() time.Duration { return clock.Now().Sub(v.asked) }

// watch reads the store until the entry ends.
func (p *Proxy) watch() {
	for p.ctx.Err() == nil {
		pause := listPeriod
		if err := p.list(); err != nil {
			p.storeFailed(err)
			pause = listRetry
		}
		select {
		case <-time.After(pause):
		case <-p.ctx.Done():
		}
	}
}

func (p *Proxy) storeFailed(err error) {
	p.metrics.listErrors.Inc()
	p.mu.Lock()
	first := !p.storeLost
	p.storeLost = true
	p.mu.Unlock()
	if first && p.ctx.Err() == nil {
		p.log.WithField("event", "store-lost").WithError(err).Warn("store")
	}
}

// list reads the store once and puts what it holds in force.
func (p *Proxy) list() error {
	ctx, cancel := context.WithTimeout(p.ctx, listTimeout)
	defer cancel()
	asked := clock.Now()
	l, err := p.settings.Store.List(ctx)
	if err != nil {
		return err
	}
	p.metrics.lists.Inc()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeLost {
		p.storeLost = false
		p.log.WithField("event", "store-back").WithField("revision", l.Revision).Info("store")
	}
	for _, c := range p.roster.Listed(now, l.Upstreams) {
		p.changed(c)
	}
	old := p.view.Load()
	r := l.Rules
	if old != nil && (r == nil || r.Version() < old.rules.Version()) {
		p.log.WithFields(logrus.Fields{"event": "older-rules", "in-force": old.rules.Version()}).Warn("configuration")
		r = old.rules
	}
	if r == nil {
		return nil
	}
	if old == nil || old.rules.Version() != r.Version() {
		p.log.WithFields(logrus.Fields{"event": "adopted", "version": r.Version(), "revision": l.Revision}).Info("configuration")
	}
	n := &view{rules: r, services: map[string][]roster.Upstream{}, asked: asked}
	for _, u := range p.roster.Usable() {
		n.services[u.Service] = append(n.services[u.Service], u)
	}
	p.view.Store(n)
	return nil
}

// changed logs a change of the roster and forgets upstreams that are gone. The lock is
// held.
func (p *Proxy) changed(c roster.Change) {
	switch {
	case c.After == nil:
		p.logUpstream("upstream-gone", c.Before)
		p.picker.Forget(c.Before.Instance)
		p.conns.Forget(c.Before.Address)
	case c.Before == nil:
		p.logUpstream("upstream-new", c.After)
	case c.Before.Leaving != c.After.Leaving:
		p.logUpstream("upstream-leaving", c.After)
	}
}

func (p *Proxy) logUpstream(event string, u *roster.Upstream) {
	p.log.WithFields(logrus.Fields{
		"event": event, "instance": u.Instance, "service": u.Service, "address": u.Address, "stage": u.Stage.String(),
	}).Info("upstream")
}
