package proxy

import "time"

// leastRead is the number of tokens whose reading tells something of an engine's speed;
// with fewer, what a send costs is taken for it.
const leastRead = 256

// speed is the speed at which engines read prompts. The zero value has seen none.
type speed struct {
	// perToken is the average time of a token in nanoseconds; 0 until some were read.
	perToken float64
}

// learn takes in the time in which some tokens were read.
func (s *speed) learn(tokens int64, d time.Duration) {
	if tokens < leastRead {
		return
	}
	t := float64(d) / float64(tokens)
	if s.perToken == 0 {
		s.perToken = t
		return
	}
	s.perToken += smooth * (t - s.perToken)
}

// time returns the expected time in which some tokens are read.
func (s *speed) time(tokens int64) time.Duration {
	return time.Duration(s.perToken * float64(tokens))
}
