package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/fault"
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

// stop is the stop of an entry in progress.
type stop struct {
	// noticed is when the balancer knows of it; cut is when what isn't finished is cut.
	noticed time.Time
	cut     time.Time
}

// mayCut reports whether a request that began to arrive at some time, and may take until a
// deadline, might be cut. Until the balancer knows of the stop, it has nowhere else to go.
func (s stop) mayCut(began, deadline time.Time) bool {
	return began.After(s.noticed) && deadline.After(s.cut)
}

// Drain says that the entry isn't ready, serves what still comes for a notice, finishes
// it, and returns at the latest when the context ends.
func (p *Proxy) Drain(ctx context.Context) {
	if d, ok := ctx.Deadline(); ok {
		p.stop.Store(&stop{noticed: time.Now().Add(notice), cut: d})
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

// ending reports whether a stream that usually takes d would be cut by the entry's stop.
func (p *Proxy) ending(d time.Duration) bool {
	s := p.stop.Load()
	return s != nil && time.Until(s.cut) < d
}

// leaving refuses a request that the entry's own stop might cut.
func (p *Proxy) leaving(x *exchange) *fault.Error {
	s := p.stop.Load()
	if s == nil || !s.mayCut(x.began, x.deadline) {
		return nil
	}
	return fault.NotRun(fault.Leaving, "the entry is stopping").WithAgain(time.Now().Add(leastAgain))
}
