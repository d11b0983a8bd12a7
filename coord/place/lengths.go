package place

import (
	"math/rand/v2"

	"cranberrypoint.example/coord/recent"
)

const (
	// samples is the number of ended answers that the distribution of lengths holds.
	samples = 160
	// leastSamples is the number below which every answer is expected to be its longest.
	leastSamples = 6
	// overtime is what an answer that is longer than all samples is expected to add, as a
	// part of its longest length.
	overtime = 0.1
)

// lengths learns how long answers get, as parts of the longest that was asked for.
// Callers ask for a generous maximum, so memory up to the maximum would mostly stay free.
type lengths struct {
	parts *recent.Samples[float64]
}

func newLengths() lengths { return lengths{recent.New[float64](samples)} }

// learn takes in the length of an ended answer.
func (l lengths) learn(length, most int64) {
	if most <= 0 || length <= 0 {
		return
	}
	l.parts.Add(min(1, float64(length)/float64(most)))
}

// left returns the tokens that an answer still adds after done of at most most: the
// quantile u of the answers that were longer than done.
func (l lengths) left(done, most int64, u float64) int64 {
	if l.parts.Len() < leastSamples {
		return max(0, most-done)
	}
	from := l.parts.CountBelow(float64(done+1) / float64(max(1, most)))
	if from == l.parts.Len() {
		return min(max(0, most-done), int64(overtime*float64(most)))
	}
	return max(1, int64(l.parts.QuantileFrom(from, u)*float64(most))-done)
}

// futures is the number of drawn futures on which a plan is tried.
const futures = 24

// fate is where in the distribution of lengths a run lies in each future. It is fixed for
// a run, so that a plan doesn't change by itself.
type fate [futures]float64

func newFate(r *rand.Rand) (f fate) {
	for i := range f {
		f[i] = r.Float64()
	}
	return f
}
