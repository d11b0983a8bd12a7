package member

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

const clusterSize = 13

// cluster runs processes over a simulated network with faults. The first three are the seeds.
type cluster struct {
	net             *fake.Net
	members         map[string]*Members
	lastIncarnation int64
}

func name(i int) string { return fmt.Sprintf("vm-%03d", i) }

func seeds() []string { return []string{name(0), name(1), name(2)} }

func newCluster(seed uint64) *cluster { return newClusterOf(seed, clusterSize) }

func newClusterOf(seed uint64, n int) *cluster {
	c := &cluster{
		net:     fake.New(seed, fake.Faults{Loss: 0.05, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}),
		members: map[string]*Members{},
	}
	for i := range n {
		c.start(name(i))
	}
	return c
}

// start starts or restarts a process. One in four starts gets an incarnation older than the
// last, as from a clock that was set back.
func (c *cluster) start(n string) {
	c.net.Restart(n)
	c.lastIncarnation++
	inc := c.lastIncarnation
	if c.net.Rand.IntN(4) == 0 {
		inc -= 5
	}
	c.members[n] = New(&wire.Member{Name: n, Role: "entry", Address: n, Incarnation: inc}, seeds(), c.net.Rand.Uint64())
	c.scheduleHeartbeat(n, c.net.Restarts(n))
}

// scheduleHeartbeat runs a process's periodic heartbeat until the process restarts. The life is
// the number that fake.Net gives to the time between two restarts.
func (c *cluster) scheduleHeartbeat(n string, life uint64) {
	c.net.After(GossipInterval, func() {
		if c.net.Restarts(n) == life {
			c.scheduleHeartbeat(n, life)
		}
		c.net.Do(n, life, func() { c.gossip(n, life) })
	})
}

// gossip runs a heartbeat and exchanges records with the addresses that it returns. Replies to
// an earlier life of the process are dropped.
func (c *cluster) gossip(n string, life uint64) {
	m := c.members[n]
	for _, to := range m.Heartbeat(c.net.Now()) {
		q := m.Request()
		c.net.Send(n, to, func() {
			a := c.members[to].HandleRequest(c.net.Now(), q)
			c.net.Send(to, n, func() {
				if c.net.Restarts(n) == life {
					m.HandleReply(c.net.Now(), a)
				}
			})
		})
	}
}

// live returns the names of the members that a process counts as live, and its own.
func (c *cluster) live(n string) map[string]bool {
	l := map[string]bool{n: true}
	for _, r := range c.members[n].Live(c.net.Now(), "entry") {
		l[r.Name] = true
	}
	return l
}

func allNames() map[string]bool {
	l := map[string]bool{}
	for i := range clusterSize {
		l[name(i)] = true
	}
	return l
}

// TestAllFindEachOther injects restarts at the same address, freezes, one-way partitions and
// simultaneous restarts of all processes. Some time after the repair, every process must count
// every other as live.
func TestAllFindEachOther(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(seed)
		c.net.Run(5 * time.Second)
		for range 6 {
			c.injectFault()
			c.net.Run(time.Duration(c.net.Rand.IntN(4000)) * time.Millisecond)
		}
		c.repairFaults()
		c.net.Run(12 * time.Second)
		for i := range clusterSize {
			if d := cmp.Diff(allNames(), c.live(name(i))); d != "" {
				t.Errorf("random seed %d: members that %s counts as live (-want +got):\n%s", seed, name(i), d)
			}
		}
	}
}

// injectFault restarts, freezes or partitions a random process, or restarts all.
func (c *cluster) injectFault() {
	n := name(c.net.Rand.IntN(clusterSize))
	switch c.net.Rand.IntN(4) {
	case 0:
		c.start(n)
	case 1:
		c.net.Freeze(n)
	case 2:
		c.net.Partitioned = func(from, _ string) bool { return from == n }
	case 3:
		for i := range clusterSize {
			c.start(name(i))
		}
	}
}

func (c *cluster) repairFaults() {
	c.net.Partitioned = func(string, string) bool { return false }
	for i := range clusterSize {
		c.net.Thaw(name(i))
	}
}

// TestDeadMemberIsForgotten checks that a silent process counts as dead after the failure timeout,
// and that CountKnown includes it for forgetFactor failure timeouts. If it were dropped earlier,
// the others' shares of a limit would grow while it may still use its own.
func TestDeadMemberIsForgotten(t *testing.T) {
	c := newCluster(1)
	c.net.Run(5 * time.Second)
	c.net.Freeze(name(9))
	c.net.Run(minFailureTimeout + 3*time.Second)
	if c.live(name(4))[name(9)] {
		t.Error("a frozen process counts as live")
	}
	if d := cmp.Diff(clusterSize-1, c.members[name(4)].CountKnown("entry")); d != "" {
		t.Errorf("known members (-want +got):\n%s", d)
	}
	c.net.Run(forgetFactor * minFailureTimeout)
	if d := cmp.Diff(clusterSize-2, c.members[name(4)].CountKnown("entry")); d != "" {
		t.Errorf("known members after the dead one is dropped (-want +got):\n%s", d)
	}
}

// TestSingleSeedIsEnough checks that processes find each other while all seeds but one are down.
func TestSingleSeedIsEnough(t *testing.T) {
	c := newCluster(2)
	c.net.Freeze(name(0))
	c.net.Freeze(name(1))
	c.net.Run(10 * time.Second)
	got := c.live(name(7))
	want := allNames()
	delete(want, name(0))
	delete(want, name(1))
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("live (-want +got):\n%s", d)
	}
}

// TestIsolationIsDetected partitions a process from all others in both directions. It must
// detect that it is isolated, and no other process may count itself as isolated.
func TestIsolationIsDetected(t *testing.T) {
	c := newCluster(3)
	c.net.Run(5 * time.Second)
	n := name(5)
	c.net.Partitioned = func(from, to string) bool { return from == n || to == n }
	c.net.Run(isolationTimeout + GossipInterval)
	for i := range clusterSize {
		if d := cmp.Diff(name(i) == n, c.members[name(i)].Isolated(c.net.Now())); d != "" {
			t.Errorf("%s is isolated (-want +got):\n%s", name(i), d)
		}
	}
}

// TestLargeCluster runs more processes than fit into a message. Once all know each other, a
// process may count at most one running process as dead, and must count a frozen one as dead.
func TestLargeCluster(t *testing.T) {
	const n = 120
	c := newClusterOf(4, n)
	c.net.Run(30 * time.Second)
	for range 5 {
		for i := range n {
			if got := len(c.live(name(i))); got < n-1 {
				t.Fatalf("%s counts %d of %d processes as live", name(i), got, n)
			}
		}
		c.net.Run(2 * time.Second)
	}
	c.net.Freeze(name(9))
	c.net.Run(3 * c.members[name(4)].failureTimeout())
	if c.live(name(4))[name(9)] {
		t.Error("a frozen process counts as live")
	}
}
