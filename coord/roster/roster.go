// Package roster tracks which upstreams exist, from the lists that the platform's store
// returns.
//
// It tolerates outages of the store. Registrations may expire during an outage although
// their upstreams are alive, so an upstream that is missing from the first lists after an
// outage is kept for a grace period. So is one that is missing after the store was restored from
// a copy, while one that had left before doesn't come back by the copy.
//
// Time is passed in by the caller, and nothing here locks or does I/O.
package roster

import (
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/wire"
)

const (
	// minOutage is the time without a list after which registrations may have expired.
	minOutage = 3 * time.Second
	// gracePeriod is how long a missing upstream is kept after an outage. Live upstreams have
	// registered again by then.
	gracePeriod = 2200 * time.Millisecond
)

// Upstream is a process that runs requests. Entries, the processes that accept callers'
// requests, exchange lists of upstreams in JSON and compare them by a hash of the fields up to
// Born (package digest), so their names and order are part of the protocol.
type Upstream struct {
	// Instance identifies one run of the process; a restart gets a new one.
	Instance   string
	Service    string
	Address    string
	DataCentre string
	// Leaving means that the upstream is shutting down and gets no new requests.
	Leaving bool
	// Slots is the number of requests that the upstream runs at once; 0 if the registration
	// doesn't state it.
	Slots int
	// Stage is the stage, prefill or decode, that a model engine serves; STAGE_PLAIN for
	// upstreams that are not model engines.
	Stage wire.Stage
	// Born is the start time of the process, in Unix milliseconds.
	Born int64
	// Version is that of the process's software; empty if it isn't known, as in lists of entries of
	// earlier releases.
	Version string `json:",omitempty"`
}

// List is a list of upstreams that was read from the store.
type List struct {
	// Epoch is the store's epoch, which rises when the store is restored from a copy; 0 if unknown.
	Epoch uint64
	// ReadAt is when the read began.
	ReadAt    time.Time
	Upstreams []Upstream
}

// Change is the difference of one upstream between two lists. Before is nil for an upstream
// that was added, After for one that was removed.
type Change struct {
	Before, After *Upstream
}

// Roster holds the known upstreams. Use New.
type Roster struct {
	upstreams  map[string]Upstream
	lastUpdate time.Time
	// keepUntil holds, by instance, the time until which a missing upstream may be kept.
	keepUntil map[string]time.Time
	// graceEnd is the end of the grace period after the last outage.
	graceEnd time.Time
	// epoch is the store's epoch of the last list.
	epoch uint64
	// listed is the last list as it counts.
	listed     []Upstream
	departures departures
	// lapse is the time after which the store drops the registration of a silent upstream.
	lapse time.Duration
}

// Option configures a Roster.
type Option func(*Roster)

// WithLapse sets the time after which the store drops the registration of a silent upstream.
func WithLapse(d time.Duration) Option { return func(r *Roster) { r.lapse = d } }

// New returns an empty roster.
func New(opts ...Option) *Roster {
	r := &Roster{upstreams: map[string]Upstream{}, keepUntil: map[string]time.Time{}, departures: departures{}, lapse: defaultLapse}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Listed returns the last list as it counts: without the upstreams that had left before the store
// was restored, and with those leaving that have ever said so.
func (r *Roster) Listed() []Upstream { return r.listed }

// Hidden returns the upstreams that had left before the store was restored and that it may still
// list, for other processes.
func (r *Roster) Hidden(now time.Time) []Departure { return r.departures.hidden(now) }

// Hide takes over what another process returned as Hidden.
func (r *Roster) Hide(now time.Time, l []Departure) { r.departures.hide(now, l) }

// Announce records that an upstream has said itself that it is leaving, and returns the change; ok
// is false if there is no such upstream or that was known.
func (r *Roster) Announce(now time.Time, instance string) (c Change, ok bool) {
	u, ok := r.upstreams[instance]
	if !ok || u.Leaving {
		return c, false
	}
	r.departures.announce(now, incarnation{u.Instance, u.Born})
	before := u
	u.Leaving = true
	r.upstreams[instance] = u
	return Change{&before, &u}, true
}

// Update replaces the upstreams by a complete list and returns what changed. Upstreams that are
// missing from the list may be kept after an outage or a new epoch.
func (r *Roster) Update(now time.Time, l List) (changes []Change) {
	hadList := !r.lastUpdate.IsZero()
	isRestored := hadList && l.Epoch > r.epoch && r.epoch > 0
	if isRestored || hadList && now.Sub(r.lastUpdate) > minOutage {
		r.graceEnd = now.Add(gracePeriod)
	}
	if isRestored {
		r.departures.restored(now.Add(r.lapse))
	}
	r.lastUpdate, r.epoch = now, l.Epoch
	r.listed = r.departures.apply(now, l)
	next := make(map[string]Upstream, len(r.listed))
	for _, u := range r.listed {
		next[u.Instance] = u
		delete(r.keepUntil, u.Instance)
	}
	for i, u := range r.upstreams {
		if _, ok := next[i]; ok {
			continue
		}
		if r.keepMissing(now, i, u, next) {
			next[i] = u
			continue
		}
		delete(r.keepUntil, i)
		r.departures.left(now, incarnation{u.Instance, u.Born})
		changes = append(changes, Change{Before: &u})
	}
	for i, u := range next {
		old, ok := r.upstreams[i]
		switch {
		case !ok:
			changes = append(changes, Change{After: &u})
		case old != u:
			changes = append(changes, Change{Before: &old, After: &u})
		}
	}
	r.upstreams = next
	return changes
}

// keepMissing decides whether to keep an upstream that is missing from a list, as an outage of
// the store may be the only reason why its registration expired. When the upstream is first
// missing, graceEnd is stored in keepUntil as the time until which it may be kept, which later
// outages don't extend. An upstream that was leaving, or whose address another upstream has
// taken, is not kept.
func (r *Roster) keepMissing(now time.Time, instance string, u Upstream, next map[string]Upstream) bool {
	until, ok := r.keepUntil[instance]
	if !ok {
		until = r.graceEnd
		r.keepUntil[instance] = until
	}
	if u.Leaving || !now.Before(until) {
		return false
	}
	for _, o := range next {
		if o.Address == u.Address {
			return false
		}
	}
	return true
}

// Usable returns the upstreams that may get new requests, sorted by instance. Of several
// instances at one address only the newest is returned: registrations of earlier runs expire
// only some time after the process has ended.
func (r *Roster) Usable() (l []Upstream) {
	newest := map[string]Upstream{}
	for _, u := range r.upstreams {
		if o, ok := newest[u.Address]; !ok || u.Born > o.Born {
			newest[u.Address] = u
		}
	}
	for _, u := range newest {
		if !u.Leaving {
			l = append(l, u)
		}
	}
	slices.SortFunc(l, func(a, b Upstream) int { return strings.Compare(a.Instance, b.Instance) })
	return l
}
