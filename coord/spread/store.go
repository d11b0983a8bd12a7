package spread

import (
	"cmp"
	"slices"
	"strings"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// VMPrefix is the prefix of the platform's keys that hold VMs. The rest of such a key is
// the name of the VM, its value a fleet.VM as JSON.
const VMPrefix = "vms/"

// EvacuatedPrefix is the prefix of the platform's keys that evacuate a data centre, the rest of such a key, as
// long as the key exists. Its value isn't read.
const EvacuatedPrefix = "evacuated/"

// store holds the newest change of each key of the platform, and the settings tree and
// list of VMs that were built from them.
type store struct {
	items map[string]*wire.Change
	// revision is the newest revision whose state is complete.
	revision uint64
	// received is the revision up to which changes were received. It is larger than
	// revision while a transfer is unfinished: some parts of the changes up to the
	// sender's newest revision have arrived and others not yet.
	received uint64
	// changedKeys are the keys of settings that changed since the last valid tree.
	changedKeys map[string]bool
	tree        *tree.Tree
	list        *fleet.List
	// vmsRevision is the revision of the newest change of a VM, or of what is evacuated.
	vmsRevision uint64
}

func newStore() *store {
	return &store{
		items:       map[string]*wire.Change{},
		changedKeys: map[string]bool{},
		tree:        tree.Empty(),
		list:        fleet.NewList(0, nil),
	}
}

// apply stores changes up to a revision; complete is true when they are the last part of a
// transfer. It reports whether the store has reached a newer complete state.
func (s *store) apply(upto uint64, changes []*wire.Change, complete bool) bool {
	if upto <= s.received {
		return false
	}
	for _, c := range changes {
		old := s.items[c.Key]
		if old != nil && old.Revision >= c.Revision {
			continue
		}
		if c.Deleted && old != nil {
			// The last value is kept because only it says which data centre a removed VM was in.
			c = &wire.Change{Key: c.Key, Value: old.Value, Revision: c.Revision, Created: old.Created, Deleted: true}
		}
		s.items[c.Key] = c
		if strings.HasPrefix(c.Key, VMPrefix) || strings.HasPrefix(c.Key, EvacuatedPrefix) {
			s.vmsRevision = max(s.vmsRevision, c.Revision)
		}
		if tree.Owns(c.Key) {
			s.changedKeys[c.Key] = true
		}
	}
	s.received = upto
	if !complete {
		return false
	}
	s.revision = upto
	return true
}

// since returns the changes after a revision in the order of their revisions, and the
// revision up to which they are complete. It stops after about maxBytes, but doesn't
// split the changes of one revision. It returns none while a transfer is unfinished.
func (s *store) since(revision uint64, maxBytes int) (changes []*wire.Change, upto uint64) {
	if s.received != s.revision {
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
		total += len(c.Key) + len(c.Value) + changeOverheadBytes
		if total > maxBytes && i > 0 && c.Revision > changes[i-1].Revision {
			return changes[:i], changes[i-1].Revision
		}
	}
	return changes, s.revision
}

// changeOverheadBytes is the approximate encoded size of a change besides key and value.
const changeOverheadBytes = 12

// rebuild updates the tree and the list to the current revision. If the new settings are
// invalid, it returns the reason and keeps the last valid tree; the list is updated all
// the same.
func (s *store) rebuild() error {
	s.rebuildList()
	if len(s.changedKeys) == 0 {
		return nil
	}
	var changes []tree.Change
	for k := range s.changedKeys {
		c := s.items[k]
		changes = append(changes, tree.Change{Key: k, Value: c.Value, Deleted: c.Deleted})
	}
	slices.SortFunc(changes, func(a, b tree.Change) int { return cmp.Compare(a.Key, b.Key) })
	t, err := s.tree.With(s.revision, changes)
	if err != nil {
		return err
	}
	s.tree = t
	clear(s.changedKeys)
	return nil
}

// rebuildList builds the list of VMs anew if a VM, or what is evacuated, has changed. A VM that can't be decoded
// is left out.
func (s *store) rebuildList() {
	if s.vmsRevision == s.list.Revision() {
		return
	}
	var vms []fleet.VM
	var removed []fleet.RemovedVM
	var evacuated []string
	for k, c := range s.items {
		if dc, ok := strings.CutPrefix(k, EvacuatedPrefix); ok && !c.Deleted {
			evacuated = append(evacuated, dc)
		}
		name, ok := strings.CutPrefix(k, VMPrefix)
		if !ok {
			continue
		}
		v, err := fleet.DecodeVM(c.Value)
		v.CreatedRevision = c.Created
		switch {
		case c.Deleted:
			v.Name = name
			removed = append(removed, fleet.RemovedVM{VM: v, RemovedRevision: c.Revision})
		case err == nil:
			vms = append(vms, v)
		}
	}
	s.list = fleet.NewList(s.vmsRevision, vms).WithRemovedVMs(removed).WithEvacuated(s.vmsRevision, evacuated)
}
