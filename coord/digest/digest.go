// Package digest keeps a list of upstreams that processes tell each other by its changes.
//
// It answers fleets whose list is large and changes a little all the time: the whole list
// is told once, to a process that starts. A list is named by a hash of its content that is
// brought up to date with each change, so a delta that was applied to another list than it
// was made for is noticed.
package digest

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cranberrypoint.example/coord/roster"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// steps is the number of changes that are remembered.
const steps = 64

// Delta turns one list into another.
type Delta struct {
	// Full means that Changed is the whole new list.
	Full   bool              `json:"Whole"`
	Changed []roster.Upstream `json:"Changed"`
	Removed    []string          `json:"Gone"`
	// Hash names the new list.
	Hash uint64 `json:"Hash"`
}

type step struct {
	from    uint64
	changed map[string]bool
}

// VersionedList is a list with its recent changes. Use New.
type VersionedList struct {
	all  map[string]roster.Upstream
	hash uint64
	// recent are the last changes, the oldest first.
	recent []step
}

// New returns an empty book.
func New() *VersionedList { return &VersionedList{all: map[string]roster.Upstream{}} }

// Hash names the present list; that of an empty one is 0.
func (b *VersionedList) Hash() uint64 { return b.hash }

// List returns the present list in the order of its instances.
func (b *VersionedList) List() []roster.Upstream {
	return slices.SortedFunc(maps.Values(b.all), func(a, b roster.Upstream) int { return strings.Compare(a.Instance, b.Instance) })
}

// hashOf is summed over a list, so that its order doesn't matter.
func hashOf(u roster.Upstream) uint64 { return xxhash.Sum64String(fmt.Sprintf("%+v", u)) }

// Set replaces the list.
func (b *VersionedList) Set(list []roster.Upstream) {
	next := make(map[string]roster.Upstream, len(list))
	s := step{from: b.hash, changed: map[string]bool{}}
	for _, u := range list {
		next[u.Instance] = u
		old, ok := b.all[u.Instance]
		if ok && old == u {
			continue
		}
		if ok {
			b.hash -= hashOf(old)
		}
		b.hash += hashOf(u)
		s.changed[u.Instance] = true
	}
	for n, u := range b.all {
		if _, ok := next[n]; !ok {
			b.hash -= hashOf(u)
			s.changed[n] = true
		}
	}
	b.all = next
	if len(s.changed) == 0 {
		return
	}
	b.recent = append(b.recent, s)
	if len(b.recent) > steps {
		b.recent = b.recent[1:]
	}
}

// DeltaSince returns what turns the list of a hash into the present one.
func (b *VersionedList) DeltaSince(hash uint64) (d Delta) {
	d.Hash = b.hash
	if hash == b.hash {
		return d
	}
	// The same list may have stood several times: the last time needs the least.
	for i := len(b.recent) - 1; i >= 0; i-- {
		if b.recent[i].from == hash {
			return b.delta(b.recent[i:])
		}
	}
	return Delta{Full: true, Changed: b.List(), Hash: b.hash}
}

func (b *VersionedList) delta(s []step) Delta {
	d := Delta{Hash: b.hash}
	names := map[string]bool{}
	for _, x := range s {
		maps.Copy(names, x.changed)
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if u, ok := b.all[n]; ok {
			d.Changed = append(d.Changed, u)
		} else {
			d.Removed = append(d.Removed, n)
		}
	}
	return d
}

// Applied returns the list that a delta makes of the present one.
func (b *VersionedList) Applied(d Delta) ([]roster.Upstream, error) {
	n := New()
	if !d.Full {
		n.all, n.hash = maps.Clone(b.all), b.hash
	}
	next := maps.Clone(n.all)
	for _, u := range d.Changed {
		next[u.Instance] = u
	}
	for _, g := range d.Removed {
		delete(next, g)
	}
	n.Set(slices.Collect(maps.Values(next)))
	if n.hash != d.Hash {
		return nil, eris.Errorf("the delta makes list %x, not %x", n.hash, d.Hash)
	}
	return n.List(), nil
}
