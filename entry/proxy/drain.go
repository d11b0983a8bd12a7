package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/fault"
)

const (
	// lameDuckPeriod is how long after a stop's begin callers may still open connections, until
	// the balancer has seen that the entry isn't ready.
	lameDuckPeriod = 3 * time.Second
	// connectionPollPeriod is the time between two looks for the last connection during a stop.
	connectionPollPeriod = 20 * time.Millisecond
	// minIdleTime is how long a connection must have been idle to be closed in a stop: a
	// caller that has just got an answer may be sending its next request.
	minIdleTime = 250 * time.Millisecond
)

// shutdown is the shutdown of an entry in progress.
type shutdown struct {
	// lameDuckEnd is when the balancer knows of it; cut is when what isn't finished is cut.
	lameDuckEnd time.Time
	deadline    time.Time
}

// mayInterrupt reports whether a request that began to arrive at some time, and may take until a
// deadline, might be cut. Until the balancer knows of the stop, it has nowhere else to go.
func (s shutdown) mayInterrupt(began, deadline time.Time) bool {
	return began.After(s.lameDuckEnd) && deadline.After(s.deadline)
}

// Drain says that the entry isn't ready, serves what still comes for a notice, finishes
// it, and returns at the latest when the context ends.
func (p *Proxy) Drain(ctx context.Context) {
	if d, ok := ctx.Deadline(); ok {
		p.shutdown.Store(&shutdown{lameDuckEnd: time.Now().Add(lameDuckPeriod), deadline: d})
	}
	p.draining.Store(true)
	p.log.WithField("event", "draining").WithField("active", p.activeRequests.Load()).Info("stop")
	select {
	case <-time.After(lameDuckPeriod):
	case <-ctx.Done():
	}
	// Idle connections are closed only now: until the balancer knew, requests came on them.
	// The others are waited for; each is closed after its answer.
	for p.clients.count() > 0 && ctx.Err() == nil {
		p.clients.closeIdle(time.Now().Add(-minIdleTime))
		time.Sleep(connectionPollPeriod)
	}
}

// endsWithin reports whether a stream that usually takes d would be cut by the entry's stop.
func (p *Proxy) endsWithin(d time.Duration) bool {
	s := p.shutdown.Load()
	return s != nil && time.Until(s.deadline) < d
}

// checkDrain refuses a request that the entry's own stop might cut.
func (p *Proxy) checkDrain(x *exchange) *fault.Error {
	s := p.shutdown.Load()
	if s == nil || !s.mayInterrupt(x.firstByteAt, x.deadline) {
		return nil
	}
	return fault.NotRun(fault.Leaving, "the entry is stopping").WithAgain(time.Now().Add(minRetryAfter))
}
