package edge

import (
	"sync"

	"cranberrypoint.example/coord/router"
)

// sink passes the effects of one request to the handler that answers its caller.
type sink struct {
	body *body

	mu    sync.Mutex
	queue []router.Effect
	wake  chan struct{}
}

func newSink(body *body) *sink {
	return &sink{body: body, wake: make(chan struct{}, 1)}
}

func (s *sink) put(x router.Effect) {
	s.mu.Lock()
	s.queue = append(s.queue, x)
	s.mu.Unlock()
	s.signal()
}

func (s *sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sink) take() []router.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue
	s.queue = nil
	return q
}
