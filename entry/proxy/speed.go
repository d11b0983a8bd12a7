package proxy

import "time"

// minSampleTokens is the number of tokens whose reading tells something of an engine's speed;
// with fewer, what a send costs is taken for it.
const minSampleTokens = 256

// prefillSpeed is the prefillSpeed at which engines read prompts. The zero value has seen none.
type prefillSpeed struct {
	// perToken is the average time of a token in nanoseconds; 0 until some were read.
	perToken float64
}

// record takes in the time in which some tokens were read.
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

// estimate returns the expected estimate in which some tokens are read.
func (s *prefillSpeed) estimate(tokens int64) time.Duration {
	return time.Duration(s.perToken * float64(tokens))
}
