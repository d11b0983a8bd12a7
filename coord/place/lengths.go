package place

import (
	"math/rand/v2"

	"cranberrypoint.example/coord/recent"
)

const (
	// maxSamples is the number of completed answers that a lengthModel keeps.
	maxSamples = 160
	// minSamples is the number of samples below which every answer is expected to reach its
	// maximum length.
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

// remainingTokens returns the number of tokens that an answer of at most maxTokens is
// expected to add to the generated ones: the quantile q, from 0 to below 1, of the lengths of
// answers that were longer, less generated. With too few samples it is the rest of maxTokens.
func (l lengthModel) remainingTokens(generated, maxTokens int64, q float64) int64 {
	if l.fractions.Len() < minSamples {
		return max(0, maxTokens-generated)
	}
	from := l.fractions.CountBelow(float64(generated+1) / float64(max(1, maxTokens)))
	if from == l.fractions.Len() {
		return min(max(0, maxTokens-generated), int64(overrunFraction*float64(maxTokens)))
	}
	return max(1, int64(l.fractions.QuantileFrom(from, q)*float64(maxTokens))-generated)
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
