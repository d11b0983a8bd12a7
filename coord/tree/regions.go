package tree

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"cranberrypoint.example/coord/region"
)

// bindRegions indexes the lists of regions that bind the item at levels[0], whose ancestors follow.
func (t *Tree) bindRegions(key string, levels []level) {
	for _, l := range levels {
		kind, name, _ := strings.Cut(l.key, "/")
		var names []string
		switch kind + "/" {
		case WorkspacePrefix:
			names = t.workspaces[name].AllowedRegions
		case RoutePrefix:
			names = t.routes[name].AllowedRegions
		}
		if len(names) > 0 {
			t.allowedRegions[key] = append(t.allowedRegions[key], names)
		}
	}
}

// Bounds returns the regions in which the requests of a workspace on a route may run. The lists of both bind,
// and those of their ancestors. The workspace is empty for requests without one.
func (t *Tree) Bounds(route, workspace string) region.Bounds {
	if len(t.allowedRegions) == 0 {
		return region.Bounds{}
	}
	ofRoute, ofWorkspace := t.allowedRegions[RoutePrefix+route], t.allowedRegions[WorkspacePrefix+workspace]
	return region.New(slices.Concat(ofRoute, ofWorkspace)...)
}

// Region returns the region of a data centre, or "" if the tree doesn't name it.
func (t *Tree) Region(dataCentre string) string { return t.root.Regions[dataCentre] }

// SameRegions reports whether two trees name the same regions of data centres and the same lists of allowed
// regions.
func (t *Tree) SameRegions(o *Tree) bool {
	return maps.Equal(t.root.Regions, o.root.Regions) && reflect.DeepEqual(t.allowedRegions, o.allowedRegions)
}
