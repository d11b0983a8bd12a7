package fake

import "time"

// stream is a connection between two nodes that keeps the order of its messages. When
// the network cuts it, it falls silent for good; neither end is told.
type stream struct {
	net    *Net
	entry  string
	agent  string
	silent bool
	closed bool
	// ready is the earliest delivery of the next message, by direction.
	ready [2]time.Time
}

// Directions of a stream's messages.
const (
	toAgent = 0
	toEntry = 1
)

// send delivers a message after those sent before it in the same direction.
func (s *stream) send(direction int, life uint64, deliver func()) {
	from, to := s.entry, s.agent
	if direction == toEntry {
		from, to = s.agent, s.entry
	}
	if s.closed || s.silent {
		return
	}
	if s.net.Partitioned(from, to) || s.net.Rand.Float64() < s.net.Faults.Loss {
		s.silent = true
		return
	}
	at := s.net.Now().Add(s.net.delay())
	if at.Before(s.ready[direction]) {
		at = s.ready[direction]
	}
	s.ready[direction] = at
	s.net.After(at.Sub(s.net.Now()), func() {
		if s.silent || s.net.Partitioned(from, to) {
			s.silent = true
			return
		}
		s.net.Do(to, life, deliver)
	})
}
