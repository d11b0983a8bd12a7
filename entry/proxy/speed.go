package proxy

import "time"

// minSampleTokens is the shortest prompt whose prefill time is sampled. For shorter prompts, the
// time is mostly that of the send.
const minSampleTokens = 256

// prefillSpeed is the speed at which engines prefill prompts. The zero value has no samples.
type prefillSpeed struct {
	// perToken is the average time for a token in nanoseconds; 0 before the first sample.
	perToken float64
}

// record adds the time in which some tokens were prefilled to the average.
func (s *prefillSpeed) record(tokens int64, d time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	t := float64(d) / float64(tokens)
	if s.perToken == 0 {
		s.perToken = t
		return
	}
	s.perToken += averageWeight * (t - s.perToken)
}

// estimate returns the expected time to prefill some tokens.
func (s *prefillSpeed) estimate(tokens int64) time.Duration {
	return time.Duration(s.perToken * float64(tokens))
}
