package proxy

import "time"

const (
	// slowestDecay is the part by which the longest time falls with each sample below it.
	slowestDecay = 0.01
	// slowestMargin is how much longer than the longest time so far an answer may take.
	slowestMargin = 1.25
)

// slowest holds the longest times of recent answers, by key. It answers a shutdown with requests that arrive late: one that is
// begun must be whole before the end, so the usual time isn't enough to go by.
type slowest map[string]float64

// record records that an answer of a size took d.
func (s slowest) record(key string, size int64, d time.Duration) {
	t := float64(d) / float64(max(1, size))
	s[key] = max(t, s[key]-slowestDecay*(s[key]-t))
}

// estimate returns a time that an answer of a size doesn't exceed if it is no slower than recent ones; ok is false if there
// were none.
func (s slowest) estimate(key string, size int64) (d time.Duration, ok bool) {
	t, ok := s[key]
	return time.Duration(slowestMargin * t * float64(max(1, size))), ok
}
