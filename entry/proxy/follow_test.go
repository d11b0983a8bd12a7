package proxy

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func testManagers(n int) (l []engineManager) {
	for i := range n {
		l = append(l, engineManager{name: fmt.Sprint("agent-", i)})
	}
	return l
}

// TestLargeFleetIsPartlySubscribed checks the selection for a large fleet: each entry subscribes
// to a bounded number of agents, and no agent has far more or fewer subscribers than the others.
func TestLargeFleetIsPartlySubscribed(t *testing.T) {
	const entries, engines = 370, 770
	by := map[string]int{}
	for i := range entries {
		selected, others := selectManagers(fmt.Sprint("entry-", i), testManagers(engines))
		if d := cmp.Diff([]int{targetSubscriptions, engines - targetSubscriptions}, []int{len(selected), len(others)}); d != "" {
			t.Fatalf("selected and other agents (-want +got):\n%s", d)
		}
		for _, m := range selected {
			by[m.name]++
		}
	}
	mean := entries * targetSubscriptions / engines
	for _, m := range testManagers(engines) {
		if n := by[m.name]; n < mean/3 || n > 3*mean {
			t.Errorf("%s has %d subscribers; the mean is %d", m.name, n, mean)
		}
	}
}

// TestSmallServiceIsFullySubscribed checks that a service with few engines is selected whole in a
// large fleet.
func TestSmallServiceIsFullySubscribed(t *testing.T) {
	l := testManagers(500)
	for i := range 3 {
		l = append(l, engineManager{name: fmt.Sprint("small-", i), service: "small"})
	}
	selected, _ := selectManagers("entry", l)
	n := 0
	for _, m := range selected {
		if m.service == "small" {
			n++
		}
	}
	if d := cmp.Diff(3, n); d != "" {
		t.Errorf("selected agents of the small service (-want +got):\n%s", d)
	}
}

// TestSmallFleetIsFullySubscribed checks that all agents are selected up to the limit.
func TestSmallFleetIsFullySubscribed(t *testing.T) {
	selected, others := selectManagers("entry", testManagers(targetSubscriptions))
	if d := cmp.Diff([]int{targetSubscriptions, 0}, []int{len(selected), len(others)}); d != "" {
		t.Errorf("selected and other agents (-want +got):\n%s", d)
	}
}
