package spread_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/spread"
	"github.com/google/go-cmp/cmp"
)

// TestEvacuationSpreads evacuates data centres and takes them back: while the settings are invalid, while the platform is
// down right after it, and in quick succession. All processes must know the newest state in time, without any change of who
// is in a data centre, and a stale answer must not bring an older one back.
func TestEvacuationSpreads(t *testing.T) {
	f := startFleet(1, network, 2, 5)
	f.List(fleet.VM{Name: "agent", Role: fleet.Agent, DataCentre: "c0", Address: "agent", Service: "s", Stage: fleet.Plain, State: fleet.Live})
	f.Run(10 * time.Second)
	epoch := f.Processes["c0-000"].List.Epoch("c0")
	evacuate := func(dc string) { f.Platform.Put(spread.EvacuatedPrefix+dc, []byte("true")) }
	takeBack := func(dc string) { f.Platform.Put(spread.EvacuatedPrefix+dc, nil) }
	for _, c := range []struct {
		name   string
		change func()
		want   []string
	}{
		{"evacuated", func() { evacuate("c0") }, []string{"c0"}},
		{"taken back", func() { takeBack("c0") }, nil},
		{"with invalid settings", func() { f.Platform.Put("root", []byte("{rat: 3}")); evacuate("c0") }, []string{"c0"}},
		{"the other one too, and one that nobody knows", func() { evacuate("c1"); evacuate("mars") }, []string{"c0", "c1", "mars"}},
		{"quick series", func() {
			for range 20 {
				takeBack("c0")
				evacuate("c0")
				f.Run(10 * time.Millisecond)
			}
			takeBack("c0")
		}, []string{"c1", "mars"}},
		{"a stale platform", func() {
			f.Platform.Freeze()
			takeBack("c1")
			f.Run(maxAdoptDelay)
			f.Platform.Stale = true
		}, []string{"mars"}},
	} {
		c.change()
		f.Run(maxAdoptDelay)
		for _, n := range f.Names {
			l := f.Processes[n].List
			if d := cmp.Diff(c.want, l.Evacuated()); d != "" {
				t.Errorf("%s: evacuated, as %s knows (-want +got):\n%s", c.name, n, d)
			}
			var want []string
			if len(c.want) == 0 || c.want[0] != "c0" {
				want = []string{"agent"}
			}
			var got []string
			for _, v := range l.LiveAgents("s", fleet.Plain, "") {
				got = append(got, v.Name)
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("%s: agents that take work, as %s knows (-want +got):\n%s", c.name, n, d)
			}
			if l.Epoch("c0") != epoch || len(l.Agents("c0")) != 1 {
				t.Errorf("%s: the members of c0 change", c.name)
			}
		}
	}
}
