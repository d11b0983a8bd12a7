package edge

import (
	"sync"

	"cranberrypoint.example/coord/router"
)

// effectQueue is the state of one request. It passes the router's effects for the request to
// the goroutine that writes the answer, and holds the body for the runs to read.
type effectQueue struct {
	// body is the body of a request to a plain service, nil for other requests.
	body *requestBody

	mu    sync.Mutex
	queue []router.Effect
	// wake has a value if effects may have been queued or reading the body has failed.
	wake chan struct{}
}

func newEffectQueue(body *requestBody) *effectQueue {
	return &effectQueue{body: body, wake: make(chan struct{}, 1)}
}

// enqueue adds an effect and wakes the reader.
func (s *effectQueue) enqueue(x router.Effect) {
	s.mu.Lock()
	s.queue = append(s.queue, x)
	s.mu.Unlock()
	s.signal()
}

// signal wakes the reader.
func (s *effectQueue) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeAll empties the queue and returns its effects.
func (s *effectQueue) takeAll() []router.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue
	s.queue = nil
	return q
}
