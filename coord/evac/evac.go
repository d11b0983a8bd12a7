// Package evac tracks the data centres that an operator has evacuated: their upstreams get no new
// work until the evacuation is withdrawn.
//
// It answers an operator who empties a data centre, at times several of them in quick succession,
// while processes learn of it from the platform's store, from each other and late. Lists are
// ordered by their position in the store, so that an older one never brings back what a newer one
// has ended. A store that was restored from a copy may have lost an evacuation; it stays in force
// for as long as the operator needs to write it again.
//
// The caller passes the time. A Table is safe for concurrent use and does no I/O.
package evac

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// restoreGrace is how long an evacuation that a restored store doesn't have stays in force.
	restoreGrace = 4 * time.Second
	// maxDataCentres bounds the data centres of a list. It is far above the number that any
	// deployment has; further ones are ignored.
	maxDataCentres = 256
)

// List holds the data centres that are evacuated as of one state of the store.
type List struct {
	// Epoch and Revision are the position in the history of the store; see calls.Position.
	Epoch, Revision uint64
	// ReadAt is when the read of the store began. Of two lists at one position, the one that was
	// read later counts.
	ReadAt      time.Time
	DataCentres []string
	// Kept are evacuations that another process keeps in force although the store has lost them.
	Kept []Kept
}

// Kept is an evacuation that the store has lost in a restore, and that stays in force until a time.
type Kept struct {
	DataCentre string
	Until      time.Time
}

// isNewer reports whether a list replaces an older one.
func (l List) isNewer(o List) bool {
	switch {
	case l.Epoch != o.Epoch:
		return l.Epoch > o.Epoch
	case l.Revision != o.Revision:
		return l.Revision > o.Revision
	}
	return l.ReadAt.After(o.ReadAt)
}

// Change says which data centres were evacuated and which were taken back, each sorted.
type Change struct {
	Began, Ended []string
}

// IsEmpty reports whether nothing changed.
func (c Change) IsEmpty() bool { return len(c.Began)+len(c.Ended) == 0 }

// Table holds the evacuations in force. Use New.
type Table struct {
	mu sync.Mutex
	// last is the newest list; isKnown is false before the first.
	last    List
	isKnown bool
	// inForce holds the end of each evacuation; zero while the newest list has it.
	inForce map[string]time.Time
	// wasUsed is true once any evacuation was known.
	wasUsed bool
}

// New returns an empty table.
func New() *Table { return &Table{inForce: map[string]time.Time{}} }

// Update replaces the evacuations by those of a list, unless a newer list is known. After a
// restore of the store, those that are missing stay until a later update ends them.
func (t *Table) Update(now time.Time, l List) (c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isKnown && !l.isNewer(t.last) {
		return c
	}
	isRestored := t.isKnown && t.last.Epoch > 0 && l.Epoch > t.last.Epoch
	t.last, t.isKnown = l, true
	listed := map[string]bool{}
	for _, d := range l.DataCentres[:min(len(l.DataCentres), maxDataCentres)] {
		listed[d] = true
		if _, ok := t.inForce[d]; !ok {
			c.Began = append(c.Began, d)
		}
		t.inForce[d] = time.Time{}
	}
	for d, end := range t.inForce {
		switch {
		case listed[d]:
		case isRestored:
			// It may have been written again since an earlier restore, unseen by this process.
			t.inForce[d] = now.Add(restoreGrace)
		case end.IsZero() || !now.Before(end):
			delete(t.inForce, d)
			c.Ended = append(c.Ended, d)
		}
	}
	for _, k := range l.Kept[:min(len(l.Kept), maxDataCentres)] {
		if _, ok := t.inForce[k.DataCentre]; !ok && now.Before(k.Until) {
			t.inForce[k.DataCentre] = k.Until
			c.Began = append(c.Began, k.DataCentre)
		}
	}
	t.wasUsed = t.wasUsed || len(t.inForce) > 0
	slices.Sort(c.Began)
	slices.Sort(c.Ended)
	return c
}

// Contains reports whether a data centre is evacuated.
func (t *Table) Contains(dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.inForce[dataCentre]
	return ok
}

// Listed returns the data centres of the newest list, and those that are kept although it lacks them.
func (t *Table) Listed() (listed []string, kept []Kept) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range slices.Sorted(maps.Keys(t.inForce)) {
		if end := t.inForce[d]; !end.IsZero() {
			kept = append(kept, Kept{d, end})
			continue
		}
		listed = append(listed, d)
	}
	return listed, kept
}

// DataCentres returns the data centres that are evacuated, sorted.
func (t *Table) DataCentres() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.inForce))
}
