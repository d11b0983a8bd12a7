package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/digest"
	"cranberrypoint.example/coord/evac"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
)

const (
	// entryTimeout is the time after which a List call to another entry no longer holds up others.
	entryTimeout = 250 * time.Millisecond
	// maxEntryDataAge is the age up to which data from another entry makes it unnecessary to ask
	// further. Older data is adopted if it is newer than the snapshot.
	maxEntryDataAge = 900 * time.Millisecond
)

// errFetching means that an earlier List call to the same entry is still on its way.
var errFetching = eris.New("the other entry is being asked")

// errNoRecentData means that no recent enough data came from another entry: there was none to ask,
// it had none, its data was too old, even if it was adopted, or the reply no longer matched this
// entry's upstreams.
var errNoRecentData = eris.New("the other entry knows nothing newer")

// encodeConfig encodes the configuration for other entries, or reuses the old snapshot's encoding
// if the configuration is the same.
func (s *snapshot) encodeConfig(old *snapshot) (err error) {
	if old != nil && old.rules == s.rules {
		s.config, s.configHash = old.config, old.configHash
		return nil
	}
	if s.config, err = newEncodedConfig(s.rules.Config()); err != nil {
		return err
	}
	s.configHash = s.config.hash
	return nil
}

// fetchFromEntry adopts the data of another entry if it is newer, and returns nil if it is also at
// most maxEntryDataAge old. Its age is counted back from when this entry sent the request, so that
// clocks of two VMs are never compared and the delay of the call never makes the data seem newer
// than it is.
func (p *Proxy) fetchFromEntry(m *wire.Member) (err error) {
	if m == nil {
		return errNoRecentData
	}
	defer fault.Annotate(&err, "fetch configuration from entry %s", m.Name)
	if _, isRunning := p.fetching.LoadOrStore(m.Address, true); isRunning {
		return errFetching
	}
	defer p.fetching.Delete(m.Address)
	old := p.snapshot.Load()
	q := p.listRequest(old)
	p.mu.Lock()
	q.Leaving = p.leavingNames(time.Now())
	p.mu.Unlock()
	sent := clock.Now()
	a, err := link.Call(p.ctx, p.links, m.Address, link.List, q)
	if err != nil {
		return err
	}
	return p.adoptReply(present(), q, old, a, sent.Add(-micros(a.AgeMicros)))
}

// listRequest returns a request for what another entry knows beyond a snapshot; nil for none. If versions of upstreams are
// missing, as in lists of entries of earlier releases, it asks for the whole list, since versions aren't in the hash.
func (p *Proxy) listRequest(old *snapshot) *wire.ListRequest {
	q := &wire.ListRequest{Sender: p.settings.PeerAddress, AcceptsCompressed: true}
	if old != nil {
		q.Hash, q.Version, q.ConfigHash = old.hash, old.rules.Version(), old.configHash
		if old.lacksVersions() {
			q.Hash = 0
		}
	}
	return q
}

// lacksVersions reports whether the version of an upstream isn't known.
func (s *snapshot) lacksVersions() bool {
	for _, l := range s.services {
		if slices.ContainsFunc(l, func(u roster.Upstream) bool { return u.Version == "" }) {
			return true
		}
	}
	return false
}

// withKnownVersions adds the versions that this entry knows to those upstreams in a list that lack one.
func withKnownVersions(list, known []roster.Upstream) []roster.Upstream {
	versions := map[string]roster.Upstream{}
	for _, u := range known {
		versions[u.Instance] = u
	}
	for i, u := range list {
		if k := versions[u.Instance]; u.Version == "" && k.Born == u.Born {
			list[i].Version = k.Version
		}
	}
	return list
}

// adoptReply adopts the reply of another entry to a request that was based on a snapshot.
func (p *Proxy) adoptReply(now moment, q *wire.ListRequest, old *snapshot, a *wire.ListReply, readAt clock.Instant) error {
	isOld := micros(a.AgeMicros) > maxEntryDataAge
	if a.Known && isOld {
		p.lastOldReply.Store(int64(now.instant))
	}
	if !a.Known || isOld && old != nil && readAt <= old.readAt && len(a.Config) == 0 {
		return errNoRecentData
	}
	l, err := p.mergeListing(q, old, a)
	if err != nil {
		return err
	}
	l.KeptEvacuations = evac.DecodeKept(now.time, a.Evacuations)
	p.metrics.entryListings.Inc()
	p.mu.Lock()
	p.hear(now.time, a.Leaving, false)
	p.roster.Hide(now.time, decodeDepartures(now.time, a.Departures))
	p.mu.Unlock()
	if err := p.adoptAt(now, l, readAt); err != nil {
		return err
	}
	if isOld || old != nil && l.Epoch < old.position.Epoch {
		// The caller asks others or reads the store.
		return errNoRecentData
	}
	return nil
}

