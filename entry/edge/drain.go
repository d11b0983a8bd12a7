package edge

import (
	"context"
	"time"

	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/trace"
)

// answerTime is how long before the end of a drain unfinished requests fail, so that their callers still learn it.
const answerTime = time.Second

// Drain reports not ready, so that the load balancer stops sending requests, keeps
// accepting requests until notice has passed, and waits until all requests have finished
// and their reservations are settled. It returns early if the context ends; shortly before, what is
// unfinished fails.
func (e *Edge) Drain(ctx context.Context, notice time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.trace.Add(time.Now(), trace.Event{Kind: trace.Draining})
	e.log.Info("draining")
	// Idle connections stay open until notice has passed, because a request may be in
	// flight on them.
	e.closeConnections.Store(true)
	if d, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(d)-answerTime, e.endRequests).Stop()
	}
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	if err := e.httpServer.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("shutdown of the callers' HTTP server is incomplete")
	}
	for e.Status().Active > 0 && ctx.Err() == nil {
		time.Sleep(tickPeriod)
	}
	e.awaitSettlements(ctx)
}

// endRequests fails the requests that are unfinished shortly before a drain ends.
func (e *Edge) endRequests() {
	e.cut()
	e.step(router.DrainEnded{})
}

// awaitSettlements waits until all reservations are settled or the context ends.
func (e *Edge) awaitSettlements(ctx context.Context) {
	for e.metrics.pendingSettlements.Load() > 0 && ctx.Err() == nil {
		time.Sleep(tickPeriod)
	}
}
