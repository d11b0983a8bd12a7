package proxy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLagIsLoggedOnce checks that a configuration that grows old is logged when that begins and when it ends.
func TestLagIsLoggedOnce(t *testing.T) {
	var l refreshLag
	var changes []bool
	for _, age := range []time.Duration{0, maxUsualAge, maxUsualAge + 1, 3 * time.Second, 4 * time.Second, time.Second, 0} {
		changes = append(changes, l.observe(age, age/2))
	}
	if d := cmp.Diff([]bool{false, false, true, false, false, true, false}, changes); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]time.Duration{4 * time.Second, 2 * time.Second}, []time.Duration{l.oldest, l.slowest}); d != "" {
		t.Errorf("oldest and slowest (-want +got):\n%s", d)
	}
}
