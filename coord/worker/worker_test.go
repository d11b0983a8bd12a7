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

// failures returns the Fail messages that the effects send.
func failures(effects []worker.Effect) []*wire.Fail {
	var r []*wire.Fail
	for _, x := range effects {
		if s, ok := x.(worker.Send); ok && s.Reply.GetFail() != nil {
			r = append(r, s.Reply.GetFail())
		}
	}
	return r
}

// hasGranted reports whether the effects send a Granted message.
func hasGranted(effects []worker.Effect) bool {
	for _, x := range effects {
		if s, ok := x.(worker.Send); ok && s.Reply.GetGranted() != nil {
			return true
		}
	}
	return false
}

func TestOverloadedAgentRefusesImmediately(t *testing.T) {
	w := worker.New(start, 1, worker.WithSlots(1))
	now := start
	// Twenty runs of two seconds each bring the mean slot time above the patience that newOpen
	// sets, one second.
	for i := range 20 {
		completeRun(w, &now, worker.StreamID(i+1), 2*time.Second)
	}
	w.Step(now, worker.Opened{Stream: 100, Open: newOpen("holder")})
	f := failures(w.Step(now, worker.Opened{Stream: 101, Open: newOpen("late")}))
	if len(f) != 1 {
		t.Fatalf("%d refusals in the step that opens the run, want 1", len(f))
	}
	want := []any{string(fault.Overloaded), wire.Ran_RAN_NO}
	if diff := cmp.Diff(want, []any{f[0].Code, f[0].Ran}); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	if f[0].RetryAfterMicros <= 0 {
		t.Errorf("RetryAfterMicros of the refusal is %d, want above 0", f[0].RetryAfterMicros)
	}
}

// completeRun opens a decode run and completes it after d, by which it advances now.
func completeRun(w *worker.Worker, now *time.Time, s worker.StreamID, d time.Duration) {
	name := fmt.Sprint("run", s)
	id := worker.RunID{Request: name, Attempt: 1, Stage: wire.Stage_STAGE_DECODE}
	w.Step(*now, worker.Opened{Stream: s, Open: newOpen(name)})
	w.Step(*now, worker.FeedReceived{Stream: s, Feed: &wire.Feed{}})
	*now = now.Add(d)
	w.Step(*now, worker.CallDone{Run: id, Done: &wire.Done{}})
	w.Step(*now, worker.Acked{Stream: s})
}

