package place

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAsk asks for a place beside some runs, and ends it again.
func BenchmarkAsk(b *testing.B) {
	for _, runs := range []int{2, 6, 11} {
		b.Run(fmt.Sprint(runs), func(b *testing.B) {
			l := New()
			l.SetSlots(12)
			l.Observe(epoch, Report{MemoryTokens: 200000, StartUnixMillis: 1})
			for i := range samples {
				l.lengths.learn(int64(1000+30*i), 11570)
			}
			for i := range runs {
				l.Submit(epoch, ask(fmt.Sprint(i), 5000, 11570, time.Second, time.Second))
			}
			for b.Loop() {
				l.Submit(epoch, ask("x", 5000, 11570, time.Second, time.Second))
				l.Release(epoch, "x")
			}
		})
	}
}

// BenchmarkState computes what entries are told.
func BenchmarkState(b *testing.B) {
	l := New()
	l.SetSlots(12)
	l.Observe(epoch, Report{MemoryTokens: 200000, StartUnixMillis: 1})
	for i := range 8 {
		l.Submit(epoch, ask(fmt.Sprint(i), 5000, 11570, time.Second, time.Second))
	}
	for b.Loop() {
		l.State()
	}
}
