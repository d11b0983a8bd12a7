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

// run lets agents decide for a while and returns how many engines serve prefill and how
// many orders were given.
func run(engines int, prefill []int, d time.Duration, alive func(i int, now time.Time) bool) (left, orders int) {
	stage := make([]wire.Stage, engines)
	agents := make([]*Balancer, engines)
	for i := range stage {
		stage[i] = wire.Stage_STAGE_DECODE
		if slices.Contains(prefill, i) {
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
			if to, ok := agents[i].Decide(now, peers); ok {
				stage[i] = to
				orders++
			}
		}
	}
	for _, s := range stage {
		if s == wire.Stage_STAGE_PREFILL {
			left++
		}
	}
	return left, orders
}

func always(int, time.Time) bool { return true }

// TestAgentsAgree begins from splits that don't fit; each engine that changes is ordered once.
func TestAgentsAgree(t *testing.T) {
	for _, c := range []struct {
		engines      int
		prefill      []int
		want, orders int
	}{
		{8, []int{0, 1, 2}, 2, 1}, {6, []int{0, 5}, 2, 0}, {15, []int{1, 2, 3, 4, 5}, 4, 1}, {17, nil, 4, 4},
		{2, []int{0, 1}, 1, 1}, {1, nil, 0, 0},
	} {
		left, orders := run(c.engines, c.prefill, time.Minute, always)
		if d := cmp.Diff([]int{c.want, c.orders}, []int{left, orders}); d != "" {
			t.Errorf("%d engines, %v at first: prefill engines and orders (-want +got):\n%s", c.engines, c.prefill, d)
		}
	}
}

// TestShortAbsenceOrdersNothing loses a third of the agents for some seconds.
func TestShortAbsenceOrdersNothing(t *testing.T) {
	away := func(i int, now time.Time) bool {
		s := now.Sub(epoch)
		return i%3 > 0 || s < 20*time.Second || s > 28*time.Second
	}
	_, orders := run(8, []int{0, 1}, time.Minute, away)
	if d := cmp.Diff(0, orders); d != "" {
		t.Errorf("orders (-want +got):\n%s", d)
	}
}

// TestStaggeredStart replays agents that start one after another: of the first few engines
// one seems to read prompts too many, of all six none does.
func TestStaggeredStart(t *testing.T) {
	started := func(i int, now time.Time) bool { return now.Sub(epoch) >= time.Duration(i)*600*time.Millisecond }
	left, orders := run(6, []int{0, 1}, time.Minute, started)
	if d := cmp.Diff([]int{2, 0}, []int{left, orders}); d != "" {
		t.Errorf("prefill engines and orders (-want +got):\n%s", d)
	}
}
