package tree

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestBounds checks which lists of regions bind a request: those of its route and workspace, and of their ancestors.
func TestBounds(t *testing.T) {
	s, err := FromDoc(1, []byte(`
root: {regions: {a: north, b: south}}
services: {svc: {kind: plain}}
workspaces:
  all: {allowed-regions: []}
  group: {allowed-regions: [north, west]}
  member: {parent: workspaces/group, allowed-regions: [north, south]}
  stranger: {allowed-regions: [mars, mars, ""]}
routes:
  open: {service: svc, path: /open}
  bound: {service: svc, path: /bound, allowed-regions: [north, south]}
  owned: {service: svc, path: /owned, parent: workspaces/group}
`))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ route, workspace, want string }{
		{"open", "", "any"},
		{"open", "all", "any"},
		{"open", "nobody", "any"},
		{"bound", "", "north, south"},
		{"bound", "group", "north"},
		{"open", "member", "north"},
		{"owned", "", "north, west"},
		{"owned", "member", "north"},
		{"open", "stranger", "mars"},
		{"bound", "stranger", "none"},
	} {
		if d := cmp.Diff(c.want, s.Bounds(c.route, c.workspace).String()); d != "" {
			t.Errorf("route %s, workspace %q (-want +got):\n%s", c.route, c.workspace, d)
		}
	}
	if d := cmp.Diff([]string{"north", "south", ""}, []string{s.Region("a"), s.Region("b"), s.Region("c")}); d != "" {
		t.Errorf("regions of a, b and c (-want +got):\n%s", d)
	}
	if _, err := FromDoc(1, []byte("workspaces: {w: {allowed-regions: 5}}")); err == nil {
		t.Error("a list that is none is accepted")
	}
}
