package fake

import "time"

// stream is an ordered connection between an entry and an agent. After a lost message or a
// partition it delivers nothing more, and neither end is notified.
type stream struct {
	net   *Net
	entry string
	agent string
	// stalled is true once the stream delivers nothing more, without notice to its ends.
	stalled bool
	closed  bool
	// ready is the earliest delivery time of the next message, by direction.
	ready [2]time.Time
}

// Directions of a stream's messages.
const (
	toAgent = 0
	toEntry = 1
)

// send delivers a message after the earlier ones in the same direction, unless the receiver
// restarted since the given restart count.
func (s *stream) send(direction int, restarts uint64, deliver func()) {
	from, to := s.entry, s.agent
	if direction == toEntry {
		from, to = s.agent, s.entry
	}
	if s.closed || s.stalled {
		return
	}
	if s.net.Partitioned(from, to) || s.net.Rand.Float64() < s.net.Faults.Loss {
		s.stalled = true
		return
	}
	at := s.net.Now().Add(s.net.delay())
	if at.Before(s.ready[direction]) {
		at = s.ready[direction]
	}
	s.ready[direction] = at
	s.net.After(at.Sub(s.net.Now()), func() {
		if s.stalled || s.net.Partitioned(from, to) {
			s.stalled = true
			return
		}
		s.net.Do(to, restarts, deliver)
	})
}