// mergeListing returns the other entry's listing: it applies the delta in the reply to this entry's
// upstreams, and takes the configuration from the reply, or from old if the reply has none.
func (p *Proxy) mergeListing(q *wire.ListRequest, old *snapshot, a *wire.ListReply) (l calls.Listing, err error) {
	l.Epoch, l.Revision, l.RulesEpoch = a.Epoch, a.Revision, a.ConfigEpoch
	l.Evacuated, l.LacksEvacuated = a.Evacuations.GetDataCentres(), a.Evacuations == nil
	var d digest.Delta
	if err := json.Unmarshal(a.Delta, &d); err != nil {
		return l, err
	}
	p.mu.Lock()
	base := p.upstreams
	if q.Hash == 0 {
		base = digest.New()
	}
	if base.Hash() != q.Hash {
		// Another listing was adopted during the call.
		p.mu.Unlock()
		return l, errNoRecentData
	}
	l.Upstreams, err = base.Applied(d)
	l.Upstreams = withKnownVersions(l.Upstreams, p.upstreams.List())
	p.mu.Unlock()
	if err != nil {
		return l, err
	}
	if len(a.Config) == 0 {
		if old == nil {
			return l, errNoRecentData
		}
		l.Rules = old.rules
		return l, nil
	}
	c, err := decodeConfig(a)
	if err != nil {
		return l, err
	}
	l.Rules, err = rules.New(c)
	return l, err
}

// List sends this entry's snapshot to another entry, less what that entry has already: a delta from
// the list of upstreams that the request names, and the configuration if its version differs.
func (p *Proxy) List(_ context.Context, q *wire.ListRequest) (a *wire.ListReply, err error) {
	defer fault.Annotate(&err, "list")
	return p.listAt(time.Now(), q)
}

// listAt is List at a given time.
func (p *Proxy) listAt(now time.Time, q *wire.ListRequest) (a *wire.ListReply, err error) {
	v := p.snapshot.Load()
	if v == nil {
		return &wire.ListReply{}, nil
	}
	p.mu.Lock()
	d := p.upstreams.DeltaSince(q.Hash)
	hidden := p.roster.Hidden(now)
	p.hear(now, q.Leaving, true)
	leaving := p.relayedNames(now)
	p.mu.Unlock()
	if q.Version > v.rules.Version() && q.Sender != "" {
		p.learnNewerRules(q.Sender)
	}
	a = &wire.ListReply{Known: true, AgeMicros: v.age().Microseconds(), Epoch: v.position.Epoch, Revision: v.position.Revision, ConfigEpoch: v.rulesEpoch, Departures: encodeDepartures(now, hidden), Leaving: leaving}
	if q.Version != v.rules.Version() || q.ConfigHash != 0 && q.ConfigHash != v.configHash {
		v.config.addTo(a, q.AcceptsCompressed)
	}
	if v.knowsEvacuations() {
		a.Evacuations = p.evac.Encode(now)
	}
	a.Delta, err = json.Marshal(d)
	return a, err
}

func encodeDepartures(now time.Time, l []roster.Departure) (m []*wire.Departure) {
	for _, d := range l {
		m = append(m, &wire.Departure{Instance: d.Instance, Born: d.Born, HiddenMicros: d.HiddenUntil.Sub(now).Microseconds()})
	}
	return m
}

func decodeDepartures(now time.Time, m []*wire.Departure) (l []roster.Departure) {
	for _, d := range m {
		l = append(l, roster.Departure{Instance: d.Instance, Born: d.Born, HiddenUntil: now.Add(micros(d.HiddenMicros))})
	}
	return l
}

// learnNewerRules fetches the configuration of an entry that has a newer one. An entry that starts
// after the store was restored from an older copy gets it in no other way.
func (p *Proxy) learnNewerRules(address string) {
	if !p.learning.CompareAndSwap(false, true) {
		return
	}
	p.tasks.Go(func() {
		defer p.learning.Store(false)
		// The requester may have ended meanwhile, and asks again if not.
		if err := p.fetchFromEntry(&wire.Member{Name: address, Address: address}); err != nil && !errors.Is(err, errNoRecentData) {
			p.log.WithField("event", "rules-missed").WithError(err).Debug("a newer configuration was not fetched")
		}
	})
}
