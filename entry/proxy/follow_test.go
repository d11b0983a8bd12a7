package proxy

import (
	"fmt"
	"testing"

	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

func testAgents(n int) (l []*wire.Member) {
	for i := range n {
		l = append(l, &wire.Member{Name: fmt.Sprint("agent-", i)})
	}
	return l
}

// TestLargeFleetIsPartlySubscribed checks the selection for a large fleet: each entry subscribes
// to a bounded number of agents, and no agent has far more or fewer subscribers than the others.
func TestLargeFleetIsPartlySubscribed(t *testing.T) {
	const entries, engines = 370, 770
	by := map[string]int{}
	for i := range entries {
		selected, others := selectAgents(fmt.Sprint("entry-", i), testAgents(engines))
		if d := cmp.Diff([]int{targetSubscriptions, engines - targetSubscriptions}, []int{len(selected), len(others)}); d != "" {
			t.Fatalf("selected and other agents (-want +got):\n%s", d)
		}
		for _, m := range selected {
			by[m.Name]++
		}
	}
	mean := entries * targetSubscriptions / engines
	for _, m := range testAgents(engines) {
		if n := by[m.Name]; n < mean/3 || n > 3*mean {
			t.Errorf("%s has %d subscribers; the mean is %d", m.Name, n, mean)
		}
	}
}

// TestSmallServiceIsFullySubscribed checks that a service with few engines is selected whole in a
// large fleet.
func TestSmallServiceIsFullySubscribed(t *testing.T) {
	l := testAgents(500)
	for i := range 3 {
		l = append(l, &wire.Member{Name: fmt.Sprint("small-", i), Service: "small"})
	}
	selected, _ := selectAgents("entry", l)
	n := 0
	for _, m := range selected {
		if m.Service == "small" {
			n++
		}
	}
	if d := cmp.Diff(3, n); d != "" {
		t.Errorf("selected agents of the small service (-want +got):\n%s", d)
	}
}

// TestSmallFleetIsFullySubscribed checks that all agents are selected up to the limit.
func TestSmallFleetIsFullySubscribed(t *testing.T) {
	selected, others := selectAgents("entry", testAgents(targetSubscriptions))
	if d := cmp.Diff([]int{targetSubscriptions, 0}, []int{len(selected), len(others)}); d != "" {
		t.Errorf("selected and other agents (-want +got):\n%s", d)
	}
}
