package proxy

import (
	"context"
	"encoding/json"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/digest"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
)

const (
	// peerTimeout bounds the answer of another entry.
	peerTimeout = 250 * time.Millisecond
	// staleAge is the age above which what another entry knows is not enough.
	staleAge = 900 * time.Millisecond
)

// errOlder means that another entry knows nothing newer.
var errOlder = eris.New("the other entry knows nothing newer")

// encode prepares what other entries are told of the configuration; the old view's is
// taken if it is the same.
func (v *view) encode(old *view) (err error) {
	if old != nil && old.rules == v.rules {
		v.config = old.config
		return nil
	}
	v.config, err = json.Marshal(v.rules.Config())
	return err
}

// learn takes over what another entry knows from the store, if it is fresh. Its age counts
// from when this entry asked, so that no clock is compared and no delay makes it younger.
func (p *Proxy) learn(m *wire.Member) (err error) {
	if m == nil {
		return errOlder
	}
	defer fault.Annotate(&err, "learn from %s", m.Name)
	q := &wire.ListRequest{}
	old := p.view.Load()
	if old != nil {
		q.Hash, q.Version = old.hash, old.rules.Version()
	}
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
	defer cancel()
	a, err := link.Call(ctx, p.links, m.Address, link.List, q)
	if err != nil {
		return err
	}
	age := micros(a.AgeMicros)
	asked := sent.Add(-age)
	if !a.Known || age > staleAge && old != nil && asked <= old.asked {
		return errOlder
	}
	l, err := p.listing(q, old, a)
	if err != nil {
		return err
	}
	p.metrics.learned.Inc()
	if err := p.adopt(l, asked); err != nil {
		return err
	}
	if age > staleAge {
		// It is newer than what was known, but someone should read the store.
		return errOlder
	}
	return nil
}

// listing puts together what another entry told and what this one had.
func (p *Proxy) listing(q *wire.ListRequest, old *view, a *wire.ListReply) (l calls.Listing, err error) {
	l.Revision = a.Revision
	var d digest.Delta
	if err := json.Unmarshal(a.Delta, &d); err != nil {
		return l, err
	}
	p.mu.Lock()
	if p.book.Hash() != q.Hash {
		// Another listing came while the question was under way.
		p.mu.Unlock()
		return l, errOlder
	}
	l.Upstreams, err = p.book.Applied(d)
	p.mu.Unlock()
	if err != nil {
		return l, err
	}
	if len(a.Config) == 0 {
		if old == nil {
			return l, errOlder
		}
		l.Rules = old.rules
		return l, nil
	}
	var c rules.Config
	if err := json.Unmarshal(a.Config, &c); err != nil {
		return l, err
	}
	l.Rules, err = rules.New(c)
	return l, err
}

// List tells another entry what this one knows from the store.
func (p *Proxy) List(_ context.Context, q *wire.ListRequest) (a *wire.ListReply, err error) {
	defer fault.Annotate(&err, "list")
	v := p.view.Load()
	if v == nil {
		return &wire.ListReply{}, nil
	}
	p.mu.Lock()
	d := p.book.Since(q.Hash)
	p.mu.Unlock()
	a = &wire.ListReply{Known: true, AgeMicros: v.age().Microseconds(), Revision: v.revision}
	if q.Version != v.rules.Version() {
		a.Config = v.config
	}
	a.Delta, err = json.Marshal(d)
	return a, err
}
