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
	// entryTimeout limits a List call to another entry.
	entryTimeout = 250 * time.Millisecond
	// maxEntryDataAge is the age up to which data from another entry makes it unnecessary to ask
	// further. Older data is adopted if it is newer than the snapshot.
	maxEntryDataAge = 900 * time.Millisecond
)

// errNoRecentData means that no recent enough data came from another entry: there was none to ask,
// it had none, its data was too old, even if it was adopted, or the reply no longer matched this
// entry's upstreams.
var errNoRecentData = eris.New("the other entry knows nothing newer")

// encodeConfig encodes the configuration for other entries, or reuses the old snapshot's encoding
// if the configuration is the same.
func (s *snapshot) encodeConfig(old *snapshot) (err error) {
	if old != nil && old.rules == s.rules {
		s.config = old.config
		return nil
	}
	s.config, err = json.Marshal(s.rules.Config())
	return err
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
	q := &wire.ListRequest{}
	old := p.snapshot.Load()
	if old != nil {
		q.Hash, q.Version = old.hash, old.rules.Version()
	}
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(p.ctx, entryTimeout)
	defer cancel()
	a, err := link.Call(ctx, p.links, m.Address, link.List, q)
	if err != nil {
		return err
	}
	age := micros(a.AgeMicros)
	readAt := sent.Add(-age)
	if !a.Known || age > maxEntryDataAge && old != nil && readAt <= old.readAt {
		return errNoRecentData
	}
	l, err := p.mergeListing(q, old, a)
	if err != nil {
		return err
	}
	p.metrics.entryListings.Inc()
	if err := p.adopt(l, readAt); err != nil {
		return err
	}
	if age > maxEntryDataAge {
		// The data was adopted but is old, so the caller asks others or reads the store.
		return errNoRecentData
	}
	return nil
}

// mergeListing returns the other entry's listing: it applies the delta in the reply to this entry's
// upstreams, and takes the configuration from the reply, or from old if the reply has none.
func (p *Proxy) mergeListing(q *wire.ListRequest, old *snapshot, a *wire.ListReply) (l calls.Listing, err error) {
	l.Revision = a.Revision
	var d digest.Delta
	if err := json.Unmarshal(a.Delta, &d); err != nil {
		return l, err
	}
	p.mu.Lock()
	if p.upstreams.Hash() != q.Hash {
		// Another listing was adopted during the call.
		p.mu.Unlock()
		return l, errNoRecentData
	}
	l.Upstreams, err = p.upstreams.Applied(d)
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
	var c rules.Config
	if err := json.Unmarshal(a.Config, &c); err != nil {
		return l, err
	}
	l.Rules, err = rules.New(c)
	return l, err
}

// List sends this entry's snapshot to another entry, less what that entry has already: a delta from
// the list of upstreams that the request names, and the configuration if its version differs.
func (p *Proxy) List(_ context.Context, q *wire.ListRequest) (a *wire.ListReply, err error) {
	defer fault.Annotate(&err, "list")
	v := p.snapshot.Load()
	if v == nil {
		return &wire.ListReply{}, nil
	}
	p.mu.Lock()
	d := p.upstreams.DeltaSince(q.Hash)
	p.mu.Unlock()
	a = &wire.ListReply{Known: true, AgeMicros: v.age().Microseconds(), Revision: v.revision}
	if q.Version != v.rules.Version() {
		a.Config = v.config
	}
	a.Delta, err = json.Marshal(d)
	return a, err
}
