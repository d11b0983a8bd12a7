package fleet

import (
	"maps"
	"slices"
	"sync"
)

// WithEvacuated returns a copy of the list, at a revision, in which the upstreams of some data centres take no
// new work: these data centres are evacuated, until a later list.
func (l *List) WithEvacuated(revision uint64, dataCentres []string) *List {
	c := *l
	c.revision = max(l.revision, revision)
	c.evacuated = slices.Sorted(slices.Values(dataCentres))
	c.vms = slices.Clone(l.vms)
	c.byName = maps.Clone(l.byName)
	c.cache = &sync.Map{}
	for i, v := range c.vms {
		v.Evacuated = v.Role == Agent && slices.Contains(c.evacuated, v.DataCentre)
		c.vms[i], c.byName[v.Name] = v, v
	}
	return &c
}

// Evacuated returns the data centres that are evacuated, sorted. Callers must not change the slice.
func (l *List) Evacuated() []string { return l.evacuated }

// TakesWork reports whether new work may be given to the VM's upstream.
func (v VM) TakesWork() bool { return v.State == Live && !v.Evacuated }