func TestRevokedKeyIsRefused(t *testing.T) {
	key := tree.HashKey("k")
	settingsWithKeys := func(keys string) *tree.Tree {
		s, err := tree.FromDoc(7, []byte("workspaces: {w: {keys: ["+keys+"]}}"))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	openWithKey := func(name string, revision uint64) *wire.Open {
		o := newOpen(name)
		o.Workspace, o.KeyId, o.Revision = "w", key[:tree.KeyIDSize], revision
		return o
	}
	w := worker.New(start, 1, worker.WithSlots(1))
	w.Step(start, worker.Configured{Tree: settingsWithKeys(key)})
	if !hasGranted(w.Step(start, worker.Opened{Stream: 1, Open: openWithKey("a", 7)})) {
		t.Fatal("a run with a valid key got no slot")
	}
	w.Step(start, worker.Opened{Stream: 2, Open: openWithKey("queued", 7)})
	// The key of the queued run is revoked. Then an entry with older settings opens another
	// run with it.
	f := failures(w.Step(start, worker.Configured{Tree: settingsWithKeys("")}))
	f = append(f, failures(w.Step(start, worker.Opened{Stream: 3, Open: openWithKey("b", 6)}))...)
	for _, x := range f {
		if diff := cmp.Diff([]any{string(fault.BadKey), wire.Ran_RAN_NO}, []any{x.Code, x.Ran}); diff != "" {
			t.Errorf("refusal (-want +got):\n%s", diff)
		}
	}
	if len(f) != 2 {
		t.Errorf("%d refusals, want 2: the queued run and the new one", len(f))
	}
	// An entry with newer settings than the agent is trusted.
	w = worker.New(start, 1)
	w.Step(start, worker.Configured{Tree: settingsWithKeys("")})
	if !hasGranted(w.Step(start, worker.Opened{Stream: 4, Open: openWithKey("c", 8)})) {
		t.Error("a run got no slot, though its entry has newer settings than the agent")
	}
}

func TestLeavingAgentRefusesNewRuns(t *testing.T) {
	w := worker.New(start, 1)
	w.Step(start, worker.Configured{Tree: tree.Empty(), Leaving: true})
	e := w.Step(start, worker.Opened{Stream: 1, Open: newOpen("a")})
	f := failures(e)
	if len(f) != 1 || f[0].Code != string(fault.Leaving) || f[0].Ran != wire.Ran_RAN_NO || hasGranted(e) {
		t.Errorf("effects %v, want one refusal with code leaving and RAN_NO", e)
	}
}

// TestRetryAfterCallThatDidNotRun replays a call that isn't idempotent and that the upstream
// refused to execute. Its outcome is replayed to duplicates for a time. A new attempt after that,
// while the record of the request is still kept, is right, and must be started.
func TestRetryAfterCallThatDidNotRun(t *testing.T) {
	w := worker.New(start, 1)
	open := func(now time.Time, s worker.StreamID, attempt uint32) []worker.Effect {
		o := newOpen("a")
		o.Stage, o.Idempotent, o.Attempt = wire.Stage_STAGE_PLAIN, false, attempt
		return w.Step(now, worker.Opened{Stream: s, Open: o})
	}
	open(start, 1, 1)
	id := worker.RunID{Request: "a", Attempt: 1, Stage: wire.Stage_STAGE_PLAIN}
	w.Step(start, worker.CallFailed{Run: id, Err: fault.NotRun(fault.Overloaded, "refused")})
	w.Step(start, worker.Closed{Stream: 1})
	now := start
	for range 11 {
		now = now.Add(time.Minute)
		w.Step(now, worker.Ticked{})
	}
	started := 0
	for _, e := range open(now, 2, 2) {
		if _, ok := e.(worker.StartCall); ok {
			started++
		}
	}
	if d := cmp.Diff(1, started); d != "" {
		t.Errorf("calls that the second attempt starts (-want +got):\n%s", d)
	}
}

// TestEvacuatedAgentRefusesWhatHasNotStarted evacuates the data centre of an agent with a run in progress, one with a slot whose
// call hasn't begun, and one that is queued. The last two are refused. Once the evacuation has ended new runs are granted.
func TestEvacuatedAgentRefusesWhatHasNotStarted(t *testing.T) {
	w := worker.New(start, 1, worker.WithSlots(2))
	w.Step(start, worker.Configured{Tree: tree.Empty()})
	w.Step(start, worker.Opened{Stream: 1, Open: newOpen("runs")})
	w.Step(start, worker.FeedReceived{Stream: 1, Feed: &wire.Feed{}})
	w.Step(start, worker.Opened{Stream: 2, Open: newOpen("granted")})
	w.Step(start, worker.Opened{Stream: 3, Open: newOpen("queued")})
	e := w.Step(start, worker.Configured{Tree: tree.Empty(), Evacuated: true})
	var refused []worker.StreamID
	for _, x := range e {
		switch s := x.(type) {
		case worker.Send:
			if f := s.Reply.GetFail(); f.GetCode() == string(fault.Leaving) && f.GetRan() == wire.Ran_RAN_NO {
				refused = append(refused, s.Stream)
			}
		case worker.AbortCall:
			t.Errorf("the call of %v is aborted", s.Run)
		}
	}
	if d := cmp.Diff([]worker.StreamID{2, 3}, refused); d != "" || hasGranted(e) {
		t.Errorf("refused streams, effects %v (-want +got):\n%s", e, d)
	}
	if e := w.Step(start, worker.FeedReceived{Stream: 2, Feed: &wire.Feed{}}); len(e) > 0 {
		t.Errorf("effects of a late message: %v", e)
	}
	if e := w.Step(start, worker.Opened{Stream: 4, Open: newOpen("new")}); len(failures(e)) != 1 || hasGranted(e) {
		t.Errorf("effects of a new run %v, want one refusal", e)
	}
	w.Step(start, worker.Configured{Tree: tree.Empty()})
	if e := w.Step(start, worker.Opened{Stream: 5, Open: newOpen("after")}); !hasGranted(e) {
		t.Errorf("effects after the end of the evacuation: %v", e)
	}
}

// TestAgentOutsideTheRegionsRefuses changes the allowed regions of a route while runs of it wait at an agent: they are refused,
// also one that an entry with older settings opens. One that an entry with newer settings opens is granted.
func TestAgentOutsideTheRegionsRefuses(t *testing.T) {
	settings := func(revision uint64, regions string) *tree.Tree {
		s, err := tree.FromDoc(revision, []byte(`
root: {regions: {a: north}}
services: {gen: {kind: generate}}
routes: {m: {service: gen, model: m, allowed-regions: `+regions+`}}
`))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	open := func(name string, revision uint64) *wire.Open {
		o := newOpen(name)
		o.Route, o.Revision = "m", revision
		return o
	}
	w := worker.New(start, 1, worker.WithSlots(1))
	w.Step(start, worker.Configured{Tree: settings(2, "[north]"), DataCentre: "a"})
	if !hasGranted(w.Step(start, worker.Opened{Stream: 1, Open: open("granted", 2)})) {
		t.Fatal("a run in an allowed region got no slot")
	}
	w.Step(start, worker.Opened{Stream: 2, Open: open("queued", 2)})
	f := failures(w.Step(start, worker.Configured{Tree: settings(3, "[south]"), DataCentre: "a"}))
	f = append(f, failures(w.Step(start, worker.Opened{Stream: 3, Open: open("late", 2)}))...)
	for _, x := range f {
		if d := cmp.Diff([]any{string(fault.OutOfRegion), wire.Ran_RAN_NO}, []any{x.Code, x.Ran}); d != "" {
			t.Errorf("refusal (-want +got):\n%s", d)
		}
	}
	if len(f) != 3 {
		t.Errorf("%d refusals, want 3: the run with the slot, the queued one and the late one", len(f))
	}
	if !hasGranted(w.Step(start, worker.Opened{Stream: 4, Open: open("newer", 4)})) {
		t.Error("a run got no slot, though its entry has newer settings than the agent")
	}
}

// TestEndOfDrainRefusesWhatHasNotStarted guards against runs that wait for a slot when a drain ends: their entries lost them with
// the process, and couldn't tell whether they had run.
func TestEndOfDrainRefusesWhatHasNotStarted(t *testing.T) {
	w := worker.New(start, 1, worker.WithSlots(2))
	w.Step(start, worker.Configured{Tree: tree.Empty()})
	w.Step(start, worker.Opened{Stream: 1, Open: newOpen("runs")})
	w.Step(start, worker.FeedReceived{Stream: 1, Feed: &wire.Feed{}})
	w.Step(start, worker.Opened{Stream: 2, Open: newOpen("granted")})
	w.Step(start, worker.Opened{Stream: 3, Open: newOpen("queued")})
	if e := failures(w.Step(start, worker.DrainStarted{})); len(e) > 0 {
		t.Errorf("refused at the start of the drain: %v", e)
	}
	var codes []string
	for _, f := range failures(w.Step(start, worker.DrainEnded{})) {
		codes = append(codes, f.Code+" "+f.Ran.String())
	}
	leaving := string(fault.Leaving) + " " + wire.Ran_RAN_NO.String()
	if d := cmp.Diff([]string{leaving, leaving}, codes); d != "" {
		t.Errorf("refusals at the end of the drain (-want +got):\n%s", d)
	}
	if d := cmp.Diff(1, w.Active()); d != "" {
		t.Errorf("active runs (-want +got):\n%s", d)
	}
}
