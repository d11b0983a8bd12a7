package proxy

import "time"

const (
	// frequentValues is the number of values that are counted at a time.
	frequentValues = 8
	// frequentCap bounds a count, so that a new usual value takes over soon.
	frequentCap = 64
)

// frequent finds the most frequent of a sequence of values in little memory, by the
// algorithm of Misra and Gries (1982). The zero value has seen none.
type frequent struct {
	counts map[time.Duration]int
}

// add counts a value.
func (f *frequent) add(d time.Duration) {
	if f.counts == nil {
		f.counts = map[time.Duration]int{}
	}
	if _, ok := f.counts[d]; ok || len(f.counts) < frequentValues {
		f.counts[d]++
		if f.counts[d] < frequentCap {
			return
		}
	}
	for v := range f.counts {
		if f.counts[v]--; f.counts[v] <= 0 {
			delete(f.counts, v)
		}
	}
}

// most returns the most frequent value; of several the largest.
func (f *frequent) most() (d time.Duration) {
	n := 0
	for v, c := range f.counts {
		if c > n || c == n && v > d {
			d, n = v, c
		}
	}
	return d
}
