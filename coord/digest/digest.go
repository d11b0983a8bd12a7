// Package digest synchronizes a list of upstreams between processes by sending deltas.
//
// It is made for lists that are large and change a little all the time: the full list is
// needed only by a process that starts, or that is more than maxChanges changes behind. A
// version of the list is identified by a digest, a hash of its content, which is updated with
// each change. The hash reveals a delta that was applied to another version than its base.
package digest

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// maxChanges is the number of past changes from which a delta can be computed.
const maxChanges = 64

// Delta is the difference between two versions of a list. Entries, the processes that accept
// callers' requests, send it to each other in JSON.
type Delta struct {
	// Full means that Changed is the complete new list and no base is needed.
	Full bool `json:"Whole"`
	// Changed holds the upstreams that were added or changed.
	Changed []roster.Upstream `json:"Changed"`
	// Removed holds the Instance fields of the upstreams that were removed.
	Removed []string `json:"Gone"`
	// Hash identifies the new version of the list.
	Hash uint64 `json:"Hash"`
}

// change is a step from one version of the list to the next.
type change struct {
	// baseHash is the hash of the list before the change.
	baseHash uint64
	// instances holds the Instance fields of the upstreams that were added, changed or removed.
	instances map[string]bool
}

// VersionedList is a list of upstreams with its recent changes. Use New.
type VersionedList struct {
	upstreams map[string]roster.Upstream
	hash      uint64
	// changes holds up to maxChanges changes, oldest first.
	changes []change
}

// New returns an empty list.
func New() *VersionedList { return &VersionedList{upstreams: map[string]roster.Upstream{}} }

// Hash returns the hash that identifies the current version of the list; 0 for an empty list.
func (l *VersionedList) Hash() uint64 { return l.hash }

// List returns the current upstreams, sorted by instance.
func (l *VersionedList) List() []roster.Upstream {
	return slices.SortedFunc(maps.Values(l.upstreams), func(a, b roster.Upstream) int { return strings.Compare(a.Instance, b.Instance) })
}

// hashUpstream returns the hash of one upstream. The hash of a list is the sum of those of its
// upstreams, so it doesn't depend on their order. The formatted text contains the names of the
// fields: if one is renamed, processes with the old and the new name can't exchange deltas. Fields
// that earlier releases lack are left out of it for the same reason; they never change while a
// process runs.
func hashUpstream(u roster.Upstream) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%+v", hashed{u.Instance, u.Service, u.Address, u.DataCentre, u.Leaving, u.Slots, u.Stage, u.Born}))
}

// hashed holds the fields of roster.Upstream that are in its hash.
type hashed struct {
	Instance   string
	Service    string
	Address    string
	DataCentre string
	Leaving    bool
	Slots      int
	Stage      wire.Stage
	Born       int64
}

// Set replaces the list and records the change.
func (l *VersionedList) Set(list []roster.Upstream) {
	next := make(map[string]roster.Upstream, len(list))
	c := change{baseHash: l.hash, instances: map[string]bool{}}
	for _, u := range list {
		next[u.Instance] = u
		old, ok := l.upstreams[u.Instance]
		if ok && old == u {
			continue
		}
		if ok {
			l.hash -= hashUpstream(old)
		}
		l.hash += hashUpstream(u)
		c.instances[u.Instance] = true
	}
	for i, u := range l.upstreams {
		if _, ok := next[i]; !ok {
			l.hash -= hashUpstream(u)
			c.instances[i] = true
		}
	}
	l.upstreams = next
	if len(c.instances) == 0 {
		return
	}
	l.changes = append(l.changes, c)
	if len(l.changes) > maxChanges {
		l.changes = l.changes[1:]
	}
}

// DeltaSince returns the delta from the version of the list with the given hash to the current
// one. It is full if that version is unknown or too old.
func (l *VersionedList) DeltaSince(hash uint64) (d Delta) {
	d.Hash = l.hash
	if hash == l.hash {
		return d
	}
	// The list may have had this hash several times. The search starts with the newest change,
	// because the delta from the most recent occurrence is the smallest.
	for i := len(l.changes) - 1; i >= 0; i-- {
		if l.changes[i].baseHash == hash {
			return l.delta(l.changes[i:])
		}
	}
	return Delta{Full: true, Changed: l.List(), Hash: l.hash}
}

// delta combines successive changes up to the current version.
func (l *VersionedList) delta(changes []change) Delta {
	d := Delta{Hash: l.hash}
	instances := map[string]bool{}
	for _, c := range changes {
		maps.Copy(instances, c.instances)
	}
	for _, i := range slices.Sorted(maps.Keys(instances)) {
		if u, ok := l.upstreams[i]; ok {
			d.Changed = append(d.Changed, u)
		} else {
			d.Removed = append(d.Removed, i)
		}
	}
	return d
}

// Applied returns the list that results from applying a delta to the current one, which stays
// as it is. It fails if the result doesn't have the hash in the delta.
func (l *VersionedList) Applied(d Delta) ([]roster.Upstream, error) {
	result := New()
	if !d.Full {
		result.upstreams, result.hash = maps.Clone(l.upstreams), l.hash
	}
	next := maps.Clone(result.upstreams)
	for _, u := range d.Changed {
		next[u.Instance] = u
	}
	for _, g := range d.Removed {
		delete(next, g)
	}
	result.Set(slices.Collect(maps.Values(next)))
	if result.hash != d.Hash {
		return nil, eris.Errorf("delta does not fit the current list: result has hash %x, want %x", result.hash, d.Hash)
	}
	return result.List(), nil
}
