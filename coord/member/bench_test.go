package member

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/wire"
	"google.golang.org/protobuf/proto"
)

// BenchmarkExchange answers a peer that holds an older record of every member, and reports
// the size of an exchange in bytes.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{13, 41, 300, 1140} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1<<30, 0)
			old, m := newMembersWithRecords(n, now, 1), newMembersWithRecords(n, now, 2)
			q := old.Request()
			bytes := 0
			for b.Loop() {
				a := m.HandleRequest(now, q)
				bytes = proto.Size(q) + proto.Size(a)
			}
			b.ReportMetric(float64(bytes), "B/exchange")
		})
	}
}

// newMembersWithRecords returns a Members that holds records of n others with the given beat.
func newMembersWithRecords(n int, now time.Time, beat uint64) *Members {
	m := New(&wire.Member{Name: "self", Role: "entry", Address: "10.0.0.1:8367", Incarnation: 1}, nil, 1)
	a := &wire.GossipReply{}
	for i := range n {
		a.Members = append(a.Members, &wire.Member{
			Name: fmt.Sprintf("side-dub-a-%d", i), Role: "agent", DataCentre: "dub-a", Address: "10.0.100.100:7500",
			Upstream: "10.0.100.100:8366", Incarnation: 1774712719002, Beat: beat, Service: "llm", Stage: wire.Stage_STAGE_DECODE,
		})
	}
	m.HandleReply(now, a)
	return m
}
