package proxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// listPeriod is the time between two looks for what is new.
	listPeriod = 450 * time.Millisecond
	// listTimeout bounds a read; a silent connection takes that long to be noticed.
	listTimeout = 800 * time.Millisecond
	// peerTimeout bounds the answer of another entry.
	peerTimeout = 250 * time.Millisecond
	// listRetry is the pause after a look that brought nothing.
	listRetry = 150 * time.Millisecond
	// readers is the number of entries that read the store while it answers; the others
	// ask these. Each call to the store costs, and their number mustn't grow with the fleet.
	readers = 2
	// ownPeriod is the time after which every entry reads the store itself: it must know
	// whether it can.
	ownPeriod = 1300 * time.Millisecond
	// staleAge is the age above which what another entry knows is not enough.
	staleAge = 900 * time.Millisecond
)

// content is what entries tell each other of the store.
type content struct {
	Config    rules.Config
	Upstreams []roster.Upstream
}

// errOlder means that another entry knows nothing newer.
var errOlder = eris.New("the other entry knows nothing newer")

// encode prepares what other entries are told; the old view's is taken if it is the same.
func (v *view) encode(old *view) error {
	if old != nil && old.rules == v.rules && slices.Equal(old.listed, v.listed) {
		v.hash, v.content = old.hash, old.content
		return nil
	}
	b, err := json.Marshal(content{v.rules.Config(), v.listed})
	if err != nil {
		return err
	}
	v.hash, v.content = xxhash.Sum64(b), b
	return nil
}

// watch looks for what is new until the entry ends.
func (p *Proxy) watch() {
	for p.ctx.Err() == nil {
		pause := listPeriod
		if err := p.look(); err != nil {
			pause = listRetry
		}
		select {
		case <-time.After(pause):
		case <-p.ctx.Done():
		}
	}
}

// look learns what the store holds: a reader from the store and in need from another
// entry, the others the other way round.
func (p *Proxy) look() error {
	peers := p.readers()
	if peers == nil || p.sinceRead() > ownPeriod {
		if err := p.list(); err == nil {
			return nil
		}
		return p.learn(p.anyone())
	}
	if err := p.learn(peers[rand.IntN(len(peers))]); err == nil {
		return nil
	}
	if err := p.list(); err == nil {
		return nil
	}
	return p.learn(p.anyone())
}

// sinceRead returns the time since this entry's own last read of the store began.
func (p *Proxy) sinceRead() time.Duration { return clock.Now().Sub(clock.Instant(p.ownRead.Load())) }

// connected reports whether this entry reads the store itself. One that doesn't goes on
// with what others tell it, but callers are better off elsewhere.
func (p *Proxy) connected() bool {
	t := p.settings.KeyTerm
	return t <= 0 || p.sinceRead() < t/2
}

// readers returns the entries that read the store, or nil if this one does.
func (p *Proxy) readers() (l []*wire.Member) {
	live := p.mesh.Live(mesh.Entry)
	for _, m := range live[:min(readers, len(live))] {
		if m.Name < p.settings.VM {
			l = append(l, m)
		}
	}
	if len(l) < readers {
		return nil
	}
	return l
}

// anyone returns a live entry, or nil.
func (p *Proxy) anyone() *wire.Member {
	live := p.mesh.Live(mesh.Entry)
	if len(live) == 0 {
		return nil
	}
	return live[rand.IntN(len(live))]
}

// list reads the store once and puts what it holds in force.
func (p *Proxy) list() error {
	ctx, cancel := context.WithTimeout(p.ctx, listTimeout)
	defer cancel()
	asked := clock.Now()
	l, err := p.settings.Store.List(ctx)
	if err != nil {
		p.storeFailed(err)
		return err
	}
	p.metrics.lists.Inc()
	p.ownRead.Store(int64(asked))
	p.storeAnswered(l.Revision)
	return p.adopt(l, asked)
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

func (p *Proxy) storeAnswered(revision uint64) {
	p.mu.Lock()
	back := p.storeLost
	p.storeLost = false
	p.mu.Unlock()
	if back {
		p.log.WithField("event", "store-back").WithField("revision", revision).Info("store")
	}
}

// learn takes over what another entry knows from the store, if it is fresh. Its age counts
// from when this entry asked, so that no clock is compared and no delay makes it younger.
func (p *Proxy) learn(m *wire.Member) (err error) {
	if m == nil {
		return errOlder
	}
	defer fault.Annotate(&err, "learn from %s", m.Name)
	old := p.view.Load()
	q := &wire.ListRequest{}
	if old != nil {
		q.Hash = old.hash
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
	if !a.Known || age > staleAge && (old == nil || asked <= old.asked) {
		return errOlder
	}
	l, err := p.listing(old, a)
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

// listing returns what another entry told; the old view's content if it is the same.
func (p *Proxy) listing(old *view, a *wire.ListReply) (l calls.Listing, err error) {
	l.Revision = a.Revision
	if len(a.Content) == 0 {
		if old == nil || a.Hash != old.hash {
			return l, errOlder
		}
		l.Rules, l.Upstreams = old.rules, old.listed
		return l, nil
	}
	var c content
	if err := json.Unmarshal(a.Content, &c); err != nil {
		return l, err
	}
	l.Upstreams = c.Upstreams
	if old != nil && old.rules.Version() == c.Config.Version {
		l.Rules = old.rules
		return l, nil
	}
	l.Rules, err = rules.New(c.Config)
	return l, err
}

// List tells another entry what this one knows from the store.
func (p *Proxy) List(_ context.Context, q *wire.ListRequest) (*wire.ListReply, error) {
	v := p.view.Load()
	if v == nil {
		return &wire.ListReply{}, nil
	}
	a := &wire.ListReply{Known: true, AgeMicros: v.age().Microseconds(), Revision: v.revision, Hash: v.hash}
	if q.Hash != v.hash {
		a.Content = v.content
	}
	return a, nil
}
