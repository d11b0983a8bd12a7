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

// table drives a router by hand.
type table struct {
	t   *testing.T
	r   *router.Router
	now time.Time
}

func newTable(t *testing.T) *table {
	s, err := tree.FromDoc(1, []byte(doc))
	if err != nil {
		t.Fatal(err)
	}
	x := &table{t, router.New(1, router.WithVM("e0", "a")), fake.Epoch}
	x.step(router.Configured{Tree: s, List: fleet.NewList(1, agents())})
	return x
}

func (x *table) step(e router.Event) []router.Effect { return x.r.Step(x.now, e) }

// only returns the effects of one type.
func only[T router.Effect](effects []router.Effect) []T {
	var r []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			r = append(r, v)
		}
	}
	return r
}

// open makes a call and returns its main run.
func (x *table) open(c router.Call) router.OpenRun {
	x.t.Helper()
	q := only[router.Reserve](x.step(router.Arrived{ID: 1, Call: c}))
	if len(q) != 1 {
		x.t.Fatalf("%d reservations, want 1", len(q))
	}
	o := only[router.OpenRun](x.step(router.ReserveAnswered{
		ID: 1, VM: q[0].VM, Reply: &wire.ReserveReply{Granted: q[0].Tokens, Holder: true},
	}))
	if len(o) != 1 {
		x.t.Fatalf("%d runs opened, want 1", len(o))
	}
	return o[0]
}

// loseForGood loses a run and all streams that resume it, and returns the last effects.
func (x *table) loseForGood(f router.RunRef) []router.Effect {
	for {
		e := x.step(router.RunLost{Ref: f, Sent: true})
		if len(only[router.ResumeRun](e)) == 0 {
			return e
		}
	}
}

func TestLostCallIsAskedForBeforeARetry(t *testing.T) {
	x := newTable(t)
	o := x.open(plain("once1", "once", ""))
	e := x.loseForGood(o.Ref)
	if n := len(only[router.OpenRun](e)); n != 0 {
		t.Fatalf("%d runs opened before the agent answered", n)
	}
	a := only[router.Cancel](e)
	if len(a) != 1 || a[0].VM != o.VM {
		t.Fatalf("asked %v, want %s", a, o.VM)
	}
	e = x.step(router.CancelAnswered{ID: 1, VM: o.VM, Ran: wire.Ran_RAN_NO})
	again := only[router.OpenRun](e)
	if len(again) != 1 || again[0].VM == o.VM {
		t.Fatalf("opened %v, want one run elsewhere", again)
	}
}

func TestLostCallThatMayHaveRunIsNotRepeated(t *testing.T) {
	for _, ran := range []wire.Ran{wire.Ran_RAN_UNKNOWN, wire.Ran_RAN_YES} {
		x := newTable(t)
		o := x.open(plain("once1", "once", ""))
		x.loseForGood(o.Ref)
		e := x.step(router.CancelAnswered{ID: 1, VM: o.VM, Ran: ran})
		f := only[router.Finish](e)
		if len(f) != 1 || len(only[router.OpenRun](e)) != 0 {
			t.Fatalf("effects %v, want the end alone", e)
		}
		if diff := cmp.Diff([]any{fault.Unclear, ran}, []any{f[0].Err.Code, f[0].Err.Ran}); diff != "" {
			t.Errorf("end (-want +got):\n%s", diff)
		}
	}
}

func TestKeyedCallStaysWithItsUnreachableOwner(t *testing.T) {
	x := newTable(t)
	o := x.open(plain("k", "once", "key"))
	e := x.step(router.RunLost{Ref: o.Ref})
	f := only[router.Finish](e)
	if len(f) != 1 || f[0].Err.Ran != wire.Ran_RAN_NO || len(only[router.OpenRun](e)) != 0 {
		t.Fatalf("effects %v, want a refusal that says not run", e)
	}
}

func data(f router.RunRef, offset int64, s string) router.RunData {
	return router.RunData{Ref: f, Data: &wire.Data{Offset: offset, Data: []byte(s)}}
}

func TestRelayPassesEachByteOnce(t *testing.T) {
	x := newTable(t)
	o := x.open(plain("often1", "often", ""))
	x.step(router.RunGranted{Ref: o.Ref})
	x.step(router.RunHead{Ref: o.Ref, Head: &wire.Head{Status: 200}})
	got := ""
	for _, d := range []router.RunData{data(o.Ref, 0, "abc"), data(o.Ref, 0, "abc"), data(o.Ref, 3, "de")} {
		for _, w := range only[router.Write](x.step(d)) {
			got += string(w.Data)
		}
	}
	if diff := cmp.Diff("abcde", got); diff != "" {
		t.Errorf("passed on (-want +got):\n%s", diff)
	}
	e := x.step(data(o.Ref, 9, "gap"))
	want := []router.ResumeRun{{Ref: o.Ref, VM: o.VM, Resume: &wire.Resume{
		Request: "often1", Attempt: 1, Stage: wire.Stage_STAGE_PLAIN, Offset: 5,
	}}}
	if got := only[router.ResumeRun](e); len(got) != 1 || got[0].Resume.Offset != want[0].Resume.Offset || len(only[router.Write](e)) != 0 {
		t.Errorf("after a gap: %v, want %v", e, want)
	}
	e = x.step(router.RunDone{Ref: o.Ref, Done: &wire.Done{Size: 9}})
	if len(only[router.Finish](e)) != 0 || len(only[router.ResumeRun](e)) != 1 {
		t.Errorf("after an end with missing data: %v, want a resume", e)
	}
	e = x.step(router.RunDone{Ref: o.Ref, Done: &wire.Done{Size: 5}})
	if f := only[router.Finish](e); len(f) != 1 || f[0].Err != nil {
		t.Errorf("after the whole answer: %v, want its end", e)
	}
}
