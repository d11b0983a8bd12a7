package quota_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/tree"
)

// The planned size of the fleet. The benchmarks put all members, agents and entries, into
// one data centre.
const (
	plannedWorkspaces = 13000
	plannedAgents     = 110
	plannedMembers    = 163
)

// newTree returns a tree with n workspaces.
func newTree(n int) *tree.Tree {
	var b strings.Builder
	b.WriteString("root: {data-centres: [a, b, c, d, e, f, g]}\nworkspaces:\n")
	for i := range n {
		fmt.Fprintf(&b, "  w%d: {rate: 1000, burst: 10000, keys: [%s]}\n", i, tree.HashKey(fmt.Sprint(i)))
	}
	t, err := tree.FromDoc(1, []byte(b.String()))
	if err != nil {
		panic(err)
	}
	return t
}

// newMembers returns the VMs of data centre a.
func newMembers(agents, entries int) []fleet.VM {
	var r []fleet.VM
	for i := range agents {
		v := vm("a", fleet.Agent, i)
		v.CreatedRevision = 1
		r = append(r, v)
	}
	for i := range entries {
		v := vm("a", fleet.Entry, i)
		v.CreatedRevision = 1
		r = append(r, v)
	}
	return r
}

// sizeDivisors divide the planned size into the sizes to benchmark.
var sizeDivisors = []int{8, 4, 2, 1}

func BenchmarkUpdateShares(b *testing.B) {
	for _, divisor := range sizeDivisors {
		n := plannedWorkspaces / divisor
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			t := newTree(n)
			l := fleet.NewList(1, newMembers(plannedAgents, plannedMembers-plannedAgents))
			h := quota.NewHolder()
			b.ReportAllocs()
			for b.Loop() {
				h.UpdateShares(fake.Epoch, t, l, "a-agent-0", "a")
			}
		})
	}
}

func BenchmarkReserveAndSettle(b *testing.B) {
	h := quota.NewHolder()
	now := fake.Epoch
	h.Authorize(now, now.Add(time.Hour))
	h.SetShare(now, "w", quota.ShareLimit(1_000_000, 1_000_000, 1), 0)
	now = now.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		h.Reserve(now, "r", "w", 100, true)
		h.Settle(now, "r", "w", 0)
		h.Expire(now.Add(time.Hour))
	}
}

func BenchmarkAuthorityHandleReply(b *testing.B) {
	for _, divisor := range sizeDivisors {
		n := plannedMembers / divisor
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			l := fleet.NewList(1, newMembers(n, 0))
			a := quota.NewAuthority("a-agent-0", "a", quota.DefaultLeaseTerm, quota.DefaultLeaseMargin)
			a.Adopt(fake.Epoch, l)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				a.HandleReply(fake.Epoch, fake.Epoch, fmt.Sprintf("a-agent-%d", 1+i%(n-1)), 1, true)
			}
		})
	}
}

// BenchmarkTreeWithOneChange applies a change of one workspace to a settings tree of n
// workspaces.
func BenchmarkTreeWithOneChange(b *testing.B) {
	for _, divisor := range sizeDivisors {
		n := plannedWorkspaces / divisor
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			t := newTree(n)
			c := []tree.Change{{Key: "workspaces/w0", Value: []byte("{rate: 5, burst: 50}")}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := t.With(2, c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
