package proxy

import (
	"time"

	"cranberrypoint.example/coord/recent"
)

const (
	// waitSamples is the number of time limits of a route's callers that are remembered.
	waitSamples = 128
	// middle and upper are the quantiles of the time limits that tell how far those of first
	// attempts reach down.
	middle = 0.5
	upper  = 0.75
	// reach is how many times the distance from the middle to the upper quantile they
	// reach below the middle, if they are spread evenly.
	reach = 2
)

// retries tells callers that come back from those that come first, by the time that they
// will wait: one that comes back has less left than first attempts have.
//
// It answers callers whose limits vary by themselves: who is taken for late though he isn't
// goes behind all others, and is late then.
type retries struct {
	limits *recent.Samples[time.Duration]
}

func newRetries() *retries { return &retries{recent.New[time.Duration](waitSamples)} }

// add takes in the time limit of an attempt.
func (r *retries) add(left time.Duration) { r.limits.Add(left) }

// waited returns how long a caller with a time limit has waited at least before this
// attempt, if most attempts are first ones.
func (r *retries) waited(left time.Duration) time.Duration {
	m := r.limits.Quantile(middle)
	least := m - reach*(r.limits.Quantile(upper)-m)
	return max(0, least-left)
}
