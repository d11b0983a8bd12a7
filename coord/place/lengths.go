package place

import (
	"math/rand/v2"
	"slices"
	"sort"

	"cranberrypoint.example/coord/recent"
)

const (
	// maxSamples is the number of completed answers that a lengthModel keeps.
	maxSamples = 160
	// minSamples is the number of completed answers below which every answer is expected to reach
	// its maximum length.
	minSamples = 6
	// overrunFraction is the fraction of its maximum length that an answer which is already
	// longer than all samples is expected to add.
	overrunFraction = 0.1
)

// lengthModel is an empirical distribution of answer lengths, as fractions of the maximum
// that was requested. Callers request a generous maximum, so memory reserved up to it would
// mostly stay free.
type lengthModel struct {
	// fractions are from 0 to 1.
	fractions *recent.Samples[float64]
}

func newLengthModel() lengthModel { return lengthModel{recent.New[float64](maxSamples)} }

// add adds the length of a completed answer, in tokens.
func (l lengthModel) add(length, maxTokens int64) {
	if maxTokens <= 0 || length <= 0 {
		return
	}
	l.fractions.Add(min(1, float64(length)/float64(maxTokens)))
}

// survival returns the distribution from completed answers and from the lengths of unfinished
// ones, as fractions of their maximum. Without the unfinished ones, the long answers would be
// missing at first: of the answers that began together, the shortest end first.
//
// This is the Kaplan-Meier estimate, in which one more answer reaches its maximum, as few
// samples say little of the longest answers. It is nil if there are too few completed answers.
func (l lengthModel) survival(unfinished []float64) *survival {
	if l.fractions.Len() < minSamples {
		return nil
	}
	unfinished = append(slices.Clone(unfinished), 1)
	slices.Sort(unfinished)
	n := l.fractions.Len()
	s := &survival{ends: make([]float64, n), share: make([]float64, n)}
	alive, passed := 1.0, 0
	for i, f := range l.fractions.Sorted() {
		for passed < len(unfinished) && unfinished[passed] < f {
			passed++
		}
		atRisk := float64(n - i + len(unfinished) - passed)
		alive *= 1 - 1/atRisk
		s.ends[i], s.share[i] = f, alive
	}
	return s
}

// survival is a distribution of answer lengths, as fractions of the maximum.
type survival struct {
	// ends are the lengths at which answers end, in ascending order.
	ends []float64
	// share holds, for each of the ends, the share of answers that are longer.
	share []float64
}

// remainingTokens returns the number of tokens that an answer of at most maxTokens is
// expected to add to the generated ones: the quantile q, from 0 to below 1, of the lengths of
// answers that were longer, less generated. With a nil survival it is the rest of maxTokens.
func (s *survival) remainingTokens(generated, maxTokens int64, q float64) int64 {
	rest := max(0, maxTokens-generated)
	if s == nil {
		return rest
	}
	from, _ := slices.BinarySearch(s.ends, float64(generated+1)/float64(max(1, maxTokens)))
	if from == len(s.ends) {
		return min(rest, int64(overrunFraction*float64(maxTokens)))
	}
	longer := 1.0
	if from > 0 {
		longer = s.share[from-1]
	}
	i := from + sort.Search(len(s.ends)-from, func(i int) bool { return s.share[from+i] <= longer*(1-q) })
	if i == len(s.ends) {
		return max(1, rest)
	}
	return max(1, int64(s.ends[i]*float64(maxTokens))-generated)
}

// scenarioCount is the number of random scenarios in which a plan is checked.
const scenarioCount = 24

// quantiles holds the quantile of the length distribution at which a run ends in each
// scenario. A run keeps those drawn at its grant, and all candidates share one set, so that a
// plan only changes when its input does.
type quantiles [scenarioCount]float64

func newQuantiles(r *rand.Rand) (q quantiles) {
	for i := range q {
		q[i] = r.Float64()
	}
	return q
}
