package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/fault"
)

const (
	// deregistrationDelay is the time from the start of a shutdown until the load balancer has
	// noticed that the entry isn't ready. Callers may open connections until then.
	deregistrationDelay = 3 * time.Second
	// connectionPollPeriod is the time between checks for open connections during a shutdown.
	connectionPollPeriod = 20 * time.Millisecond
	// minIdleTime is how long a connection must have been idle to be closed in a shutdown: a
	// caller that has just got an answer may be sending its next request.
	minIdleTime = 250 * time.Millisecond
)

// shutdown holds the times of a shutdown in progress.
type shutdown struct {
	// deregisteredAt is when the load balancer has noticed that the entry isn't ready; deadline
	// is when unfinished requests are cut off.
	deregisteredAt time.Time
	deadline       time.Time
}

// mayInterrupt reports whether the shutdown might cut off a request whose first bytes arrived at
// began and that may take until deadline. Requests from before deregisteredAt are never refused,
// because the load balancer did not know yet that it must send them to another entry.
func (s shutdown) mayInterrupt(began, deadline time.Time) bool {
	return began.After(s.deregisteredAt) && deadline.After(s.deadline)
}

// Drain marks the entry as not ready, serves requests that still arrive during
// deregistrationDelay, finishes them, and returns at the latest when the context ends.
func (p *Proxy) Drain(ctx context.Context) {
	if d, ok := ctx.Deadline(); ok {
		p.shutdown.Store(&shutdown{deregisteredAt: time.Now().Add(deregistrationDelay), deadline: d})
	}
	p.draining.Store(true)
	p.log.WithField("event", "draining").WithField("active", p.activeRequests.Load()).Info("draining")
	select {
	case <-time.After(deregistrationDelay):
	case <-ctx.Done():
	}
	// Idle connections are closed only now, because requests arrived on them until the load
	// balancer knew. The loop waits for the others, each of which is closed after its answer.
	p.closeClientConns(ctx)
	// A connection may be accepted at any time up to the close of the listener, and its request must be
	// answered too. A later one is refused, which tells the caller that nothing ran.
	_ = p.clientConns.Close()
	select {
	case <-p.stoppedAccepting:
	case <-ctx.Done():
	}
	p.closeClientConns(ctx)
}

// closeClientConns closes the connections of callers as they become idle, until there are none or the context ends.
func (p *Proxy) closeClientConns(ctx context.Context) {
	for p.clientConns.count() > 0 && ctx.Err() == nil {
		p.clientConns.closeIdle(time.Now().Add(-minIdleTime))
		time.Sleep(connectionPollPeriod)
	}
}

// shutsDownWithin reports whether a shutdown in progress cuts off streams in less than d.
func (p *Proxy) shutsDownWithin(d time.Duration) bool {
	s := p.shutdown.Load()
	return s != nil && time.Until(s.deadline) < d
}

// checkDrain refuses a request that the entry's shutdown might cut off.
func (p *Proxy) checkDrain(x *exchange) *fault.Error {
	s := p.shutdown.Load()
	if s == nil || !s.mayInterrupt(x.firstByteAt, x.deadline) {
		return nil
	}
	return fault.NotRun(fault.Leaving, "the entry is stopping").WithRetryAt(time.Now().Add(minRetryAfter))
}
