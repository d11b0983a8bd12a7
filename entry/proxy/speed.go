package proxy

import "time"

// minSampleTokens is the shortest prompt whose prefill time is sampled. For shorter prompts, the
// time is mostly that of the send.
const minSampleTokens = 256

// prefillSpeed is the speed at which engines prefill prompts. The zero value has no samples.
type prefillSpeed struct {
	// perToken is the average time for a token in nanoseconds; 0 before the first sample.
	perToken float64
	// samples is the number of samples, up to maxSpeedSamples.
	samples float64
}

const (
	// maxSpeedSamples is the weight of an engine's own average once it has many samples.
	maxSpeedSamples = 1 / averageWeight
	// averageSamples is the weight, in samples, of the average of all engines beside an engine's own.
	averageSamples = 4
)

// within shrinks the speed of an engine towards the average of all engines.
func (s prefillSpeed) within(average prefillSpeed) prefillSpeed {
	w := s.samples / (s.samples + averageSamples)
	return prefillSpeed{perToken: w*s.perToken + (1-w)*average.perToken, samples: s.samples}
}

// record adds the time in which some tokens were prefilled to the average.
func (s *prefillSpeed) record(tokens int64, d time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	s.samples = min(maxSpeedSamples, s.samples+1)
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
