package worker_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
	"github.com/google/go-cmp/cmp"
)

// later is when the agent can tell that no earlier incarnation ran a request.
var later = start.Add(time.Second)

// openPlain returns the message that opens a plain run that may run once at most.
func openPlain(name string) *wire.Open {
	o := newOpen(name)
	o.Stage, o.Idempotent, o.WindowMicros = wire.Stage_STAGE_PLAIN, false, 1
	return o
}

// runPlain runs a plain call whose answer has some bytes, on a stream that has everything acknowledged.
func runPlain(w *worker.Worker, s worker.StreamID, name string, size int) {
	id := worker.RunID{Request: name, Attempt: 1, Stage: wire.Stage_STAGE_PLAIN}
	w.Step(later, worker.Opened{Stream: s, Open: openPlain(name)})
	w.Step(later, worker.CallData{Run: id, Data: make([]byte, size)})
	w.Step(later, worker.CallDone{Run: id, Done: &wire.Done{}})
	w.Step(later, worker.Acked{Stream: s, Offset: int64(size)})
}

// TestKeptAnswersHaveABound makes calls whose answers are kept for duplicates, until they exceed the bound. A duplicate of the
// last call must get its answer. One of the first call must be told that it ran, and must not run again.
func TestKeptAnswersHaveABound(t *testing.T) {
	const size, bound = 10_000, 50_000
	w := worker.New(start, 1, worker.WithReplayBytes(bound))
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		runPlain(w, worker.StreamID(i+1), name, size)
	}
	replayed := 0
	for _, x := range w.Step(later, worker.Opened{Stream: 20, Open: openPlain("f")}) {
		if s, ok := x.(worker.Send); ok {
			replayed += len(s.Reply.GetData().GetData())
		}
	}
	if d := cmp.Diff(size, replayed); d != "" {
		t.Errorf("bytes of the last answer for a duplicate (-want +got):\n%s", d)
	}
	effects := w.Step(later, worker.Opened{Stream: 21, Open: openPlain("a")})
	f := failures(effects)
	if len(f) != 1 || hasGranted(effects) {
		t.Fatalf("a duplicate of the first call: failures %v, granted %t", f, hasGranted(effects))
	}
	if d := cmp.Diff([]any{string(fault.Duplicate), wire.Ran_RAN_YES}, []any{f[0].Code, f[0].Ran}); d != "" {
		t.Errorf("refusal of a duplicate of the first call (-want +got):\n%s", d)
	}
}
