package router_test

import (
	"testing"

	"cranberrypoint.example/coord/fake"
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
