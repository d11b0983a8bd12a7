package proxy

import (
	"time"

	"cranberrypoint.example/coord/recent"
)

const (
	// timeLimitSamples is the number of recent caller time limits kept for a route.
	timeLimitSamples = 128
	// medianQuantile and upperQuantile are the quantiles of the time limits from which the
	// shortest limit of a first attempt is estimated.
	medianQuantile = 0.5
	upperQuantile  = 0.75
	// spreadFactor times the distance between the two quantiles is the distance from the median
	// down to the shortest limit, if the limits are uniformly distributed.
	spreadFactor = 2
)

// callerRetryEstimator distinguishes retries of callers from first attempts by the time limit that
// they send: a retry has less time left than first attempts have.
//
// The limits of some callers vary by themselves. The prefill deadline of a supposed retry is moved
// earlier by the time spent before, so the agent counts it as late and schedules it behind requests
// that can still start on time. A first attempt that is taken for a retry would thereby really
// become late, so the estimate starts from the shortest limit that first attempts are likely to
// have.
type callerRetryEstimator struct {
	timeLimits *recent.Samples[time.Duration]
}

func newCallerRetryEstimator() *callerRetryEstimator {
	return &callerRetryEstimator{recent.New[time.Duration](timeLimitSamples)}
}

// add records the time limit of an attempt.
func (r *callerRetryEstimator) add(left time.Duration) { r.timeLimits.Add(left) }

// elapsedBefore returns the least time that a caller with the given limit has spent on earlier
// attempts, provided that most attempts are first ones.
func (r *callerRetryEstimator) elapsedBefore(left time.Duration) time.Duration {
	m := r.timeLimits.Quantile(medianQuantile)
	shortest := m - spreadFactor*(r.timeLimits.Quantile(upperQuantile)-m)
	return max(0, shortest-left)
}
