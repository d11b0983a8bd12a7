package stages

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// simulate runs the balancers of all agents for a duration and returns how many engines
// serve prefill at the end and how many orders were given. Initial holds the indices of the
// engines that serve prefill at first; alive reports whether an agent is up at a time.
func simulate(engines int, initial []int, d time.Duration, alive func(i int, now time.Time) bool) (prefills, orders int) {
	stage := make([]wire.Stage, engines)
	agents := make([]*Balancer, engines)
	ordered := make([]bool, engines)
	for i := range stage {
		stage[i] = wire.Stage_STAGE_DECODE
		if slices.Contains(initial, i) {
			stage[i] = wire.Stage_STAGE_PREFILL
		}
		agents[i] = New(epoch, fmt.Sprintf("vm-%02d", i))
	}
	for now := epoch; now.Before(epoch.Add(d)); now = now.Add(500 * time.Millisecond) {
		var peers []Peer
		for i := range stage {
			if alive(i, now) {
				peers = append(peers, Peer{Name: fmt.Sprintf("vm-%02d", i), Stage: stage[i]})
			}
		}
		for i := range agents {
			if !alive(i, now) {
				continue
			}
			if to, ok := agents[i].Decide(now, peers, ordered[i]); ok {
				stage[i] = to
				ordered[i] = true
				orders++
			}
		}
	}
	for _, s := range stage {
		if s == wire.Stage_STAGE_PREFILL {
			prefills++
		}
	}
	return prefills, orders
}

func alwaysAlive(int, time.Time) bool { return true }

// TestAgentsConverge checks that the agents reach the target from several initial splits, with
// one order for each engine that changes, and that they order nothing if they start at it.
func TestAgentsConverge(t *testing.T) {
	for _, c := range []struct {
		engines                  int
		initial                  []int
		wantPrefills, wantOrders int
	}{
		{8, []int{0, 1, 2}, 2, 1}, {6, []int{0, 5}, 2, 0}, {15, []int{1, 2, 3, 4, 5}, 4, 1}, {17, nil, 4, 4},
		{2, []int{0, 1}, 1, 1}, {1, nil, 0, 0},
	} {
		prefills, orders := simulate(c.engines, c.initial, time.Minute, alwaysAlive)
		if d := cmp.Diff([]int{c.wantPrefills, c.wantOrders}, []int{prefills, orders}); d != "" {
			t.Errorf("%d engines, %v at first: prefill engines and orders (-want +got):\n%s", c.engines, c.initial, d)
		}
	}
}

// TestShortAbsenceOrdersNothing checks that the absence of a third of the agents for a few
// seconds causes no orders.
func TestShortAbsenceOrdersNothing(t *testing.T) {
	alive := func(i int, now time.Time) bool {
		s := now.Sub(epoch)
		return i%3 > 0 || s < 20*time.Second || s > 28*time.Second
	}
	_, orders := simulate(8, []int{0, 1}, time.Minute, alive)
	if d := cmp.Diff(0, orders); d != "" {
		t.Errorf("orders (-want +got):\n%s", d)
	}
}

// TestStaggeredStart checks that agents which start one after another order no change. Among
// the first few engines there seems to be one prefill engine too many; among all six there
// is not.
func TestStaggeredStart(t *testing.T) {
	started := func(i int, now time.Time) bool { return now.Sub(epoch) >= time.Duration(i)*600*time.Millisecond }
	prefills, orders := simulate(6, []int{0, 1}, time.Minute, started)
	if d := cmp.Diff([]int{2, 0}, []int{prefills, orders}); d != "" {
		t.Errorf("prefill engines and orders (-want +got):\n%s", d)
	}
}

// TestNewManagerLeavesOrderedEngine replays a manager that starts while the engine serves the
// stage that another manager ordered a moment ago. It must not order the engine back before it
// has seen for as long as usual that the split doesn't fit.
func TestNewManagerLeavesOrderedEngine(t *testing.T) {
	peers := []Peer{{"a", wire.Stage_STAGE_PREFILL}, {"b", wire.Stage_STAGE_PREFILL}}
	for _, ordered := range []bool{false, true} {
		b := New(epoch, "b")
		var at time.Duration
		for d := time.Duration(0); d < time.Minute && at == 0; d += 500 * time.Millisecond {
			if _, ok := b.Decide(epoch.Add(d), peers, ordered); ok {
				at = d
			}
		}
		want := map[bool]time.Duration{false: startupStableTime, true: stableTime}[ordered]
		if d := cmp.Diff(want, at); d != "" {
			t.Errorf("ordered before: %t; time of the order (-want +got):\n%s", ordered, d)
		}
	}
}
