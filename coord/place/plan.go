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

// mostOverflows is the number of futures in which a plan may need more memory than there
// is: an engine that runs out preempts a run and reads its prompt again, which costs
// less than memory that is nearly always free.
const mostOverflows = 2

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

// plan is what runs may do: the growths of all in each future.
type plan struct {
	memory int64
	slots  int
	// in holds the growths of the runs in each future.
	in [futures][]growth
	// likely holds the growths that are expected.
	likely []growth
}

// candidate is a further run in each future.
type candidate struct {
	in     [futures]growth
	likely growth
}

// fits reports whether a further run can be admitted with few futures in which a run is
// preempted.
func (p *plan) fits(c candidate) bool {
	if len(p.likely) >= p.slots {
		return false
	}
	over := 0
	for i := range p.in {
		if peak(append(slices.Clip(p.in[i]), c.in[i])) > p.memory {
			over++
		}
		if over > mostOverflows {
			return false
		}
	}
	return true
}

// stepsUntil returns the number of tokens after which a further run is expected to fit,
// when ahead others are waiting before it.
func (p *plan) stepsUntil(c candidate, ahead int) int64 {
	r := slices.SortedFunc(slices.Values(p.likely), byLeft)
	for i := range r {
		if i < ahead {
			continue
		}
		l := later(r[i+1:], r[i].left)
		if len(l) < p.slots && peak(append(l, c.likely)) <= p.memory {
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
	l := make([]growth, len(runs), len(runs)+1)
	for i, g := range runs {
		l[i] = growth{g.tokens + steps, g.left - steps}
	}
	return l
}

// room returns the largest prompt that could be admitted now with an answer like that of
// the candidate, in tokens; 0 where none fits.
func (p *plan) room(c candidate) int64 {
	low, high := int64(0), p.memory
	for high-low > block*block {
		m := (low + high) / 2
		if p.fits(c.withPrompt(m)) {
			low = m
		} else {
			high = m
		}
	}
	return low
}

func (c candidate) withPrompt(tokens int64) candidate {
	for i := range c.in {
		c.in[i].tokens = tokens
	}
	c.likely.tokens = tokens
	return c
}
