package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/wire"
)

const (
	// listPeriod is the time between two looks for what is new.
	listPeriod = 450 * time.Millisecond
	// listTimeout bounds a read of all pages.
	listTimeout = 3 * time.Second
	// reachTimeout bounds a single call.
	reachTimeout = 800 * time.Millisecond
	// listAge is the age of what is known from which on an entry that isn't a reader reads the
	// store, later by up to listSpread: not all of a fleet at once, and all in time for what
	// must be in force within two seconds.
	listAge    = 800 * time.Millisecond
	listSpread = 500 * time.Millisecond
	// firstRetry and maxRetry bound the pause after looks that brought nothing; it doubles,
	// and is drawn at random so that a fleet doesn't come back together.
	firstRetry = 150 * time.Millisecond
	maxRetry   = time.Second
	// readers is the number of entries that read the store while it answers; the others
	// ask these. Each call to the store costs, and their number mustn't grow with the fleet.
	readers = 2
	// reachPeriod is the time after which an entry that doesn't read the store looks whether
	// it could.
	reachPeriod = 1300 * time.Millisecond
	// seedTerm is how long an entry that starts asks only the entries to begin from, if it
	// isn't one of them: a fleet that starts at once would overrun the store's rate.
	seedTerm = 1500 * time.Millisecond
)

// watch looks for what is new until the entry ends.
func (p *Proxy) watch() {
	retry := firstRetry
	for p.ctx.Err() == nil {
		pause := listPeriod
		switch err := p.look(); {
		case err == nil:
			retry = firstRetry
		case p.known():
			pause = firstRetry
		default:
			pause = retry/2 + rand.N(retry)
			retry = min(maxRetry, 2*retry)
		}
		select {
		case <-time.After(pause):
		case <-p.ctx.Done():
		}
	}
}

// known reports whether the entry knows a configuration that is young enough.
func (p *Proxy) known() bool {
	v := p.view.Load()
	return v != nil && v.fresh(p.settings.ConfigMaxAge)
}

// look learns what the store holds: a reader from the store and in need from another
// entry, the others the other way round.
func (p *Proxy) look() error {
	if p.view.Load() == nil && time.Since(p.born) < seedTerm && !slices.Contains(p.settings.Seeds, p.settings.PeerAddress) {
		return p.learn(p.seed())
	}
	peers := p.readers()
	if peers == nil {
		if err := p.list(); err == nil {
			return nil
		}
		return p.learn(p.anyone())
	}
	if p.sinceReached() > reachPeriod {
		p.tasks.Go(p.reach)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers {
		if p.learn(m) == nil {
			return nil
		}
	}
	if v := p.view.Load(); v != nil && v.age() < listAge+rand.N(listSpread) {
		return errOlder
	}
	if err := p.list(); err == nil {
		return nil
	}
	return p.learn(p.anyone())
}

// sinceReached returns the time since this entry's last call to the store began that was
// answered.
func (p *Proxy) sinceReached() time.Duration {
	return clock.Now().Sub(clock.Instant(p.reached.Load()))
}

// connected reports whether this entry reaches the store itself. One that doesn't goes on
// with what others tell it, but callers are better off elsewhere.
func (p *Proxy) connected() bool {
	t := p.settings.ConfigMaxAge
	return t <= 0 || p.sinceReached() < t/2
}

// readers returns the entries that read the store, or nil if this one does: the strongest,
// since the whole list passes through their links.
func (p *Proxy) readers() []*wire.Member {
	self := p.mesh.Self()
	l := append(p.mesh.Live(mesh.RoleEntry), self)
	slices.SortFunc(l, func(a, b *wire.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	l = l[:min(readers, len(l))]
	if slices.Contains(l, self) {
		return nil
	}
	return l
}

// anyone returns the address of a live entry, or nothing.
func (p *Proxy) anyone() *wire.Member {
	live := p.mesh.Live(mesh.RoleEntry)
	if len(live) == 0 {
		return nil
	}
	return live[rand.IntN(len(live))]
}

// seed returns one of the entries to begin from.
func (p *Proxy) seed() *wire.Member {
	s := p.settings.Seeds
	if len(s) == 0 {
		return nil
	}
	a := s[rand.IntN(len(s))]
	return &wire.Member{Name: a, Address: a}
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
	p.storeAnswered(asked)
	return p.adopt(l, asked)
}

// reach makes a cheap call to the store.
func (p *Proxy) reach() {
	ctx, cancel := context.WithTimeout(p.ctx, reachTimeout)
	defer cancel()
	asked := clock.Now()
	if err := p.settings.Store.Ping(ctx); err != nil {
		p.storeFailed(err)
		return
	}
	p.storeAnswered(asked)
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

func (p *Proxy) storeAnswered(asked clock.Instant) {
	p.reached.Store(int64(asked))
	p.mu.Lock()
	back := p.storeLost
	p.storeLost = false
	p.mu.Unlock()
	if back {
		p.log.WithField("event", "store-back").Info("store")
	}
}
