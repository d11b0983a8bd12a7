package place

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSubmit submits a request while other runs have places, and releases it.
func BenchmarkSubmit(b *testing.B) {
	for _, runs := range []int{2, 6, 11} {
		b.Run(fmt.Sprint(runs), func(b *testing.B) {
			s := New()
			s.SetSlots(12)
			s.Observe(epoch, Report{MemoryTokens: 200000, StartUnixMillis: 1})
			for i := range maxSamples {
				s.lengths.add(int64(1000+30*i), 11570)
			}
			for i := range runs {
				s.Submit(epoch, newRequest(fmt.Sprint(i), 5000, 11570, time.Second, time.Second))
			}
			for b.Loop() {
				s.Submit(epoch, newRequest("x", 5000, 11570, time.Second, time.Second))
				s.Release(epoch, "x")
			}
		})
	}
}

// BenchmarkState computes the state that an agent sends to the entries.
func BenchmarkState(b *testing.B) {
	s := New()
	s.SetSlots(12)
	s.Observe(epoch, Report{MemoryTokens: 200000, StartUnixMillis: 1})
	for i := range 8 {
		s.Submit(epoch, newRequest(fmt.Sprint(i), 5000, 11570, time.Second, time.Second))
	}
	for b.Loop() {
		s.State(epoch)
	}
}

// BenchmarkTick passes over a queue in which many requests of several workspaces wait.
func BenchmarkTick(b *testing.B) {
	for _, workspaces := range []int{1, 16} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			s := New()
			s.SetSlots(12)
			s.Observe(epoch, Report{MemoryTokens: 60000, StartUnixMillis: 1})
			for i := range 60 {
				r := newRequest(fmt.Sprint(i), 5000, 500, time.Minute, time.Hour)
				r.Workspace, r.Weight = fmt.Sprint(i%workspaces), 1
				s.Submit(epoch, r)
			}
			for b.Loop() {
				s.Tick(epoch)
			}
		})
	}
}

// BenchmarkCharge charges a grant where as many workspaces as are kept have accounts.
func BenchmarkCharge(b *testing.B) {
	a := accounts{byWorkspace: map[string]*account{}}
	for i := range maxAccounts {
		a.charge(epoch, Request{Workspace: fmt.Sprint(i), Weight: 1, PromptTokens: 1 << 40})
	}
	now := epoch
	for b.Loop() {
		now = now.Add(time.Microsecond)
		a.charge(now, Request{Workspace: "0", Weight: 1, PromptTokens: 1})
	}
}
