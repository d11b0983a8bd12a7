package spread_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/quota"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	fake.FixRuns("20303", "60")
	os.Exit(m.Run())
}

// maxAdoptDelay is the required limit of the time until all processes have adopted a change.
const maxAdoptDelay = 3 * time.Second

// maxReadsPerSecond is the platform's limit.
const maxReadsPerSecond = 2000

// settings is the document that the platform publishes first.
const settings = `
root: {data-centres: [c0, c1]}
workspaces:
  w: {rate: 1, burst: 10}
`

// vms returns VMs with the role fleet.Entry in a number of data centres, with the same number
// in each.
func vms(centres, each int) []fleet.VM {
	var r []fleet.VM
	for c := range centres {
		for i := range each {
			n := fmt.Sprintf("c%d-%03d", c, i)
			r = append(r, fleet.VM{Name: n, Role: fleet.Entry, DataCentre: fmt.Sprintf("c%d", c), Address: n, State: fleet.Live})
		}
	}
	return r
}

// startFleet publishes the settings and the list of VMs, and starts a process on each VM.
func startFleet(seed uint64, f fake.Faults, centres, each int) *fake.Fleet {
	x := fake.NewFleet(seed, f)
	x.Term = quota.DefaultLeaseTerm
	if err := x.PutDoc(settings); err != nil {
		panic(err)
	}
	all := vms(centres, each)
	x.PutAll(all)
	for _, v := range all {
		x.Start(v)
	}
	return x
}

// changeRate publishes a change of the workspace's rate.
func changeRate(f *fake.Fleet, rate int) {
	f.Platform.Put("workspaces/w", fmt.Appendf(nil, "{rate: %d, burst: 10}", rate))
}

// slowestAdoption returns the longest time after since at which a process first adopted the
// revision or a newer one. It fails the test if a process hasn't adopted one.
func slowestAdoption(t interface{ Fatalf(string, ...any) }, f *fake.Fleet, revision uint64, since time.Time) time.Duration {
	worst := time.Duration(0)
	for _, n := range f.Names {
		p := f.Processes[n]
		if p == nil {
			continue
		}
		best, found := time.Duration(0), false
		for r, at := range p.Adopted {
			if d := at.Sub(since); r >= revision && (!found || d < best) {
				best, found = d, true
			}
		}
		if !found {
			t.Fatalf("%s has not adopted revision %d or a newer one", n, revision)
		}
		worst = max(worst, best)
	}
	return worst
}

// network loses no messages and has short delays.
var network = fake.Faults{MinDelay: 500 * time.Microsecond, MaxDelay: 5 * time.Millisecond}

// processesPerDataCentre returns the number of processes in each of seven data centres: an
// eighth of the planned number, or all if CRANBERRYPOINT_TEST_SIZE is "full".
func processesPerDataCentre() int {
	const planned = 163
	if os.Getenv("CRANBERRYPOINT_TEST_SIZE") == "full" {
		return planned
	}
	return planned / 8
}

// TestChangeAdoptedInTime measures how long changes take to reach all processes, and the
// rate at which all together read the platform.
func TestChangeAdoptedInTime(t *testing.T) {
	f := startFleet(1, network, 7, processesPerDataCentre())
	f.Run(10 * time.Second)
	reads := f.Platform.Reads
	worst := time.Duration(0)
	const changes = 5
	for i := range changes {
		since := f.Now()
		changeRate(f, i+2)
		revision := f.Platform.Revision()
		f.Run(maxAdoptDelay)
		worst = max(worst, slowestAdoption(t, f, revision, since))
	}
	rate := float64(f.Platform.Reads-reads) / (changes * maxAdoptDelay.Seconds())
	t.Logf("%d processes: all adopted a change after %v at most, %.1f reads a second", len(f.Names), worst, rate)
	if worst > maxAdoptDelay {
		t.Errorf("a change took %v, want at most %v", worst, maxAdoptDelay)
	}
	if rate > maxReadsPerSecond {
		t.Errorf("%.1f reads a second, want at most %d", rate, maxReadsPerSecond)
	}
}

