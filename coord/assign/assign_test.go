package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypoint.example/coord/roster"
	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// testStep is the time between two updates of an assigner.
	testStep    = 400 * time.Millisecond
	testEngines = 6
	testEntries = 5
)

// fleet runs the assigners of several entries.
type fleet struct {
	entries   []Entry
	assigners []*Assigner
	engines   []roster.Upstream
}

func newFleet() *fleet {
	f := &fleet{}
	for i := range testEntries {
		f.entries = append(f.entries, Entry{fmt.Sprint("entry-", i), 300})
		f.assigners = append(f.assigners, New())
	}
	for i := range testEngines {
		f.engines = append(f.engines, roster.Upstream{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("a-", i)})
	}
	return f
}

// update updates the assigner of entry i, which hears the entries that hears reports and the
// agents of the engines in hasAgent, and returns the engines that it manages.
func (f *fleet) update(now time.Time, i int, hears func(o int) bool, hasAgent map[string]bool) (active []Assignment) {
	v := View{Self: f.entries[i], Engines: f.engines, HasAgent: hasAgent}
	for o, e := range f.entries {
		if o != i && hears(o) {
			v.Others = append(v.Others, e)
		}
	}
	v.MayManage = 1+len(v.Others) > testEntries/2
	for _, a := range f.assigners[i].Update(now, v) {
		if a.Active {
			active = append(active, a)
		}
	}
	return active
}

// managers counts the managers of each engine, in a fleet in which entries hear each other if
// hears reports so.
func (f *fleet) managers(now time.Time, hears func(i, o int) bool, hasAgent map[string]bool) map[string]int {
	n := map[string]int{}
	for i := range f.entries {
		for _, a := range f.update(now, i, func(o int) bool { return hears(i, o) }, hasAgent) {
			n[a.Engine.Instance]++
		}
	}
	return n
}

func allHear(int, int) bool { return true }

// each returns a count for each engine of a fleet.
func (f *fleet) each(n int) map[string]int {
	m := map[string]int{}
	for _, u := range f.engines {
		if n > 0 {
			m[u.Instance] = n
		}
	}
	return m
}

// TestNoAgents checks that each engine gets one manager where no agent is deployed, and that
// no manager may give orders before an earlier holder's lease has ended.
func TestNoAgents(t *testing.T) {
	f := newFleet()
	begin := agentWait + handoverTime
	for d := time.Duration(0); d < 10*time.Second; d += testStep {
		now := epoch.Add(d)
		want := 0
		if d >= begin+testStep {
			want = 1
		}
		if d >= begin && d < begin+testStep {
			f.managers(now, allHear, nil)
			continue
		}
		if diff := cmp.Diff(f.each(want), f.managers(now, allHear, nil)); diff != "" {
			t.Errorf("managers after %s (-want +got):\n%s", d, diff)
		}
	}
	for i := range f.entries {
		for _, a := range f.update(epoch.Add(10*time.Second), i, func(int) bool { return true }, nil) {
			if a.OrdersFrom.Before(epoch.Add(agentWait + orderWait)) {
				t.Errorf("orders from %s after the start", a.OrdersFrom.Sub(epoch))
			}
		}
	}
}

// TestAgentsKilledInSeries replays agents that are killed one after another, for longer and
// shorter than an entry waits. An engine has a manager among the entries only while its agent
// has been gone for long enough, and none from the first update after the agent is back.
func TestAgentsKilledInSeries(t *testing.T) {
	f := newFleet()
	goneFor := func(i int) time.Duration { return time.Duration(1+2*i) * time.Second }
	for d := time.Duration(0); d < 30*time.Second; d += testStep {
		hasAgent := map[string]bool{}
		gone := map[string]time.Duration{}
		for i, u := range f.engines {
			at := time.Duration(2+3*i) * time.Second
			hasAgent[u.Address] = d < at || d >= at+goneFor(i)
			if !hasAgent[u.Address] {
				gone[u.Instance] = d - at
			}
		}
		n := f.managers(epoch.Add(d), allHear, hasAgent)
		for _, u := range f.engines {
			g, isGone := gone[u.Instance]
			switch {
			case !isGone && n[u.Instance] > 0:
				t.Errorf("after %s: %s has an agent and %d managers", d, u.Instance, n[u.Instance])
			case g > agentWait+handoverTime+2*testStep && n[u.Instance] != 1:
				t.Errorf("after %s: the agent of %s is gone for %s, with %d managers", d, u.Instance, g, n[u.Instance])
			}
		}
	}
}

