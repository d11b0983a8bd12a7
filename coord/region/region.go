// Package region decides in which regions a request may run.
//
// It answers load that is bound to places: the requests of a route, or of a workspace, must not leave some
// regions, while upstreams elsewhere are idle and attract them, most of all when those in the allowed regions
// fail or are full. Both lists bind where both are given, whatever the load is.
//
// Nothing here does I/O. A Bounds is immutable.
package region

import (
	"slices"
	"strings"
)

// Bounds are the regions in which a request may run. The zero value allows all.
type Bounds struct {
	// lists bind all of them; none is empty.
	lists [][]string
}

// New returns the bounds that lists of regions set together. An empty list restricts nothing.
func New(lists ...[]string) (b Bounds) {
	for _, l := range lists {
		if len(l) > 0 {
			b.lists = append(b.lists, l)
		}
	}
	return b
}

// Restricts reports whether there are regions that aren't allowed.
func (b Bounds) Restricts() bool { return len(b.lists) > 0 }

// Allows reports whether a request may run in a region. If the region isn't known, that is, empty, it
// may only where nothing is restricted.
func (b Bounds) Allows(region string) bool {
	for _, l := range b.lists {
		if region == "" || !slices.Contains(l, region) {
			return false
		}
	}
	return true
}

// Allowed returns the regions that all lists have in common, sorted; nil if nothing is restricted or no
// region is left.
func (b Bounds) Allowed() (names []string) {
	if !b.Restricts() {
		return nil
	}
	for _, n := range b.lists[0] {
		if b.Allows(n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// String returns the allowed regions for messages: their names, "any" or "none".
func (b Bounds) String() string {
	names := b.Allowed()
	switch {
	case !b.Restricts():
		return "any"
	case len(names) == 0:
		return "none"
	}
	return strings.Join(names, ", ")
}
