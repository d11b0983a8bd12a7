// Package recent keeps the last values of a sequence in order, to tell their quantiles.
package recent

import (
	"cmp"
	"slices"
)

// Samples holds the last values that were added, up to a number. Use New.
type Samples[T cmp.Ordered] struct {
	ring   []T
	next   int
	sorted []T
}

// New returns samples that hold the last size values.
func New[T cmp.Ordered](size int) *Samples[T] {
	return &Samples[T]{ring: make([]T, 0, size), sorted: make([]T, 0, size)}
}

// Add adds a value. The oldest goes if there are too many.
func (s *Samples[T]) Add(v T) {
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, v)
	} else {
		i, _ := slices.BinarySearch(s.sorted, s.ring[s.next])
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.ring[s.next] = v
		s.next = (s.next + 1) % len(s.ring)
	}
	i, _ := slices.BinarySearch(s.sorted, v)
	s.sorted = slices.Insert(s.sorted, i, v)
}

// Len returns the number of values.
func (s *Samples[T]) Len() int { return len(s.sorted) }

// Quantile returns the value of which a part u, from 0 to below 1, lies below. There must be
// a value.
func (s *Samples[T]) Quantile(u float64) T { return s.QuantileFrom(0, u) }

// QuantileFrom is Quantile of the values from the index from on.
func (s *Samples[T]) QuantileFrom(from int, u float64) T {
	return s.sorted[from+int(u*float64(len(s.sorted)-from))]
}

// CountBelow returns the number of values below v.
func (s *Samples[T]) CountBelow(v T) int {
	i, _ := slices.BinarySearch(s.sorted, v)
	return i
}
