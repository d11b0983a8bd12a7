// Package roster is the reducer that keeps which upstreams there are, as the platform's
// store lists them.
//
// It answers a store that was away: entries may lapse meanwhile although the upstream
// lives, so what is missing in the first lists after an outage is kept for a grace time.
package roster

import (
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/wire"
)

const (
	// outage is the time without a list after which entries may have lapsed.
	outage = 3 * time.Second
	// grace is how long a missing entry is kept after an outage; live upstreams are listed
	// again by then.
	grace = 2200 * time.Millisecond
)

// Upstream is a process that runs requests.
type Upstream struct {
	// Instance is the name of one life of the upstream.
	Instance   string
	Service    string
	Address    string
	DataCentre string
	// Leaving upstreams get no new work.
	Leaving bool
	Slots   int
	// Stage is that of a model engine; STAGE_PLAIN for others.
	Stage wire.Stage
	// Born is the Unix time in milliseconds of the start.
	Born int64
}

// Change is a difference between two lists.
type Change struct {
	Before, After *Upstream
}

// Roster is the reducer. Use New.
type Roster struct {
	all    map[string]Upstream
	listed time.Time
	// missing are the deadlines after which entries that lapsed in an outage are dropped.
	missing map[string]time.Time
	// until is the end of the grace time after the newest outage.
	until time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{all: map[string]Upstream{}, missing: map[string]time.Time{}}
}

// Update takes in a whole list that was read at now, and returns what changed.
func (r *Roster) Update(now time.Time, list []Upstream) (changes []Change) {
	if !r.listed.IsZero() && now.Sub(r.listed) > outage {
		r.until = now.Add(grace)
	}
	r.listed = now
	next := make(map[string]Upstream, len(list))
	for _, u := range list {
		next[u.Instance] = u
		delete(r.missing, u.Instance)
	}
	for n, u := range r.all {
		if _, ok := next[n]; ok {
			continue
		}
		if r.keeps(now, n, u, next) {
			next[n] = u
			continue
		}
		delete(r.missing, n)
		changes = append(changes, Change{Before: &u})
	}
	for n, u := range next {
		old, ok := r.all[n]
		switch {
		case !ok:
			changes = append(changes, Change{After: &u})
		case old != u:
			changes = append(changes, Change{Before: &old, After: &u})
		}
	}
	r.all = next
	return changes
}

// keeps reports whether an entry that is missing from a list may have lapsed only
// because the store was away. A leaving upstream, or one whose address another has
// taken, is gone.
func (r *Roster) keeps(now time.Time, name string, u Upstream, next map[string]Upstream) bool {
	until, ok := r.missing[name]
	if !ok {
		until = r.until
		r.missing[name] = until
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

// Usable returns the upstreams that may get new work. Of several instances at one
// address only the newest can be there: entries of earlier lives lapse late.
func (r *Roster) Usable() (l []Upstream) {
	newest := map[string]Upstream{}
	for _, u := range r.all {
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
