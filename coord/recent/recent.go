// Package recent remembers what came last: Samples computes quantiles over the last values of a sequence, Cache
// holds the values that were put under keys in the last time.
package recent

import (
	"cmp"
	"slices"
)

// Samples holds the last values that were added, up to a fixed number. Use New.
type Samples[T cmp.Ordered] struct {
	// values is a ring buffer in the order of arrival.
	values []T
	// oldest is the index of the oldest value once the buffer is full.
	oldest int
	// sorted holds the same values in ascending order.
	sorted []T
}

// New returns empty samples that hold up to the last size values.
func New[T cmp.Ordered](size int) *Samples[T] {
	return &Samples[T]{values: make([]T, 0, size), sorted: make([]T, 0, size)}
}

// Add adds a value. If the window is full, the oldest value is dropped.
func (s *Samples[T]) Add(v T) {
	if len(s.values) < cap(s.values) {
		s.values = append(s.values, v)
	} else {
		i, _ := slices.BinarySearch(s.sorted, s.values[s.oldest])
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.values[s.oldest] = v
		s.oldest = (s.oldest + 1) % len(s.values)
	}
	i, _ := slices.BinarySearch(s.sorted, v)
	s.sorted = slices.Insert(s.sorted, i, v)
}

// Len returns the number of values.
func (s *Samples[T]) Len() int { return len(s.sorted) }

// Sorted returns the values in ascending order. The slice is valid until the next Add.
func (s *Samples[T]) Sorted() []T { return s.sorted }

// Quantile returns the u-quantile of the values: of n values in ascending order, the one at
// index int(u*n). u is at least 0 and below 1. It panics if there are no values.
func (s *Samples[T]) Quantile(u float64) T { return s.sorted[int(u*float64(len(s.sorted)))] }
