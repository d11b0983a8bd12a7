package limits

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake takes tokens from an owner that holds buckets for n workspaces.
func BenchmarkTake(b *testing.B) {
	// 13000 is the planned number of workspaces.
	for _, n := range []int{5, 13000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := New()
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				l.Take(now, names[i%n], testLimit, 200)
			}
		})
	}
}
