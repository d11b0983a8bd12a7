package proxy

import (
	"context"
	"time"
)

const (
	// notice is how long after a stop's begin callers may still open connections, until
	// the balancer has seen that the entry isn't ready.
	notice = 3 * time.Second
	// quietPeriod is the time between two looks for the last connection during a stop.
	quietPeriod = 20 * time.Millisecond
	// idleGrace is how long a connection must have been idle to be closed in a stop: a
	// caller that has just got an answer may be sending its next request.
	idleGrace = 250 * time.Millisecond
)

// Drain says that the entry isn't ready, serves what still comes for a notice, finishes
// it, and returns at the latest when the context ends.
func (p *Proxy) Drain(ctx context.Context) {
	if d, ok := ctx.Deadline(); ok {
		p.stopBy.Store(&d)
	}
	p.draining.Store(true)
	p.log.WithField("event", "draining").WithField("active", p.active.Load()).Info("stop")
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	// Idle connections are closed only now: until the balancer knew, requests came on them.
	// The others are waited for; each is closed after its answer.
	for p.callers.open() > 0 && ctx.Err() == nil {
		p.callers.closeIdle(time.Now().Add(-idleGrace))
		time.Sleep(quietPeriod)
	}
}

// ending reports whether a request that may take d would be cut by the entry's stop.
func (p *Proxy) ending(d time.Duration) bool {
	t := p.stopBy.Load()
	return t != nil && time.Until(*t) < d
}
