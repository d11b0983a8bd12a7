package place

import (
	"cmp"
	"slices"
)

// growth is the memory that one run holds now and the tokens that it will still add.
type growth struct {
	usedTokens      int64
	remainingTokens int64
}

// blockTokens is the unit in which engines allocate KV cache memory.
const blockTokens = 16

// maxOverflows is the number of scenarios in which a plan may exceed the memory. An engine
// that runs out of memory preempts a run and later prefills its prompt and its answer again,
// between the tokens of the other runs, whose streams pause meanwhile. That is rare enough to
// cost less than reserving memory for every scenario, which would mostly stay unused.
const maxOverflows = 2

// compareRemaining orders runs by the time at which they end: all runs of a batch grow by
// one token in a step.
func compareRemaining(a, b growth) int { return cmp.Compare(a.remainingTokens, b.remainingTokens) }

// peakTokens returns the most memory that the runs hold together at any time until all
// have ended. Each run counts one block more than its tokens, since engines round up to whole
// blocks. The sum grows with each step and falls only when a run ends, so only the ends of
// runs are evaluated.
func peakTokens(runs []growth) (most int64) {
	r := slices.SortedFunc(slices.Values(runs), compareRemaining)
	var sum int64
	for _, g := range r {
		sum += g.usedTokens + blockTokens
	}
	for i, g := range r {
		alive := int64(len(r) - i)
		most = max(most, sum+alive*g.remainingTokens)
		sum -= g.usedTokens + blockTokens
	}
	return most
}

// plan holds the memory size and the slots of an engine, and the predicted growth of each
// granted run.
type plan struct {
	memoryTokens int64
	slots        int
	// lengths is the distribution of answer lengths; nil if too little is known.
	lengths *survival
	// scenarios holds the growth of each run in each scenario.
	scenarios [scenarioCount][]growth
	// expected holds the growth of each run for an answer of median length.
	expected []growth
	// answerTokens is the sum of the expected lengths of the runs' answers.
	answerTokens int64
}

// candidate is the predicted growth of one run that isn't granted yet. Its fields correspond
// to those of plan.
type candidate struct {
	scenarios [scenarioCount]growth
	expected  growth
}

// fits reports whether there is a slot for a further run and the memory overflows in at
// most maxOverflows scenarios.
func (p *plan) fits(c candidate) bool {
	if len(p.expected) >= p.slots {
		return false
	}
	over := 0
	for i := range p.scenarios {
		if peakTokens(append(slices.Clip(p.scenarios[i]), c.scenarios[i])) > p.memoryTokens {
			over++
		}
		if over > maxOverflows {
			return false
		}
	}
	return true
}

// stepsUntilFit returns the number of steps until the first end of a run at which the
// candidate is expected to fit, or until the last end if there is none. The parameter ahead
// is the number of requests queued before the candidate: that many ends of runs are skipped,
// as their places go to those requests, whose own memory isn't counted.
func (p *plan) stepsUntilFit(c candidate, ahead int) int64 {
	r := slices.SortedFunc(slices.Values(p.expected), compareRemaining)
	for i := range r {
		if i < ahead {
			continue
		}
		l := advance(r[i+1:], r[i].remainingTokens)
		if len(l) < p.slots && peakTokens(append(l, c.expected)) <= p.memoryTokens {
			return r[i].remainingTokens
		}
	}
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1].remainingTokens
}

// advance returns the runs as they will be after a number of steps.
func advance(runs []growth, steps int64) []growth {
	l := make([]growth, len(runs), len(runs)+1)
	for i, g := range runs {
		l[i] = growth{g.usedTokens + steps, g.remainingTokens - steps}
	}
	return l
}

// maxPromptTokens returns the largest prompt that could be admitted now with an answer
// like that of the candidate; 0 if none fits. The bisection stops at a precision of
// blockTokens*blockTokens (256) tokens and returns the lower bound.
func (p *plan) maxPromptTokens(c candidate) int64 {
	low, high := int64(0), p.memoryTokens
	for high-low > blockTokens*blockTokens {
		mid := (low + high) / 2
		if p.fits(c.withPrompt(mid)) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// withPrompt returns the candidate with a prompt of another length.
func (c candidate) withPrompt(tokens int64) candidate {
	for i := range c.scenarios {
		c.scenarios[i].usedTokens = tokens
	}
	c.expected.usedTokens = tokens
	return c
}
