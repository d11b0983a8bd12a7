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

// harness steps a router with events that a test chooses.
type harness struct {
	t   *testing.T
	r   *router.Router
	now time.Time
}

func newHarness(t *testing.T) *harness {
	s, err := tree.FromDoc(1, []byte(settingsDoc))
	if err != nil {
		t.Fatal(err)
	}
	x := &harness{t, router.New(1, router.WithVM("e0", "a")), fake.Epoch}
	x.step(router.Configured{Tree: s, List: fleet.NewList(1, newAgents())})
	return x
}

func (x *harness) step(e router.Event) []router.Effect { return x.r.Step(x.now, e) }

// effectsOf returns the effects of type T.
func effectsOf[T router.Effect](effects []router.Effect) []T {
	var r []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			r = append(r, v)
		}
	}
	return r
}

// openMainRun sends a call, grants its tokens and returns the main run that is opened.
func (x *harness) openMainRun(c router.Call) router.OpenRun {
	x.t.Helper()
	v := effectsOf[router.Reserve](x.step(router.Arrived{ID: 1, Call: c}))
	if len(v) != 1 {
		x.t.Fatalf("%d reservations, want 1", len(v))
	}
	o := effectsOf[router.OpenRun](x.step(router.ReserveAnswered{
		ID: 1, VM: v[0].VM, Reply: &wire.ReserveReply{Granted: v[0].Tokens, Holder: true},
	}))
	if len(o) != 1 {
		x.t.Fatalf("%d runs opened, want 1", len(o))
	}
	return o[0]
}

// exhaustResumes reports the stream of a run as lost until the router no longer resumes it,
// and returns the last effects.
func (x *harness) exhaustResumes(f router.RunRef) []router.Effect {
	for {
		e := x.step(router.RunLost{Ref: f, Sent: true})
		if len(effectsOf[router.ResumeRun](e)) == 0 {
			return e
		}
	}
}

// TestOutcomeOfLostRunIsQueriedBeforeRetry checks that a lost run of a request that isn't
// idempotent is retried only once the agent has reported that it was not executed.
func TestOutcomeOfLostRunIsQueriedBeforeRetry(t *testing.T) {
	x := newHarness(t)
	o := x.openMainRun(plainCall("once1", "once", ""))
	e := x.exhaustResumes(o.Ref)
	if n := len(effectsOf[router.OpenRun](e)); n != 0 {
		t.Fatalf("%d runs opened before the agent reported the outcome, want 0", n)
	}
	a := effectsOf[router.Cancel](e)
	if len(a) != 1 || a[0].VM != o.VM {
		t.Fatalf("cancel effects %v, want one for %s", a, o.VM)
	}
	e = x.step(router.CancelAnswered{ID: 1, VM: o.VM, Ran: wire.Ran_RAN_NO})
	again := effectsOf[router.OpenRun](e)
	if len(again) != 1 || again[0].VM == o.VM {
		t.Fatalf("opened %v, want one run at another VM", again)
	}
}

// TestLostRunThatMayHaveExecutedIsNotRetried checks that the caller gets an error with the
// reported outcome instead.
func TestLostRunThatMayHaveExecutedIsNotRetried(t *testing.T) {
	for _, ran := range []wire.Ran{wire.Ran_RAN_UNKNOWN, wire.Ran_RAN_YES} {
		x := newHarness(t)
		o := x.openMainRun(plainCall("once1", "once", ""))
		x.exhaustResumes(o.Ref)
		e := x.step(router.CancelAnswered{ID: 1, VM: o.VM, Ran: ran})
		f := effectsOf[router.Finish](e)
		if len(f) != 1 || len(effectsOf[router.OpenRun](e)) != 0 {
			t.Fatalf("effects %v, want one Finish and no OpenRun", e)
		}
		if diff := cmp.Diff([]any{fault.OutcomeUnknown, ran}, []any{f[0].Err.Code, f[0].Err.Ran}); diff != "" {
			t.Errorf("error code and outcome (-want +got):\n%s", diff)
		}
	}
}

// TestDeduplicatedRequestIsNotRetriedWhenItsOwnerIsUnreachable guards against executing a
// request twice: its owner may still be reachable from other entries.
func TestDeduplicatedRequestIsNotRetriedWhenItsOwnerIsUnreachable(t *testing.T) {
	x := newHarness(t)
	o := x.openMainRun(plainCall("k", "once", "key"))
	e := x.step(router.RunLost{Ref: o.Ref})
	f := effectsOf[router.Finish](e)
	if len(f) != 1 || f[0].Err.Ran != wire.Ran_RAN_NO || len(effectsOf[router.OpenRun](e)) != 0 {
		t.Fatalf("effects %v, want one Finish with RAN_NO and no OpenRun", e)
	}
}

// runData returns the event of a chunk of data at an offset.
func runData(f router.RunRef, offset int64, s string) router.RunData {
	return router.RunData{Ref: f, Data: &wire.Data{Offset: offset, Data: []byte(s)}}
}

// TestRelayWritesEachByteOnce checks that repeated data is dropped, and that a gap or an end
// with missing data resumes the run.
func TestRelayWritesEachByteOnce(t *testing.T) {
	x := newHarness(t)
	o := x.openMainRun(plainCall("often1", "often", ""))
	x.step(router.RunGranted{Ref: o.Ref})
	x.step(router.RunHead{Ref: o.Ref, Head: &wire.Head{Status: 200}})
	got := ""
	for _, d := range []router.RunData{runData(o.Ref, 0, "abc"), runData(o.Ref, 0, "abc"), runData(o.Ref, 3, "de")} {
		for _, w := range effectsOf[router.Write](x.step(d)) {
			got += string(w.Data)
		}
	}
	if diff := cmp.Diff("abcde", got); diff != "" {
		t.Errorf("written to the caller (-want +got):\n%s", diff)
	}
	e := x.step(runData(o.Ref, 9, "gap"))
	want := []router.ResumeRun{{Ref: o.Ref, VM: o.VM, Resume: &wire.Resume{
		Request: "often1", Attempt: 1, Stage: wire.Stage_STAGE_PLAIN, Offset: 5,
	}}}
	if got := effectsOf[router.ResumeRun](e); len(got) != 1 || got[0].Resume.Offset != want[0].Resume.Offset || len(effectsOf[router.Write](e)) != 0 {
		t.Errorf("effects after a gap in the data: %v, want %v", e, want)
	}
	e = x.step(router.RunDone{Ref: o.Ref, Done: &wire.Done{Size: 9}})
	if len(effectsOf[router.Finish](e)) != 0 || len(effectsOf[router.ResumeRun](e)) != 1 {
		t.Errorf("effects after an end with missing data: %v, want a ResumeRun and no Finish", e)
	}
	e = x.step(router.RunDone{Ref: o.Ref, Done: &wire.Done{Size: 5}})
	if f := effectsOf[router.Finish](e); len(f) != 1 || f[0].Err != nil {
		t.Errorf("effects after the complete answer: %v, want a Finish without error", e)
	}
}
