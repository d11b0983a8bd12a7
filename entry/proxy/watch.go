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
	"github.com/rotisserie/eris"
)

const (
	// pollPeriod is the time between two refreshes of the snapshot.
	pollPeriod = 450 * time.Millisecond
	// storeReadTimeout limits a read of all pages of the store.
	storeReadTimeout = 3 * time.Second
	// storeCheckTimeout limits a single store call.
	storeCheckTimeout = 800 * time.Millisecond
	// An entry that isn't a store reader reads the store itself once its snapshot is older than
	// storeReadAge plus a random time up to storeReadJitter. The jitter keeps a fleet from
	// reading at once. The longest such age is short enough for changes to be in force within
	// two seconds.
	storeReadAge    = 800 * time.Millisecond
	storeReadJitter = 500 * time.Millisecond
	// maxStoreReaders is the number of entries that read the store while it answers. The others
	// ask these, because each store call has a cost and the number of calls must not grow with
	// the fleet.
	maxStoreReaders = 2
	// storeCheckPeriod is the time after which an entry that isn't a store reader checks whether
	// it could reach the store.
	storeCheckPeriod = 1300 * time.Millisecond
	// seedOnlyPeriod is how long an entry that starts, and isn't a seed, asks only the seeds. A
	// fleet that starts at once would exceed the store's rate limit.
	seedOnlyPeriod = 1500 * time.Millisecond
)

// sinceStoreCall returns the time since this entry's last successful store call began.
func (p *Proxy) sinceStoreCall() time.Duration {
	return clock.Now().Sub(clock.Instant(p.lastStoreCall.Load()))
}

// storeReachable reports whether this entry can reach the store itself. If not, it goes on with
// data from other entries, but is not ready, because callers are better served elsewhere.
func (p *Proxy) storeReachable() bool {
	t := p.settings.ConfigMaxAge
	return t <= 0 || p.sinceStoreCall() < t/2
}

// storeReaders returns the entries that read the store, or nil if this entry is one of them. They
// are those on the largest VMs by Capacity, since the whole list passes through their links.
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

// randomEntry returns a random live entry, or nil if there is none.
func (p *Proxy) randomEntry() *wire.Member {
	live := p.mesh.Live(mesh.RoleEntry)
	if len(live) == 0 {
		return nil
	}
	return live[rand.IntN(len(live))]
}

// randomSeed returns a random seed, or nil if there is none.
func (p *Proxy) randomSeed() *wire.Member {
	s := p.settings.Seeds
	if len(s) == 0 {
		return nil
	}
	a := s[rand.IntN(len(s))]
	return &wire.Member{Name: a, Address: a}
}

// errStorePause means that the store isn't called yet, as calls to it have failed.
var errStorePause = eris.New("the store is not called again yet")

// mayCallStore reports whether the store may be called after earlier failures.
func (p *Proxy) mayCallStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeBackoff.allows(time.Now())
}

// storeFails reports whether the last store call failed.
func (p *Proxy) storeFails() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeLost
}

// longestStorePause returns the longest pause between this entry's store calls while they fail.
func (p *Proxy) longestStorePause() time.Duration {
	if p.snapshot.Load() == nil || p.storeReaders() == nil {
		return maxReaderPause
	}
	return maxStorePause
}

// readStore reads the store and adopts the result, unless another read is on its way.
func (p *Proxy) readStore() error {
	if !p.mayCallStore() || !p.readingStore.CompareAndSwap(false, true) {
		return errStorePause
	}
	defer p.readingStore.Store(false)
	ctx, cancel := context.WithTimeout(p.ctx, storeReadTimeout)
	defer cancel()
	began := clock.Now()
	l, err := p.settings.Store.List(ctx)
	if err != nil {
		p.recordStoreFailure(err)
		return err
	}
	p.metrics.storeReads.Inc()
	p.recordStoreSuccess(began)
	return p.adopt(l, began)
}

// checkStore makes a cheap store call to see whether the store answers.
func (p *Proxy) checkStore() {
	ctx, cancel := context.WithTimeout(p.ctx, storeCheckTimeout)
	defer cancel()
	began := clock.Now()
	if err := p.settings.Store.Ping(ctx); err != nil {
		p.recordStoreFailure(err)
		return
	}
	p.recordStoreSuccess(began)
}

func (p *Proxy) recordStoreFailure(err error) {
	p.metrics.storeReadErrors.Inc()
	longest := p.longestStorePause()
	p.mu.Lock()
	p.storeBackoff.failed(time.Now(), longest, rand.Float64())
	first := !p.storeLost
	p.storeLost = true
	p.mu.Unlock()
	if first && p.ctx.Err() == nil {
		p.log.WithField("event", "store-lost").WithError(err).Warn("store is unreachable")
	}
}

func (p *Proxy) recordStoreSuccess(began clock.Instant) {
	p.lastStoreCall.Store(int64(began))
	p.mu.Lock()
	p.storeBackoff.succeeded()
	wasLost := p.storeLost
	p.storeLost = false
	p.mu.Unlock()
	if wasLost {
		p.log.WithField("event", "store-back").Info("store is reachable again")
	}
}
