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
	// pollPeriod is the time between two looks for what is new.
	pollPeriod = 450 * time.Millisecond
	// storeReadTimeout bounds a read of all pages.
	storeReadTimeout = 3 * time.Second
	// storeCheckTimeout bounds a single call.
	storeCheckTimeout = 800 * time.Millisecond
	// storeReadAge is the age of what is known from which on an entry that isn't a reader reads the
	// store, later by up to listSpread: not all of a fleet at once, and all in time for what
	// must be in force within two seconds.
	storeReadAge    = 800 * time.Millisecond
	storeReadJitter = 500 * time.Millisecond
	// minRetryPause and maxRetry bound the pause after looks that brought nothing; it doubles,
	// and is drawn at random so that a fleet doesn't come back together.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = time.Second
	// maxStoreReaders is the number of entries that read the store while it answers; the others
	// ask these. Each call to the store costs, and their number mustn't grow with the fleet.
	maxStoreReaders = 2
	// storeCheckPeriod is the time after which an entry that doesn't read the store looks whether
	// it could.
	storeCheckPeriod = 1300 * time.Millisecond
	// seedOnlyPeriod is how long an entry that starts asks only the entries to begin from, if it
	// isn't one of them: a fleet that starts at once would overrun the store's rate.
	seedOnlyPeriod = 1500 * time.Millisecond
)

// pollConfig looks for what is new until the entry ends.
func (p *Proxy) pollConfig() {
	retry := minRetryPause
	for p.ctx.Err() == nil {
		pause := pollPeriod
		switch err := p.refreshSnapshot(); {
		case err == nil:
			retry = minRetryPause
		case p.hasFreshConfig():
			pause = minRetryPause
		default:
			pause = retry/2 + rand.N(retry)
			retry = min(maxRetryPause, 2*retry)
		}
		select {
		case <-time.After(pause):
		case <-p.ctx.Done():
		}
	}
}

// hasFreshConfig reports whether the entry knows a configuration that is young enough.
func (p *Proxy) hasFreshConfig() bool {
	v := p.snapshot.Load()
	return v != nil && v.isFresh(p.settings.ConfigMaxAge)
}

// refreshSnapshot learns what the store holds: a reader from the store and in need from another
// entry, the others the other way round.
func (p *Proxy) refreshSnapshot() error {
	if p.snapshot.Load() == nil && time.Since(p.startedAt) < seedOnlyPeriod && !slices.Contains(p.settings.Seeds, p.settings.PeerAddress) {
		return p.fetchFromEntry(p.randomSeed())
	}
	peers := p.storeReaders()
	if peers == nil {
		if err := p.readStore(); err == nil {
			return nil
		}
		return p.fetchFromEntry(p.randomEntry())
	}
	if p.sinceStoreAnswer() > storeCheckPeriod {
		p.tasks.Go(p.checkStore)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers {
		if p.fetchFromEntry(m) == nil {
			return nil
		}
	}
	if v := p.snapshot.Load(); v != nil && v.age() < storeReadAge+rand.N(storeReadJitter) {
		return errNothingNewer
	}
	if err := p.readStore(); err == nil {
		return nil
	}
	return p.fetchFromEntry(p.randomEntry())
}

// sinceStoreAnswer returns the time since this entry's last call to the store began that was
// answered.
func (p *Proxy) sinceStoreAnswer() time.Duration {
	return clock.Now().Sub(clock.Instant(p.lastStoreAnswer.Load()))
}

// storeReachable reports whether this entry reaches the store itself. One that doesn't goes on
// with what others tell it, but callers are better off elsewhere.
func (p *Proxy) storeReachable() bool {
	t := p.settings.ConfigMaxAge
	return t <= 0 || p.sinceStoreAnswer() < t/2
}

// storeReaders returns the entries that read the store, or nil if this one does: the strongest,
// since the whole list passes through their links.
func (p *Proxy) storeReaders() []*wire.Member {
	self := p.mesh.Self()
	l := append(p.mesh.Live(mesh.RoleEntry), self)
	slices.SortFunc(l, func(a, b *wire.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	l = l[:min(maxStoreReaders, len(l))]
	if slices.Contains(l, self) {
		return nil
	}
	return l
}

// randomEntry returns the address of a live entry, or nothing.
func (p *Proxy) randomEntry() *wire.Member {
	live := p.mesh.Live(mesh.RoleEntry)
	if len(live) == 0 {
		return nil
	}
	return live[rand.IntN(len(live))]
}

// randomSeed returns one of the entries to begin from.
func (p *Proxy) randomSeed() *wire.Member {
	s := p.settings.Seeds
	if len(s) == 0 {
		return nil
	}
	a := s[rand.IntN(len(s))]
	return &wire.Member{Name: a, Address: a}
}

// readStore reads the store once and puts what it holds in force.
func (p *Proxy) readStore() error {
	ctx, cancel := context.WithTimeout(p.ctx, storeReadTimeout)
	defer cancel()
	asked := clock.Now()
	l, err := p.settings.Store.List(ctx)
	if err != nil {
		p.recordStoreFailure(err)
		return err
	}
	p.metrics.storeReads.Inc()
	p.recordStoreAnswer(asked)
	return p.adopt(l, asked)
}

// checkStore makes a cheap call to the store.
func (p *Proxy) checkStore() {
	ctx, cancel := context.WithTimeout(p.ctx, storeCheckTimeout)
	defer cancel()
	asked := clock.Now()
	if err := p.settings.Store.Ping(ctx); err != nil {
		p.recordStoreFailure(err)
		return
	}
	p.recordStoreAnswer(asked)
}

func (p *Proxy) recordStoreFailure(err error) {
	p.metrics.storeReadErrors.Inc()
	p.mu.Lock()
	first := !p.storeLost
	p.storeLost = true
	p.mu.Unlock()
	if first && p.ctx.Err() == nil {
		p.log.WithField("event", "store-lost").WithError(err).Warn("store")
	}
}

func (p *Proxy) recordStoreAnswer(asked clock.Instant) {
	p.lastStoreAnswer.Store(int64(asked))
	p.mu.Lock()
	back := p.storeLost
	p.storeLost = false
	p.mu.Unlock()
	if back {
		p.log.WithField("event", "store-back").Info("store")
	}
}
