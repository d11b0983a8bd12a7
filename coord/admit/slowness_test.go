package admit

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/place"
	"github.com/google/go-cmp/cmp"
)

// TestStateTellsRecentSlowness checks that followers are told the slowness that the engine has just named, and no old one.
func TestStateTellsRecentSlowness(t *testing.T) {
	m := &Manager{ledger: place.New(), pauses: pause.New(), limits: pacer.New(pacer.NoShare)}
	state := func() int32 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.state().SlownessPercent
	}
	got := []int32{state()}
	m.observe(calls.ResponseInfo{Load: &calls.Load{SlownessPercent: 250}}, time.Now())
	got = append(got, state())
	m.observe(calls.ResponseInfo{Load: &calls.Load{}}, time.Now())
	m.slownessAt = m.slownessAt.Add(-2 * slownessMaxAge)
	got = append(got, state())
	if d := cmp.Diff([]int32{0, 250, 0}, got); d != "" {
		t.Errorf("slowness before any, just named, and old (-want +got):\n%s", d)
	}
}
