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

// workspaceRoutesDoc has a route that belongs to workspace w, one for all workspaces and one
// that needs no API key.
var workspaceRoutesDoc = `
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

// newWorkspaceRouter returns a router with the settings of workspaceRoutesDoc.
func newWorkspaceRouter(t *testing.T, vms []fleet.VM) *router.Router {
	t.Helper()
	s, err := tree.FromDoc(1, []byte(workspaceRoutesDoc))
	if err != nil {
		t.Fatal(err)
	}
	r := router.New(1, router.WithVM("e0", "a"))
	r.Step(fake.Epoch, router.Configured{Tree: s, List: fleet.NewList(1, vms)})
	return r
}

func TestKeyGrantsOnlyItsWorkspace(t *testing.T) {
	for _, c := range []struct {
		key, route string
		// workspace is the workspace of the run; empty if the request is refused or
		// anonymous.
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
		r := newWorkspaceRouter(t, newAgents())
		call := plainCall("x", c.route, "")
		call.KeyHash = ""
		if c.key != "" {
			call.KeyHash = tree.HashKey(c.key)
		}
		e := r.Step(fake.Epoch, router.Arrived{ID: 1, Call: call})
		for _, v := range effectsOf[router.Reserve](e) {
			e = append(e, r.Step(fake.Epoch, router.ReserveAnswered{
				ID: 1, VM: v.VM, Reply: &wire.ReserveReply{Granted: v.Tokens, Holder: true},
			})...)
		}
		got := []any{"", false}
		for _, o := range effectsOf[router.OpenRun](e) {
			got[0] = o.Open.Workspace
		}
		for _, f := range effectsOf[router.Finish](e) {
			got[1] = f.Err.Code == fault.BadKey && f.Err.Ran == wire.Ran_RAN_NO
		}
		if diff := cmp.Diff([]any{c.workspace, c.refused}, got); diff != "" {
			t.Errorf("key %q on route %s: workspace and refusal differ (-want +got):\n%s", c.key, c.route, diff)
		}
	}
}

func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	vms := newAgents()
	for i := range vms {
		if vms[i].Name == "plain0" {
			vms[i].State = fleet.Leaving
		}
	}
	r := newWorkspaceRouter(t, vms)
	for i := range 50 {
		call := plainCall(fmt.Sprint("x", i), "open", "")
		call.KeyHash = ""
		for _, o := range effectsOf[router.OpenRun](r.Step(fake.Epoch, router.Arrived{ID: router.RequestID(i + 1), Call: call})) {
			if o.VM == "plain0" {
				t.Fatal("plain0 is leaving but was given a new run")
			}
		}
	}
}
