package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/wire"
)

const (
	// minEntryPatience is the time in which both store readers are asked, maxEntryPatience that within which a call ends.
	minEntryPatience = 2 * entryTimeout
	maxEntryPatience = link.CallTimeout
)

// pollConfig refreshes the snapshot until the entry ends.
func (p *Proxy) pollConfig() {
	t, l := pollTimer{}, refreshLag{}
	for p.ctx.Err() == nil {
		began := clock.Now()
		err := p.refreshSnapshot()
		p.logRefreshLag(&l, clock.Now().Sub(began), err)
		select {
		case <-time.After(t.pause(err == nil, p.snapshot.Load() != nil, rand.Float64())):
		case <-p.ctx.Done():
		}
	}
}

// refreshSnapshot updates the snapshot once. Store readers ask the store first and then another
// entry; all others ask the store readers, and also the store and another entry once their data is old.
func (p *Proxy) refreshSnapshot() error {
	if p.snapshot.Load() == nil && time.Since(p.startedAt) < seedOnlyPeriod && !slices.Contains(p.settings.Seeds, p.settings.PeerAddress) {
		return p.firstOf(0, entryTimeout, p.entrySource(p.randomSeed()))
	}
	peers := p.storeReaders()
	if peers == nil {
		return p.refreshAsReader()
	}
	if p.sinceStoreCall() > storeCheckPeriod && p.mayCallStore() {
		p.tasks.Go(p.checkStore)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var sources []source
	for _, m := range peers {
		sources = append(sources, func() error { return p.fetchAllFrom(m) })
	}
	patience := maxEntryPatience
	if v := p.snapshot.Load(); v != nil {
		patience = max(minEntryPatience, storeReadAge+rand.N(storeReadJitter)-v.ageOfAll())
		if v.ageOfAll() > storeReadAge+storeReadJitter {
			return p.refreshFromAll(sources)
		}
	}
	err := p.firstOf(entryTimeout, patience, sources...)
	if v := p.snapshot.Load(); err == nil || v != nil && v.ageOfAll() < storeReadAge+rand.N(storeReadJitter) {
		return err
	}
	return p.refreshFromAll(nil)
}

// refreshAsReader updates the snapshot of a store reader.
func (p *Proxy) refreshAsReader() error {
	// After a failure, others may have reached the store first, and a call may hang.
	if p.storeFails() && p.firstOf(0, entryTimeout, p.entrySource(p.randomEntry())) == nil {
		return nil
	}
	if err := p.readStore(); err == nil {
		return nil
	}
	return p.firstOf(0, entryTimeout, p.entrySource(p.randomEntry()))
}

// fetchAllFrom adopts the data of another entry if it is recent, evacuations included. An entry of an earlier release
// doesn't know these.
func (p *Proxy) fetchAllFrom(m *wire.Member) error {
	if err := p.fetchFromEntry(m); err != nil {
		return err
	}
	if p.snapshot.Load().ageOfAll() >= maxEntryDataAge {
		return errNoRecentData
	}
	return nil
}

// refreshFromAll asks the store, another entry and further sources at the same time, and returns once one of them had recent data.
//
// It answers store readers that are silent, and a store that is slow for this entry, while a change is to be in force soon: asked
// one after the other, each takes its time-out.
func (p *Proxy) refreshFromAll(further []source) error {
	return p.firstOf(0, storeReadTimeout, append(further, p.readStore, p.entrySource(p.randomEntry()))...)
}

// source brings a newer snapshot. It returns nil if it had recent data.
type source func() error

func (p *Proxy) entrySource(m *wire.Member) source {
	return func() error { return p.fetchFromEntry(m) }
}

// firstOf asks sources in their order, the next one once one has failed or stagger has passed. It returns once one had recent
// data, all have failed, or patience is over. Sources that were asked go on, and what they bring is adopted: over a small link
// a large answer takes longer than it is to hold up the others.
func (p *Proxy) firstOf(stagger, patience time.Duration, sources ...source) error {
	results := make(chan error, len(sources))
	over := time.After(patience)
	err := errNoRecentData
	for asked, ended := 0, 0; ended < len(sources); {
		var next <-chan time.Time
		if asked < len(sources) {
			f := sources[asked]
			p.tasks.Go(func() { results <- f() })
			asked++
		}
		if asked < len(sources) {
			next = time.After(stagger)
		}
		select {
		case err = <-results:
			if err == nil {
				return nil
			}
			ended++
		case <-next:
		case <-over:
			return errNoRecentData
		case <-p.ctx.Done():
			return p.ctx.Err()
		}
	}
	return err
}
