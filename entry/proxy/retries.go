package proxy

import (
	"time"

	"cranberrypoint.example/coord/recent"
)

const (
	// timeLimitSamples is the number of time limits of a route's callers that are remembered.
	timeLimitSamples = 128
	// medianQuantile and upper are the quantiles of the time limits that tell how far those of first
	// attempts reach down.
	medianQuantile = 0.5
	upperQuantile  = 0.75
	// spreadFactor is how many times the distance from the middle to the upper quantile they
	// spreadFactor below the middle, if they are spread evenly.
	spreadFactor = 2
)

// retryEstimator tells callers that come back from those that come first, by the time that they
// will wait: one that comes back has less left than first attempts have.
//
// It answers callers whose limits vary by themselves: who is taken for late though he isn't
// goes behind all others, and is late then.
type retryEstimator struct {
	timeLimits *recent.Samples[time.Duration]
}

func newRetryEstimator() *retryEstimator {
	return &retryEstimator{recent.New[time.Duration](timeLimitSamples)}
}

// add takes in the time limit of an attempt.
func (r *retryEstimator) add(left time.Duration) { r.timeLimits.Add(left) }

// elapsedBefore returns how long a caller with a time limit has elapsedBefore at least before this
// attempt, if most attempts are first ones.
func (r *retryEstimator) elapsedBefore(left time.Duration) time.Duration {
	m := r.timeLimits.Quantile(medianQuantile)
	least := m - spreadFactor*(r.timeLimits.Quantile(upperQuantile)-m)
	return max(0, least-left)
}
