package worker_test

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

// BenchmarkRun measures a decode run of eight tokens from Open to the last Ack while n
// other runs hold slots.
func BenchmarkRun(b *testing.B) {
	for _, n := range []int{0, 20, 80} {
		b.Run(fmt.Sprintf("beside=%d", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			w := worker.New(now, 1, worker.WithSlots(n+1), worker.WithRetention(0))
			for i := range n {
				w.Step(now, worker.Opened{Stream: worker.StreamID(i + 1), Open: newOpen(fmt.Sprint("r", i))})
			}
			b.ReportAllocs()
			s := worker.StreamID(n)
			for b.Loop() {
				s++
				completeDecodeRun(w, now, s)
			}
		})
	}
}

// newOpen returns the Open message of an idempotent decode run.
func newOpen(name string) *wire.Open {
	return &wire.Open{Request: name, Attempt: 1, Stage: wire.Stage_STAGE_DECODE, Idempotent: true, PatienceMicros: 1e6, LeftMicros: 1e7}
}

// completeDecodeRun takes a decode run of eight tokens from Open to the last Ack.
func completeDecodeRun(w *worker.Worker, now time.Time, s worker.StreamID) {
	id := worker.RunID{Request: "x", Attempt: 1, Stage: wire.Stage_STAGE_DECODE}
	w.Step(now, worker.Opened{Stream: s, Open: newOpen("x")})
	w.Step(now, worker.FeedReceived{Stream: s, Feed: &wire.Feed{Handle: "h"}})
	// Each chunk has 6 bytes, so the response has 48.
	for i := range int64(8) {
		w.Step(now, worker.CallData{Run: id, Data: []byte("token "), Tokens: 1})
		w.Step(now, worker.Acked{Stream: s, Offset: 6 * (i + 1)})
	}
	w.Step(now, worker.CallDone{Run: id, Done: &wire.Done{}})
	w.Step(now, worker.Acked{Stream: s, Offset: 48})
}
