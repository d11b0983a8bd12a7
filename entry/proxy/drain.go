package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/rules"
	"github.com/rotisserie/eris"
)

const (
	// deregistrationDelay is the time from the start of a shutdown until the load balancer has
	// noticed that the entry isn't ready. Callers may open connections until then.
	deregistrationDelay = 3 * time.Second
	// answerTime is how long before the end of a drain unfinished requests are cut off, so that those without an answer
	// still get one.
	answerTime = 200 * time.Millisecond
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

// drainSignals tell the requests in progress of a shutdown.
type drainSignals struct {
	// began ends when a shutdown begins, cutOff when it cuts off unfinished requests.
	began, cutOff context.Context
	begin, cut    context.CancelFunc
}

func newDrainSignals() (s drainSignals) {
	s.began, s.begin = context.WithCancel(context.Background())
	s.cutOff, s.cut = context.WithCancel(context.Background())
	return s
}

// Drain marks the entry as not ready, serves requests that still arrive during
// deregistrationDelay, finishes them, and returns at the latest when the context ends.
// Shortly before, it cuts off what isn't finished; requests without an answer are refused or fail then.
func (p *Proxy) Drain(ctx context.Context) {
	if d, ok := ctx.Deadline(); ok {
		d = d.Add(-answerTime)
		p.shutdown.Store(&shutdown{deregisteredAt: time.Now().Add(deregistrationDelay), deadline: d})
		defer time.AfterFunc(time.Until(d), p.signals.cut).Stop()
	}
	p.draining.Store(true)
	p.signals.begin()
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
	if n := p.activeRequests.Load(); n > 0 {
		p.log.WithField("event", "drain-incomplete").WithField("active", n).Warn("the shutdown ends with requests in progress")
	}
}

// closeClientConns closes the connections of callers as they become idle, until there are none or the context ends.
func (p *Proxy) closeClientConns(ctx context.Context) {
	for p.clientConns.count() > 0 && ctx.Err() == nil {
		p.clientConns.closeIdle(time.Now().Add(-minIdleTime))
		time.Sleep(connectionPollPeriod)
	}
}

// checkDrain refuses a request, as it arrives, that the entry's shutdown might cut off.
func (p *Proxy) checkDrain(x *exchange) *fault.Error {
	s := p.shutdown.Load()
	if s == nil || !s.mayInterrupt(x.firstByteAt, x.deadline) {
		return nil
	}
	return stoppingFault("it came after the load balancer has been told")
}

// checkEndsBeforeShutdown refuses a request that is to be sent to an upstream now, or that waits for that, if the entry's
// shutdown would probably cut it off.
func (p *Proxy) checkEndsBeforeShutdown(x *exchange) *fault.Error {
	at, ok := p.latestSend(x)
	if !ok || time.Now().Before(at) {
		return nil
	}
	return stoppingFault("too little time is left for the request")
}

// stoppingFault returns the fault for a request that no upstream ran and that another entry can serve at once.
func stoppingFault(reason string) *fault.Error {
	return fault.NotRun(fault.Leaving, "the entry is stopping: %s", reason).WithRetryAt(time.Now().Add(minRetryAfter))
}

// latestSend returns the latest time to send a request to an upstream for its answer to end before a shutdown in progress
// cuts it off. ok is false if no shutdown does.
func (p *Proxy) latestSend(x *exchange) (at time.Time, ok bool) {
	s := p.shutdown.Load()
	if s == nil || !x.deadline.After(s.deadline) {
		return at, false
	}
	d := p.longAnswerTime(x)
	if x.received.After(s.deregisteredAt) {
		d = max(d, p.longestAnswerTime(x))
	}
	return s.deadline.Add(-d), true
}

// untilLatestSend returns a context for what must end before the request can be sent to an upstream. It ends with the
// context of the request, or once a shutdown leaves too little time.
func (p *Proxy) untilLatestSend(x *exchange) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancel(x.ctx)
	stop := context.AfterFunc(p.signals.began, func() {
		if at, ok := p.latestSend(x); ok {
			t := time.AfterFunc(time.Until(at), end)
			context.AfterFunc(ctx, func() { t.Stop() })
		}
	})
	return ctx, func() { stop(); end() }
}

// longAnswerTime returns a time within which most requests like this one are answered once they are sent.
func (p *Proxy) longAnswerTime(x *exchange) time.Duration {
	if x.runsOnEngine() {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.engineStats.longRunTime()
	}
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	return time.Duration(longRunFactor * float64(p.limiter(limiterKey(x)).ServiceTime()))
}

// longestAnswerTime returns a time within which this request is answered once it is sent, however much longer than most it
// takes. If nothing is known of such requests, that follows from the latency target of a call, and is all the time that a stream has.
func (p *Proxy) longestAnswerTime(x *exchange) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.engineStats.slowestAnswers.estimate(x.route.Name, 1)
	if x.runsOnEngine() {
		d, ok = p.engineStats.slowestTokens.estimate(x.service.Name, x.call.MaxTokens)
		ok = ok && x.call.HasTokenCount
	}
	switch {
	case ok:
		return d
	case x.route.Kind == rules.Streaming || x.route.TargetLatency <= 0:
		return x.timeLeft()
	}
	return time.Duration(attemptLatencyFactor * float64(x.route.TargetLatency))
}

// errCutOff means that the shutdown has cut off a request that an upstream may have run.
var errCutOff = eris.New("the entry has stopped before the answer came")

// isCutOff reports whether the entry's shutdown has cut off a request.
func (p *Proxy) isCutOff(x *exchange) bool { return p.signals.cutOff.Err() != nil && x.timeLeft() > 0 }
