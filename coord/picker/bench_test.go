package picker

import (
	"fmt"
	"testing"
)

// BenchmarkPick chooses among the upstreams of one service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 32, 256, 770} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint(i))
			}
			p, l := New("home", 1), upstreams(names...)
			for b.Loop() {
				p.Pick(epoch, l, Job{})
			}
		})
	}
}

// BenchmarkPickUneven chooses among upstreams that name their slowness.
func BenchmarkPickUneven(b *testing.B) {
	for _, n := range []int{4, 32, 256, 770} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint(i))
			}
			p, l := New("home", 1), upstreams(names...)
			for i, s := range names {
				p.ObserveSlowness(epoch, s, 100+i%3*75)
			}
			for b.Loop() {
				p.Pick(epoch, l, Job{})
			}
		})
	}
}
