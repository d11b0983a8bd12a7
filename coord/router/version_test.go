package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// newVersionHarness is newHarness with decode engines of the given versions.
func newVersionHarness(t *testing.T, seed uint64, versions ...string) *harness {
	s, err := tree.FromDoc(1, []byte(settingsDoc))
	if err != nil {
		t.Fatal(err)
	}
	x := &harness{t, router.New(seed, router.WithVM("e0", "a")), fake.Epoch}
	x.step(router.Configured{Tree: s, List: fleet.NewList(1, versionVMs(versions...))})
	return x
}

// versionVMs returns agents of decode engines of the given versions, named decode0 and so on, and of one upstream of
// each other stage.
func versionVMs(versions ...string) []fleet.VM {
	vms := []fleet.VM{{Name: "prefill0", Role: fleet.Agent, DataCentre: "a", Address: "prefill0", Service: "gen", Stage: fleet.Prefill, State: fleet.Live}}
	for i, v := range versions {
		n := fmt.Sprintf("decode%d", i)
		vms = append(vms, fleet.VM{Name: n, Role: fleet.Agent, DataCentre: "a", Address: n, Service: "gen", Stage: fleet.Decode, State: fleet.Live, Version: v})
	}
	return append(vms, fleet.VM{Name: "plain0", Role: fleet.Agent, DataCentre: "a", Address: "plain0", Service: "svc", Stage: fleet.Plain, State: fleet.Live})
}

// brokenOff is the failure of a run that has broken off.
var brokenOff = fault.NotRun(fault.UpstreamError, "broke off").WithRan(wire.Ran_RAN_UNKNOWN)

// withoutVM returns the VMs of a version harness with two decode engines, but for one.
func (x *harness) withoutVM(name string) []fleet.VM {
	return slices.DeleteFunc(versionVMs("v1", "v2"), func(v fleet.VM) bool { return v.Name == name })
}

// openBothRuns opens the runs of a call to a model until its decode run can begin.
func (x *harness) openBothRuns() (main, prefill router.OpenRun) {
	x.t.Helper()
	main = x.openMainRun(generatedCall("gen"))
	p := effectsOf[router.OpenRun](x.step(router.RunGranted{Ref: main.Ref}))
	if len(p) != 1 {
		x.t.Fatalf("%d prefill runs opened, want 1", len(p))
	}
	x.step(router.RunGranted{Ref: p[0].Ref})
	x.step(router.RunDone{Ref: p[0].Ref, Done: &wire.Done{Handle: "h"}})
	return main, p[0]
}

// failAfterData lets the main run of a call relay data and fail, and returns where it ran and the effects.
func (x *harness) failAfterData() (vm string, e []router.Effect) {
	x.t.Helper()
	o, _ := x.openBothRuns()
	x.step(router.RunData{Ref: o.Ref, Data: &wire.Data{Data: []byte("some"), Tokens: 1}})
	return o.VM, x.step(router.RunFailed{Ref: o.Ref, Err: brokenOff})
}

// TestAnswerGoesOnAtItsVersion guards against an answer that holds text of engines of two versions: one that has begun
// goes on only at the version that began it, if need be where it failed, and is failed at once if no engine
// of that version is listed any more.
func TestAnswerGoesOnAtItsVersion(t *testing.T) {
	versions := map[string]string{"decode0": "v1", "decode1": "v2", "decode2": "v1", "decode3": "v2"}
	for seed := range uint64(fake.Checks(20)) {
		x := newVersionHarness(t, seed, "v1", "v2", "v1", "v2")
		vm, e := x.failAfterData()
		o := effectsOf[router.OpenRun](e)
		if len(o) != 1 || o[0].VM == vm {
			t.Fatalf("seed %d: opened %v, want one run at another engine than %s", seed, o, vm)
		}
		if d := cmp.Diff(versions[vm], versions[o[0].VM]); d != "" {
			t.Errorf("seed %d: version (-began +went on):\n%s", seed, d)
		}
		x = newVersionHarness(t, seed, "v1", "v2")
		vm, e = x.failAfterData()
		if o := effectsOf[router.OpenRun](e); len(o) != 0 {
			t.Errorf("seed %d: opened %v at once, want to wait for %s", seed, o, vm)
		}
		x.now = x.now.Add(time.Second)
		if o := effectsOf[router.OpenRun](x.step(router.Ticked{})); len(o) != 1 || o[0].VM != vm {
			t.Errorf("seed %d: opened %v, want one run at %s", seed, o, vm)
		}
	}
}

// TestAnswerOfGoneVersionFails removes the only engine of a version after it has begun an answer.
func TestAnswerOfGoneVersionFails(t *testing.T) {
	for seed := range uint64(fake.Checks(20)) {
		x := newVersionHarness(t, seed, "v1", "v2")
		o, p := x.openBothRuns()
		x.step(router.RunData{Ref: o.Ref, Data: &wire.Data{Data: []byte("some"), Tokens: 1}})
		x.step(router.Configured{Tree: x.r.Tree(), List: fleet.NewList(2, x.withoutVM(o.VM))})
		f := effectsOf[router.Finish](x.step(router.RunFailed{Ref: o.Ref, Err: brokenOff}))
		if len(f) != 1 || f[0].Err.Code != fault.VersionGone || f[0].Err.Ran != wire.Ran_RAN_YES {
			t.Errorf("seed %d: prefill at %s, effects %v; want a failure as the version is gone", seed, p.VM, f)
		}
	}
}
