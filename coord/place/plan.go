package place

import (
	"cmp"
	"slices"
)

// growth is the memory that one run holds now and the tokens that it may still add.
type growth struct {
	tokens int64
	left   int64
}

// block is the number of tokens by which engines hand out memory.
const block = 16

// byLeft orders runs by the time at which they end: all runs of a batch grow by one
// token in a step.
func byLeft(a, b growth) int { return cmp.Compare(a.left, b.left) }

// peak returns the most memory that the runs hold together at any time until all have
// ended, in tokens. The sum grows while all run and falls only at the end of a run, so
// only those moments are looked at.
func peak(runs []growth) (most int64) {
	r := slices.SortedFunc(slices.Values(runs), byLeft)
	var sum int64
	for _, g := range r {
		sum += g.tokens + block
	}
	for i, g := range r {
		alive := int64(len(r) - i)
		most = max(most, sum+alive*g.left)
		sum -= g.tokens + block
	}
	return most
}

// fits reports whether a further run can be admitted without any run being preempted.
func fits(runs []growth, n growth, memory int64, slots int) bool {
	if len(runs) >= slots {
		return false
	}
	return peak(append(slices.Clip(runs), n)) <= memory
}

// stepsUntil returns the number of tokens after which a further run fits, when ahead
// others are waiting before it.
func stepsUntil(runs []growth, n growth, memory int64, slots, ahead int) int64 {
	if ahead == 0 && fits(runs, n, memory, slots) {
		return 0
	}
	r := slices.SortedFunc(slices.Values(runs), byLeft)
	for i := range r {
		if i < ahead {
			continue
		}
		if fits(later(r[i+1:], r[i].left), n, memory, slots) {
			return r[i].left
		}
	}
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1].left
}

// later returns the runs as they are after some steps.
func later(runs []growth, steps int64) []growth {
	l := make([]growth, len(runs))
	for i, g := range runs {
		l[i] = growth{g.tokens + steps, g.left - steps}
	}
	return l
}

// room returns the largest prompt that could be admitted now with an answer of most
// tokens, in tokens; 0 where none fits.
func room(runs []growth, most, memory int64, slots int) int64 {
	if len(runs) >= slots {
		return 0
	}
	low, high := int64(0), memory
	for high-low > block {
		m := (low + high) / 2
		if fits(runs, growth{m, most}, memory, slots) {
			low = m
		} else {
			high = m
		}
	}
	return low
}