// TestChangeAdoptedWithSlowPlatform lets each answer of the platform take 700 ms longer.
func TestChangeAdoptedWithSlowPlatform(t *testing.T) {
	f := startFleet(1, network, 2, 5)
	f.Run(5 * time.Second)
	f.Platform.SlowBy = 700 * time.Millisecond
	for i := range 10 {
		since := f.Now()
		changeRate(f, i+2)
		f.Run(maxAdoptDelay)
		if worst := slowestAdoption(t, f, f.Platform.Revision(), since); worst > maxAdoptDelay {
			t.Errorf("a change took %v, want at most %v", worst, maxAdoptDelay)
		}
	}
}

// TestReadRateAfterOutage guards against all processes reading the platform at once when it
// is up again.
func TestReadRateAfterOutage(t *testing.T) {
	f := startFleet(1, network, 7, processesPerDataCentre())
	f.Run(10 * time.Second)
	f.Platform.Down = true
	sent := f.Sent
	f.Run(10 * time.Second)
	f.Platform.Down = false
	before := f.Platform.Reads
	f.Run(5 * time.Second)
	reads := f.Platform.Reads - before
	t.Logf("%.1f reads a second after an outage, %d messages during it and the 5 s after", float64(reads)/5, f.Sent-sent)
	if float64(reads)/5 > maxReadsPerSecond {
		t.Errorf("%d reads in 5 s after an outage, want at most %d a second", reads, maxReadsPerSecond)
	}
}

// TestNewProcessSyncsFromPeersDuringOutage starts a process that isn't listed while the
// platform is down.
func TestNewProcessSyncsFromPeersDuringOutage(t *testing.T) {
	f := startFleet(1, network, 2, 4)
	f.Run(5 * time.Second)
	f.Platform.Down = true
	n := f.Start(fleet.VM{Name: "c0-new", Role: fleet.Entry, DataCentre: "c0", Address: "c0-new", State: fleet.Live})
	f.Run(maxAdoptDelay)
	if n.Spread.Revision() != f.Platform.Revision() || !n.Spread.HasSynced(f.Now()) {
		t.Errorf("the new process has revision %d, want %d and HasSynced = true", n.Spread.Revision(), f.Platform.Revision())
	}
}

// TestRevisionNeverDecreases changes settings, restarts and freezes processes and partitions
// the network while the platform is outdated or down at times. The revision that a process
// has adopted must not decrease until it restarts, and after the faults all processes must
// adopt the newest.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := startFleet(rapid.Uint64().Draw(t, "seed"), fake.Faults{Loss: 0.05, Duplicate: 0.05, MinDelay: time.Millisecond, MaxDelay: 200 * time.Millisecond}, 2, 5)
		newest := map[string]uint64{}
		f.Check = func(p *fake.Process) {
			key := fmt.Sprintf("%s/%d", p.VM.Name, f.Restarts(p.VM.Name))
			r := p.Tree.Revision()
			if r < newest[key] {
				t.Fatalf("%s adopted revision %d, then the older %d", key, newest[key], r)
			}
			newest[key] = r
		}
		f.Run(5 * time.Second)
		for i := range rapid.IntRange(3, 10).Draw(t, "steps") {
			injectFault(t, f, i)
			f.Run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait ms")) * time.Millisecond)
		}
		f.Platform.Stale, f.Platform.Down = false, false
		f.Partitioned = func(string, string) bool { return false }
		for _, n := range f.Names {
			f.Thaw(n)
		}
		since := f.Now()
		f.Run(10 * time.Second)
		slowestAdoption(t, f, f.Platform.Revision(), since)
	})
}

// injectFault changes the settings, or begins or ends a fault.
func injectFault(t *rapid.T, f *fake.Fleet, i int) {
	name := rapid.SampledFrom(f.Names).Draw(t, "vm")
	switch rapid.SampledFrom([]string{"change", "change", "restart", "freeze", "thaw", "stale", "down", "up", "cut", "heal"}).Draw(t, "step") {
	case "change":
		changeRate(f, i+2)
	case "restart":
		f.Start(f.Processes[name].VM)
	case "freeze":
		f.Freeze(name)
	case "thaw":
		f.Thaw(name)
	case "stale":
		f.Platform.Freeze()
		f.Platform.Stale = true
	case "down":
		f.Platform.Down = true
	case "up":
		f.Platform.Stale, f.Platform.Down = false, false
	case "cut":
		f.Partitioned = func(from, to string) bool { return from[:2] == "c0" != (to[:2] == "c0") }
	case "heal":
		f.Partitioned = func(string, string) bool { return false }
	}
}