// TestManagerIsCutOff cuts one entry off from the others. It must manage nothing any more, and
// each engine must have one manager among the others.
func TestManagerIsCutOff(t *testing.T) {
	f := newFleet()
	for d := time.Duration(0); d < 5*time.Second; d += testStep {
		f.managers(epoch.Add(d), allHear, nil)
	}
	cut := func(i, o int) bool { return i != 0 && o != 0 }
	for d := 5 * time.Second; d < 10*time.Second; d += testStep {
		now := epoch.Add(d)
		alone := f.update(now, 0, func(int) bool { return false }, nil)
		if len(alone) > 0 {
			t.Errorf("after %s: the entry that is cut off manages %d engines", d, len(alone))
		}
		n := map[string]int{}
		for i := 1; i < testEntries; i++ {
			for _, a := range f.update(now, i, func(o int) bool { return cut(i, o) }, nil) {
				n[a.Engine.Instance]++
			}
		}
		if d > 5*time.Second+handoverTime+testStep {
			if diff := cmp.Diff(f.each(1), n); diff != "" {
				t.Errorf("managers after %s (-want +got):\n%s", d, diff)
			}
		}
	}
}

// TestTwoManagersForShortTime replays random partitions that the entries notice at different
// times. Two entries may manage one engine only until both have noticed, and the later one may
// give no order before the earlier one has stopped for the lease of its last order.
func TestTwoManagersForShortTime(t *testing.T) {
	const noticeTime = 2 * testStep
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 3))
		f := newFleet()
		group := make([]int, testEntries)
		noticed := make([][]int, testEntries)
		changedAt := epoch
		for d := time.Duration(0); d < 40*time.Second; d += testStep {
			now := epoch.Add(d)
			if r.IntN(15) == 0 && now.Sub(changedAt) > noticeTime+handoverTime {
				for i := range group {
					group[i] = r.IntN(2)
				}
				changedAt = now
			}
			managers := map[string][]Assignment{}
			for i := range f.entries {
				if now.Sub(changedAt) >= noticeTime || r.IntN(2) == 0 || noticed[i] == nil {
					noticed[i] = append([]int{}, group...)
				}
				g := noticed[i]
				for _, a := range f.update(now, i, func(o int) bool { return g[o] == g[i] }, nil) {
					managers[a.Engine.Instance] = append(managers[a.Engine.Instance], a)
				}
			}
			for n, l := range managers {
				mayOrder := 0
				for _, a := range l {
					if !now.Before(a.OrdersFrom) {
						mayOrder++
					}
				}
				if len(l) > 1 && now.Sub(changedAt) > noticeTime || mayOrder > 1 {
					t.Errorf("seed %d after %s: %d managers of %s, %d may give orders", seed, d, len(l), n, mayOrder)
				}
			}
		}
	}
}

// TestLargeEntriesManage checks that small entries manage no engines beside much larger ones.
func TestLargeEntriesManage(t *testing.T) {
	v := View{Self: Entry{"small", 144}, MayManage: true}
	for i := range 3 {
		v.Others = append(v.Others, Entry{fmt.Sprint("large-", i), 800})
	}
	if d := cmp.Diff([]string{"large-0", "large-1", "large-2"}, candidates(v)); d != "" {
		t.Errorf("candidates (-want +got):\n%s", d)
	}
}

// TestHandoverWaits takes the manager of an engine away. The next one must wait for a second
// before it manages the engine, in which the others learn of the change, and for longer than the
// lease of a holder, 3 s, before it gives orders.
func TestHandoverWaits(t *testing.T) {
	const (
		learnTime = time.Second
		lease     = 3 * time.Second
	)
	f := newFleet()
	var d time.Duration
	for ; d < 5*time.Second; d += testStep {
		f.managers(epoch.Add(d), allHear, nil)
	}
	lost := f.update(epoch.Add(d), 0, func(int) bool { return true }, nil)
	if len(lost) == 0 {
		t.Fatal("entry-0 manages no engine that could be taken over")
	}
	takenOver := map[string]bool{}
	for _, a := range lost {
		takenOver[a.Engine.Instance] = true
	}
	lostAt := d
	for ; d < lostAt+10*time.Second; d += testStep {
		for i := 1; i < testEntries; i++ {
			for _, a := range f.update(epoch.Add(d), i, func(o int) bool { return o != 0 }, nil) {
				if !takenOver[a.Engine.Instance] {
					continue
				}
				if d < lostAt+learnTime {
					t.Errorf("%s is managed again after %s", a.Engine.Instance, d-lostAt)
				}
				if a.OrdersFrom.Before(epoch.Add(lostAt + lease)) {
					t.Errorf("%s may get orders %s after its manager was lost", a.Engine.Instance, a.OrdersFrom.Sub(epoch.Add(lostAt)))
				}
			}
		}
	}
}
