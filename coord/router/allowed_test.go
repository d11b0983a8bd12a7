package router_test

import (
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

// newTwoCentreHarness returns a harness whose agents are in the data centres a and b by the number in their names.
func newTwoCentreHarness(t *testing.T, seed uint64, opts ...router.Option) *harness {
	t.Helper()
	s, err := tree.FromDoc(1, []byte(settingsDoc))
	if err != nil {
		t.Fatal(err)
	}
	x := &harness{t, router.New(seed, append(opts, router.WithVM("e0", "a"))...), fake.Epoch}
	x.step(router.Configured{Tree: s, List: twoCentres()})
	return x
}

func twoCentres() *fleet.List {
	l := newAgents()
	for i := range l {
		l[i].DataCentre = centreOf(l[i].Name)
	}
	return fleet.NewList(1, l)
}

// centreOf returns the data centre of an agent of newTwoCentreHarness.
func centreOf(vm string) string { return map[byte]string{'0': "a", '1': "b"}[vm[len(vm)-1]] }

// evacuate puts a list into force in which data centres are evacuated, and returns the runs that it stops and opens.
func (x *harness) evacuate(revision uint64, dataCentres ...string) (stopped []router.StopRun, opened []router.OpenRun) {
	e := x.step(router.Configured{Tree: x.r.Tree(), List: twoCentres().WithEvacuated(revision, dataCentres)})
	return effectsOf[router.StopRun](e), effectsOf[router.OpenRun](e)
}

// TestEvacuationMovesWaitingCalls replays an evacuation while a call to a model waits for a slot, and another one while its
// prompt is read in the other data centre. What waits or is read there is stopped, and goes on elsewhere at once.
func TestEvacuationMovesWaitingCalls(t *testing.T) {
	read := 0
	for seed := range uint64(20) {
		x := newTwoCentreHarness(t, seed)
		main := x.openMainRun(generatedCall("gen"))
		there := centreOf(main.VM)
		stopped, opened := x.evacuate(2, there)
		if len(stopped) != 1 || stopped[0].Ref != main.Ref || len(opened) != 1 || centreOf(opened[0].VM) == there {
			t.Fatalf("seed %d: a call that waits in %s: stopped %v, opened %v", seed, there, stopped, opened)
		}
		main = opened[0]
		if stopped, opened := x.evacuate(3); len(stopped)+len(opened) > 0 {
			t.Errorf("seed %d: at the end of an evacuation: stopped %v, opened %v", seed, stopped, opened)
		}
		prefill := effectsOf[router.OpenRun](x.step(router.RunGranted{Ref: main.Ref}))[0]
		if there = centreOf(prefill.VM); there == centreOf(main.VM) {
			continue
		}
		read++
		stopped, opened = x.evacuate(4, there)
		if len(stopped) != 1 || stopped[0].Ref != prefill.Ref || len(opened) != 1 || centreOf(opened[0].VM) == there {
			t.Errorf("seed %d: a prompt that is read in %s: stopped %v, opened %v", seed, there, stopped, opened)
		}
	}
	if read == 0 {
		t.Error("no prompt was read in another data centre than its answer")
	}
}

// TestAnswerEndsWhereItRuns evacuates the data centre in which an answer has begun: it goes on there.
func TestAnswerEndsWhereItRuns(t *testing.T) {
	x := newTwoCentreHarness(t, 1)
	main, _ := x.openBothRuns()
	x.step(router.RunData{Ref: main.Ref, Data: &wire.Data{Data: []byte("some"), Tokens: 1}})
	if stopped, opened := x.evacuate(2, "a", "b"); len(stopped)+len(opened) > 0 {
		t.Errorf("stopped %v, opened %v", stopped, opened)
	}
}

// TestNoKVCacheOfEvacuatedEngine evacuates the data centre of the engine that has read a prompt, while the answer waits for
// its slot elsewhere. Nothing may be fetched from there: the prompt is read again.
func TestNoKVCacheOfEvacuatedEngine(t *testing.T) {
	moved := 0
	for seed := range uint64(20) {
		x := newTwoCentreHarness(t, seed, router.WithPolicy(router.Policy{Choice: router.TwoChoices}))
		prefill := x.openMainRun(generatedCall("gen"))
		x.step(router.RunGranted{Ref: prefill.Ref})
		main := effectsOf[router.OpenRun](x.step(router.RunDone{Ref: prefill.Ref, Done: &wire.Done{Handle: "h"}}))[0]
		there := centreOf(prefill.VM)
		if centreOf(main.VM) == there {
			continue
		}
		moved++
		x.evacuate(2, there)
		e := x.step(router.RunGranted{Ref: main.Ref})
		o := effectsOf[router.OpenRun](e)
		if len(effectsOf[router.FeedRun](e)) > 0 || len(o) != 1 || o[0].Ref.Stage != wire.Stage_STAGE_PREFILL || centreOf(o[0].VM) == there {
			t.Errorf("seed %d: effects %v; want the prompt to be read again outside %s", seed, e, there)
			continue
		}
		x.step(router.RunGranted{Ref: o[0].Ref})
		if f := effectsOf[router.FeedRun](x.step(router.RunDone{Ref: o[0].Ref, Done: &wire.Done{Handle: "h2"}})); len(f) != 1 || f[0].Feed.Handle != "h2" {
			t.Errorf("seed %d: fed %v, want the new KV cache", seed, f)
		}
	}
	if moved == 0 {
		t.Error("no prompt was read in another data centre than its answer")
	}
}

// TestEvacuationAndBack checks where runs begin while a data centre is evacuated, both are, and none is.
func TestEvacuationAndBack(t *testing.T) {
	x := newTwoCentreHarness(t, 1)
	revision := uint64(1)
	for _, c := range []struct {
		evacuated []string
		want      map[string]bool
	}{
		{nil, map[string]bool{"a": true, "b": true}},
		{[]string{"a"}, map[string]bool{"b": true}},
		{[]string{"a", "b"}, map[string]bool{}},
		{[]string{"b", "nowhere"}, map[string]bool{"a": true}},
		{nil, map[string]bool{"a": true, "b": true}},
	} {
		revision++
		x.evacuate(revision, c.evacuated...)
		got := map[string]bool{}
		for i := range 40 {
			id := router.RequestID(revision*100 + uint64(i))
			r := effectsOf[router.Reserve](x.step(router.Arrived{ID: id, Call: plainCall("often", "often", "")}))
			for _, o := range effectsOf[router.OpenRun](x.step(router.ReserveAnswered{ID: id, VM: r[0].VM, Reply: &wire.ReserveReply{Granted: r[0].Tokens, Holder: true}})) {
				got[centreOf(o.VM)] = true
			}
			x.step(router.CallerDisconnected{ID: id})
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%v evacuated: runs began in (-want +got):\n%s", c.evacuated, d)
		}
	}
}

// boundDoc returns settings in which the data centres a and b are in two regions, with lists of allowed regions.
func boundDoc(ofRoutes, ofWorkspace string) string {
	return `
root: {data-centres: [a], timeout: 20s, patience: 5s, retry-window: 15s, regions: {a: north, b: south}}
services:
  gen: {kind: generate}
  svc: {kind: plain}
workspaces:
  w: {rate: 1000000, burst: 10000000, keys: [` + tree.HashKey(apiKey) + `], allowed-regions: ` + ofWorkspace + `}
routes:
  m: {service: gen, model: m, allowed-regions: ` + ofRoutes + `}
  once: {service: svc, path: /once, idempotent: false, allowed-regions: ` + ofRoutes + `}
  often: {service: svc, path: /often, idempotent: true, allowed-regions: ` + ofRoutes + `}
`
}

// bind puts settings with lists of allowed regions into force, and returns the effects.
func (x *harness) bind(revision uint64, ofRoutes, ofWorkspace string) []router.Effect {
	x.t.Helper()
	s, err := tree.FromDoc(revision, []byte(boundDoc(ofRoutes, ofWorkspace)))
	if err != nil {
		x.t.Fatal(err)
	}
	return x.step(router.Configured{Tree: s, List: twoCentres()})
}

// TestRunsStayInTheirRegions checks where runs begin, of a model and of plain services, with an idempotency key and without,
// and that requests for which no region is left are refused at once without a time to come back.
func TestRunsStayInTheirRegions(t *testing.T) {
	for _, c := range []struct{ ofRoutes, ofWorkspace, want string }{
		{"[north]", "[]", "a"},
		{"[]", "[south]", "b"},
		{"[north, south]", "[south, west]", "b"},
		{"[north]", "[south]", ""},
		{"[west]", "[]", ""},
	} {
		for seed := range uint64(10) {
			for _, call := range []router.Call{generatedCall("gen"), plainCall("o", "once", ""), plainCall("k", "once", "key"), plainCall("f", "often", "")} {
				x := newTwoCentreHarness(t, seed)
				x.bind(2, c.ofRoutes, c.ofWorkspace)
				// A key may have been used before the lists: its window must pass.
				x.now = x.now.Add(16 * time.Second)
				v := effectsOf[router.Reserve](x.step(router.Arrived{ID: 1, Call: call}))
				e := x.step(router.ReserveAnswered{ID: 1, VM: v[0].VM, Reply: &wire.ReserveReply{Granted: v[0].Tokens, Holder: true}})
				opened := effectsOf[router.OpenRun](e)
				if len(opened) == 1 && call.Route == "m" {
					opened = append(opened, effectsOf[router.OpenRun](x.step(router.RunGranted{Ref: opened[0].Ref}))...)
				}
				for _, o := range opened {
					if centreOf(o.VM) != c.want {
						t.Errorf("%v, %s: opened at %s", c, call.Name, o.VM)
					}
				}
				var refused []router.Finish
				for _, f := range effectsOf[router.Finish](e) {
					if f.Err.Code == fault.OutOfRegion && f.Err.Ran == wire.Ran_RAN_NO && f.Err.RetryAt.IsZero() {
						refused = append(refused, f)
					}
				}
				if c.want == "" && len(refused) != 1 || c.want != "" && len(opened) == 0 {
					t.Errorf("%v, %s: effects %v", c, call.Name, e)
				}
			}
		}
	}
}

// TestRegionsChangeWhileWaiting changes the allowed regions while a call to a model waits for its slot, and while its prompt is
// read: it goes on in the other region, or is refused if none is left.
func TestRegionsChangeWhileWaiting(t *testing.T) {
	x := newTwoCentreHarness(t, 1)
	x.bind(2, "[north]", "[]")
	main := x.openMainRun(generatedCall("gen"))
	e := x.bind(3, "[south]", "[]")
	o := effectsOf[router.OpenRun](e)
	if s := effectsOf[router.StopRun](e); len(s) != 1 || s[0].Ref != main.Ref || len(o) != 1 || centreOf(o[0].VM) != "b" {
		t.Fatalf("a call that waits: effects %v", e)
	}
	prefill := effectsOf[router.OpenRun](x.step(router.RunGranted{Ref: o[0].Ref}))[0]
	e = x.bind(4, "[north, south]", "[north]")
	if s := effectsOf[router.StopRun](e); len(s) != 2 || s[1].Ref != prefill.Ref || centreOf(effectsOf[router.OpenRun](e)[0].VM) != "a" {
		t.Errorf("a call whose prompt is read: effects %v", e)
	}
	f := effectsOf[router.Finish](x.bind(5, "[north]", "[south]"))
	if len(f) != 1 || f[0].Err.Code != fault.OutOfRegion {
		t.Errorf("a call whose regions are gone: %v", f)
	}
}

// TestKeyIsNotRunInTwoRegions changes the allowed regions after a request under an idempotency key has run. A repetition
// within the retry window must not run elsewhere; one that its first upstream still may serve goes there, and after the window
// the key is new.
func TestKeyIsNotRunInTwoRegions(t *testing.T) {
	for _, c := range []struct {
		name, before, after string
		wait                time.Duration
		ran                 bool
	}{
		{"moved", "[north]", "[south]", time.Second, true},
		{"moved long ago", "[north]", "[south]", 16 * time.Second, false},
		{"the same region", "[north]", "[north, west]", time.Second, false},
	} {
		x := newTwoCentreHarness(t, 1)
		x.bind(2, c.before, "[]")
		call := plainCall("k", "once", "key")
		call.Digest = "d"
		first := x.openMainRun(call)
		x.step(router.RunGranted{Ref: first.Ref})
		x.step(router.CallerDisconnected{ID: 1})
		x.bind(3, c.after, "[]")
		x.now = x.now.Add(c.wait)
		v := effectsOf[router.Reserve](x.step(router.Arrived{ID: 2, Call: call}))
		e := x.step(router.ReserveAnswered{ID: 2, VM: v[0].VM, Reply: &wire.ReserveReply{Granted: v[0].Tokens, Holder: true}})
		isUnknown := false
		for _, f := range effectsOf[router.Finish](e) {
			isUnknown = f.Err.Code == fault.OutcomeForgotten && f.Err.Ran == wire.Ran_RAN_UNKNOWN
		}
		if d := cmp.Diff([]any{c.ran, !c.ran}, []any{isUnknown, len(effectsOf[router.OpenRun](e)) == 1}); d != "" {
			t.Errorf("%s: unknown and run, effects %v (-want +got):\n%s", c.name, e, d)
		}
	}
}
