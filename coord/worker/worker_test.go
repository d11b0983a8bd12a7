package worker_test

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

// fails returns the failures that effects tell.
func fails(effects []worker.Effect) []*wire.Fail {
	var r []*wire.Fail
	for _, x := range effects {
		if s, ok := x.(worker.Send); ok && s.Reply.GetFail() != nil {
			r = append(r, s.Reply.GetFail())
		}
	}
	return r
}

func granted(effects []worker.Effect) bool {
	for _, x := range effects {
		if s, ok := x.(worker.Send); ok && s.Reply.GetGranted() != nil {
			return true
		}
	}
	return false
}

func TestOverloadedAgentRefusesAtOnce(t *testing.T) {
	w := worker.New(start, 1, worker.WithSlots(1))
	now := start
	// A run that held the slot for two seconds tells how long a slot is held.
	for i := range 20 {
		oneRunLasting(w, &now, worker.StreamID(i+1), 2*time.Second)
	}
	w.Step(now, worker.Opened{Stream: 100, Open: open("holder")})
	f := fails(w.Step(now, worker.Opened{Stream: 101, Open: open("late")}))
	if len(f) != 1 {
		t.Fatalf("%d refusals, want one at once", len(f))
	}
	want := []any{string(fault.Overloaded), wire.Ran_RAN_NO}
	if diff := cmp.Diff(want, []any{f[0].Code, f[0].Ran}); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	if f[0].RetryAfterMicros <= 0 {
		t.Error("the refusal does not say when to come back")
	}
}

func oneRunLasting(w *worker.Worker, now *time.Time, s worker.StreamID, d time.Duration) {
	name := fmt.Sprint("run", s)
	id := worker.RunID{Request: name, Attempt: 1, Stage: wire.Stage_STAGE_DECODE}
	w.Step(*now, worker.Opened{Stream: s, Open: open(name)})
	w.Step(*now, worker.FeedReceived{Stream: s, Feed: &wire.Feed{}})
	*now = now.Add(d)
	w.Step(*now, worker.CallDone{Run: id, Done: &wire.Done{}})
	w.Step(*now, worker.Acked{Stream: s})
}

func TestWithdrawnKeyIsRefusedByTheAgent(t *testing.T) {
	key := tree.HashKey("k")
	doc := func(keys string) *tree.Tree {
		s, err := tree.FromDoc(7, []byte("workspaces: {w: {keys: ["+keys+"]}}"))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	ask := func(name string, revision uint64) *wire.Open {
		o := open(name)
		o.Workspace, o.KeyId, o.Revision = "w", key[:tree.KeyIDSize], revision
		return o
	}
	w := worker.New(start, 1, worker.WithSlots(1))
	w.Step(start, worker.Configured{Tree: doc(key)})
	if !granted(w.Step(start, worker.Opened{Stream: 1, Open: ask("a", 7)})) {
		t.Fatal("a granted key is refused")
	}
	w.Step(start, worker.Opened{Stream: 2, Open: ask("queued", 7)})
	// An entry that doesn't know yet asks after the key was withdrawn.
	f := fails(w.Step(start, worker.Configured{Tree: doc("")}))
	f = append(f, fails(w.Step(start, worker.Opened{Stream: 3, Open: ask("b", 6)}))...)
	for _, x := range f {
		if diff := cmp.Diff([]any{string(fault.BadKey), wire.Ran_RAN_NO}, []any{x.Code, x.Ran}); diff != "" {
			t.Errorf("refusal (-want +got):\n%s", diff)
		}
	}
	if len(f) != 2 {
		t.Errorf("%d refusals, want those of the queued and of the new run", len(f))
	}
	// An entry that knows more than the agent is believed.
	w = worker.New(start, 1)
	w.Step(start, worker.Configured{Tree: doc("")})
	if !granted(w.Step(start, worker.Opened{Stream: 4, Open: ask("c", 8)})) {
		t.Error("a key that a newer tree grants is refused")
	}
}

func TestLeavingAgentTakesNoNewRun(t *testing.T) {
	w := worker.New(start, 1)
	w.Step(start, worker.Configured{Tree: tree.Empty(), Leaving: true})
	e := w.Step(start, worker.Opened{Stream: 1, Open: open("a")})
	f := fails(e)
	if len(f) != 1 || f[0].Code != string(fault.Leaving) || f[0].Ran != wire.Ran_RAN_NO || granted(e) {
		t.Errorf("effects %v, want a refusal that says not run", e)
	}
}
