package spread_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/spread"
	"cranberrypoint.example/coord/wire"
	"google.golang.org/protobuf/proto"
)

// The users' limits for control.
const (
	// controlBytes is in bytes a second in each direction taken together.
	controlBytes = 23_000
	// frameBytes covers the TCP/IP headers of a message and of its acknowledgement, and
	// drpc's own frames.
	frameBytes = 120
)

// TestControlBytes counts what one process of a fleet at rest sends and receives for
// control: digests and confirmations.
func TestControlBytes(t *testing.T) {
	f := boot(1, network, 7, perCentre())
	f.Run(40 * time.Second)
	bytes, messages := 0, 0
	const name = "c0-000"
	f.Exchanged = func(from, to string, d *wire.Digest) {
		if from == name || to == name {
			bytes += proto.Size(d) + frameBytes
			messages++
		}
	}
	const length = 30 * time.Second
	f.Run(length)
	rate := float64(bytes) / length.Seconds()
	t.Logf("%d processes: %.0f bytes and %.1f messages a second for one", len(f.Names), rate, float64(messages)/length.Seconds())
	if rate > controlBytes {
		t.Errorf("%.0f bytes a second, want at most %d", rate, controlBytes)
	}
}

// BenchmarkTick is the cost of a tick of a process at rest.
func BenchmarkTick(b *testing.B) {
	f := boot(1, fake.Faults{MinDelay: time.Millisecond, MaxDelay: time.Millisecond}, 7, 163/8)
	f.Run(40 * time.Second)
	s := f.Processes["c0-000"].Spread
	now := f.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		s.Step(now, spread.Ticked{})
	}
}
