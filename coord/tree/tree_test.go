package tree_test

import (
	"reflect"
	"strings"
	"testing"

	"cranberrypoint.example/coord/tree"
	"github.com/google/go-cmp/cmp"
)

const doc = `
root: {timeout: 9s, cost: 3}
services: {s: {kind: plain, cost: 4}}
workspaces:
  w: {rate: 7, keys: [2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824]}
routes:
  r: {service: s, path: /r, idempotent: true}
  own: {service: s, path: /r/own, parent: workspaces/w}
`

func mustDoc(t *testing.T, s string) *tree.Tree {
	t.Helper()
	x, err := tree.FromDoc(1, []byte(s))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// Explain pairs the fields of Values with those of Resolved by name, so each field must
// exist in both.
func TestExplainAgreesWithResolve(t *testing.T) {
	s := mustDoc(t, doc)
	x, err := s.Explain("routes/r")
	if err != nil {
		t.Fatal(err)
	}
	if n := reflect.TypeFor[tree.Resolved]().NumField(); len(x) != n {
		t.Errorf("%d values explained, want %d", len(x), n)
	}
	got := map[string]string{}
	for _, v := range x {
		got[v.Name] = v.Value + " " + v.From
	}
	for n, want := range map[string]string{
		"timeout": "9s root", "cost": "4 services/s", "idempotent": "true routes/r", "rate": "1000 built-in",
	} {
		if diff := cmp.Diff(want, got[n]); diff != "" {
			t.Errorf("%s (-want +got):\n%s", n, diff)
		}
	}
}

// A route whose path extends that of another must win over it, and must keep its parent
// workspace as its owner.
func TestLongestPathWinsAndKeepsWorkspace(t *testing.T) {
	s := mustDoc(t, doc)
	if n, _ := s.RouteOfPath("/r/own/1"); n != "own" {
		t.Errorf("route %q, want the one with the longest path", n)
	}
	w, ok := s.RouteWorkspace("own")
	if diff := cmp.Diff([]any{"w", true}, []any{w, ok}); diff != "" {
		t.Errorf("workspace (-want +got):\n%s", diff)
	}
}

// With must reject an invalid change with an error that names its key, and must not
// affect the tree that it is called on.
func TestInvalidChangeLeavesTreeUnchanged(t *testing.T) {
	s := mustDoc(t, doc)
	for key, value := range map[string]string{
		"routes/r":     "{service: s, path: /r, patience: -1s}",
		"workspaces/w": "{rate: 0}",
		"workspaces/x": "{keys: [2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824]}",
		"elsewhere/y":  "{}",
	} {
		_, err := s.With(2, []tree.Change{{Key: key, Value: []byte(value)}})
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v, want one that names the key", key, err)
		}
	}
	if r, _ := s.WorkspaceValues("w"); r.Rate != 7 || s.Revision() != 1 {
		t.Errorf("the tree has changed: rate %d, revision %d", r.Rate, s.Revision())
	}
}
