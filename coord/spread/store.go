package spread

import (
	"cmp"
	"slices"
	"strings"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// VMPrefix is the prefix of the platform's keys that hold the list of VMs.
const VMPrefix = "vms/"

// store holds the newest value of each key of the platform.
type store struct {
	items map[string]*wire.Change
	// revision is that of the newest state known whole.
	revision uint64
	// have is the revision that an unfinished transfer has reached, or revision.
	have uint64
	// dirty are the keys changed since the last good tree.
	dirty map[string]bool
	tree  *tree.Tree
	list  *fleet.List
	vms   uint64
}

func newStore() *store {
	return &store{
		items: map[string]*wire.Change{},
		dirty: map[string]bool{},
		tree:  tree.Empty(),
		list:  fleet.NewList(0, nil),
	}
}

// apply takes in changes up to a revision, which ends a transfer when whole is true.
// It reports whether a newer whole state is known.
func (s *store) apply(upto uint64, changes []*wire.Change, whole bool) bool {
	if upto <= s.have {
		return false
	}
	for _, c := range changes {
		old := s.items[c.Key]
		if old != nil && old.Revision >= c.Revision {
			continue
		}
		if c.Deleted && old != nil {
			// The last value tells where a VM was that is gone.
			c = &wire.Change{Key: c.Key, Value: old.Value, Revision: c.Revision, Created: old.Created, Deleted: true}
		}
		s.items[c.Key] = c
		if strings.HasPrefix(c.Key, VMPrefix) {
			s.vms = max(s.vms, c.Revision)
		}
		if tree.Owns(c.Key) {
			s.dirty[c.Key] = true
		}
	}
	s.have = upto
	if !whole {
		return false
	}
	s.revision = upto
	return true
}

// since returns the changes after a revision in the order of their revisions, at most
// about size bytes of them, and the revision up to which they are complete.
// During an unfinished transfer there are none.
func (s *store) since(revision uint64, size int) (changes []*wire.Change, upto uint64) {
	if s.have != s.revision {
		return nil, revision
	}
	for _, c := range s.items {
		if c.Revision > revision {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b *wire.Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	total := 0
	for i, c := range changes {
		total += len(c.Key) + len(c.Value) + changeOverhead
		if total > size && i > 0 && c.Revision > changes[i-1].Revision {
			return changes[:i], changes[i-1].Revision
		}
	}
	return changes, s.revision
}

// changeOverhead is about the encoded size of a change besides key and value, in bytes.
const changeOverhead = 12

// build returns the tree and the list at the current revision. The last good tree
// stays in force when the new one does not check.
func (s *store) build() error {
	s.buildList()
	if len(s.dirty) == 0 {
		return nil
	}
	var changes []tree.Change
	for k := range s.dirty {
		c := s.items[k]
		changes = append(changes, tree.Change{Key: k, Value: c.Value, Deleted: c.Deleted})
	}
	slices.SortFunc(changes, func(a, b tree.Change) int { return cmp.Compare(a.Key, b.Key) })
	t, err := s.tree.With(s.revision, changes)
	if err != nil {
		return err
	}
	s.tree = t
	clear(s.dirty)
	return nil
}

func (s *store) buildList() {
	if s.vms == s.list.Revision() {
		return
	}
	var vms []fleet.VM
	var gone []fleet.RemovedVM
	for k, c := range s.items {
		name, ok := strings.CutPrefix(k, VMPrefix)
		if !ok {
			continue
		}
		v, err := fleet.DecodeVM(c.Value)
		v.CreatedRevision = c.Created
		switch {
		case c.Deleted:
			v.Name = name
			gone = append(gone, fleet.RemovedVM{VM: v, RemovedRevision: c.Revision})
		case err == nil:
			vms = append(vms, v)
		}
	}
	s.list = fleet.NewList(s.vms, vms).WithRemovedVMs(gone)
}
