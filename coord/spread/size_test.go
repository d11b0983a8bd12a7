package spread_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/spread"
	"cranberrypoint.example/coord/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// maxBytesPerSecond is the required limit of the control traffic of one process, the
	// sum of both directions.
	maxBytesPerSecond = 23_000
	// overheadBytes covers the TCP/IP headers of a message and of its acknowledgement, and
	// drpc's own frames.
	overheadBytes = 120
)

// TestControlTraffic measures the digests that one process sends and receives while the
// configuration doesn't change. They include the epochs, which VMs confirm to each other.
func TestControlTraffic(t *testing.T) {
	f := startFleet(1, network, 7, processesPerDataCentre())
	f.Run(40 * time.Second)
	bytes, messages := 0, 0
	const name = "c0-000"
	f.Exchanged = func(from, to string, d *wire.Digest) {
		if from == name || to == name {
			bytes += proto.Size(d) + overheadBytes
			messages++
		}
	}
	const length = 30 * time.Second
	f.Run(length)
	rate := float64(bytes) / length.Seconds()
	t.Logf("%d processes: %.0f bytes and %.1f messages a second for one", len(f.Names), rate, float64(messages)/length.Seconds())
	if rate > maxBytesPerSecond {
		t.Errorf("%.0f bytes a second, want at most %d", rate, maxBytesPerSecond)
	}
}

// BenchmarkTick measures a Ticked event of a process whose configuration doesn't change.
func BenchmarkTick(b *testing.B) {
	f := startFleet(1, fake.Faults{MinDelay: time.Millisecond, MaxDelay: time.Millisecond}, 7, 163/8)
	f.Run(40 * time.Second)
	s := f.Processes["c0-000"].Spread
	now := f.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		s.Step(now, spread.Ticked{})
	}
}
