package router_test

import (
	"fmt"
	"testing"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

var ownedDoc = `
root: {data-centres: [a]}
services:
  svc: {kind: plain}
workspaces:
  w: {rate: 1000, burst: 1000, keys: [` + tree.HashKey("k") + `]}
  other: {rate: 1000, burst: 1000, keys: [` + tree.HashKey("o") + `]}
routes:
  mine: {service: svc, path: /mine, parent: workspaces/w}
  all: {service: svc, path: /all}
  open: {service: svc, path: /open, open: true}
`

func ownedRouter(t *testing.T, vms []fleet.VM) *router.Router {
	t.Helper()
	s, err := tree.FromDoc(1, []byte(ownedDoc))
	if err != nil {
		t.Fatal(err)
	}
	r := router.New(1, router.WithVM("e0", "a"))
	r.Step(fake.Epoch, router.Configured{Tree: s, List: fleet.NewList(1, vms)})
	return r
}

func TestKeyRunsOnlyItsWorkspace(t *testing.T) {
	for _, c := range []struct {
		key, route string
		// workspace is that of the run; empty when the request is refused or anonymous.
		workspace string
		refused   bool
	}{
		{"k", "mine", "w", false},
		{"o", "mine", "", true},
		{"o", "all", "other", false},
		{"wrong", "all", "", true},
		{"", "all", "", true},
		{"", "open", "", false},
		{"wrong", "open", "", false},
	} {
		r := ownedRouter(t, agents())
		call := plain("x", c.route, "")
		call.KeyHash = ""
		if c.key != "" {
			call.KeyHash = tree.HashKey(c.key)
		}
		e := r.Step(fake.Epoch, router.Arrived{ID: 1, Call: call})
		for _, q := range only[router.Reserve](e) {
			e = append(e, r.Step(fake.Epoch, router.ReserveAnswered{
				ID: 1, VM: q.VM, Reply: &wire.ReserveReply{Granted: q.Tokens, Holder: true},
			})...)
		}
		got := []any{"", false}
		for _, o := range only[router.OpenRun](e) {
			got[0] = o.Open.Workspace
		}
		for _, f := range only[router.Finish](e) {
			got[1] = f.Err.Code == fault.BadKey && f.Err.Ran == wire.Ran_RAN_NO
		}
		if diff := cmp.Diff([]any{c.workspace, c.refused}, got); diff != "" {
			t.Errorf("key %q on route %s: workspace and refusal (-want +got):\n%s", c.key, c.route, diff)
		}
	}
}

func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	vms := agents()
	for i := range vms {
		if vms[i].Name == "plain0" {
			vms[i].State = fleet.Leaving
		}
	}
	r := ownedRouter(t, vms)
	for i := range 50 {
		call := plain(fmt.Sprint("x", i), "open", "")
		call.KeyHash = ""
		for _, o := range only[router.OpenRun](r.Step(fake.Epoch, router.Arrived{ID: router.RequestID(i + 1), Call: call})) {
			if o.VM == "plain0" {
				t.Fatal("a leaving upstream is given new work")
			}
		}
	}
}
