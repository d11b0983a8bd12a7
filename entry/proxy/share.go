package proxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/slots"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
)

const (
	// meanWeight is the weight of a workspace that has bought the mean rate.
	meanWeight = 100
	// maxWeight bounds the weight of a workspace that has bought far more than the others.
	maxWeight = 100 * meanWeight
	// slotWaitShare is the part of a request's time left for which it waits at most for a slot of a plain
	// upstream, so that the caller may come again.
	slotWaitShare = 1.0 / 3
	// promoteShare is the part of that wait after which a less urgent request is served like the others.
	promoteShare = 0.5
	// retryJitter is by how much the Retry-After of a refusal is lengthened at most, as a part of it.
	retryJitter = 0.5
)

// errNoRoom means that an upstream did not run a request since all its slots are taken.
var errNoRoom = eris.New("the upstream has no room")

// shares holds what this entry needs to share places and slots among workspaces.
type shares struct {
	weights atomic.Pointer[weights]

	mu sync.Mutex
	// limiters holds the requests to each service of plain upstreams.
	limiters map[string]*serviceLimiter
}

// serviceLimiter is the limiter of a service.
type serviceLimiter struct {
	slots.Limiter[*slotWaiter]
	// timer lets waiting requests go although no send ends; nil until it is needed.
	timer *time.Timer
}

// weights are those of the workspaces of a configuration.
type weights struct {
	rules *rules.Rules
	// meanRate is in tokens a second; 0 if no workspace has a limit in tokens.
	meanRate float64
}

func newWeights(r *rules.Rules) *weights {
	var sum float64
	n := 0
	for _, w := range r.Config().Workspaces {
		if hasTokenRate(&w) {
			sum += float64(w.Rate)
			n++
		}
	}
	return &weights{r, sum / float64(max(1, n))}
}

// hasTokenRate reports whether a workspace's rate can be compared with those of others.
func hasTokenRate(w *rules.Workspace) bool { return w.Rate > 0 && !w.CountsRequests }

// of returns the weight of a workspace: the rate that it bought, relative to the mean. Workspaces without a
// limit, or with one in requests, and callers without a workspace count as the mean.
func (s *weights) of(w *rules.Workspace) int64 {
	if w == nil || !hasTokenRate(w) || s.meanRate <= 0 {
		return meanWeight
	}
	return int64(min(maxWeight, max(1, meanWeight*float64(w.Rate)/s.meanRate)))
}

// shareWeight returns the weight of a request's workspace when places or slots are short.
func (p *Proxy) shareWeight(x *exchange) int64 {
	v := p.snapshot.Load()
	if v == nil || v.rules == nil {
		return meanWeight
	}
	s := p.shares.weights.Load()
	if s == nil || s.rules != v.rules {
		s = newWeights(v.rules)
		p.shares.weights.Store(s)
	}
	return s.of(x.workspace)
}

// withShare adds to a request for a place what it needs to be shared among workspaces.
func (p *Proxy) withShare(x *exchange, q *wire.HoldRequest) *wire.HoldRequest {
	q.Workspace, q.Weight = x.workspaceName(), p.shareWeight(x)
	return q
}

// slotWaiter is a plain request that waits for a slot.
type slotWaiter struct {
	// admitted is closed once the request may be sent.
	admitted chan struct{}
}

// limiterKey returns the key of the limiter of a request: its service and, since other upstreams serve others,
// the regions in which it may run.
func limiterKey(x *exchange) string {
	if !x.bounds.Restricts() {
		return x.service.Name
	}
	return x.service.Name + " in " + x.bounds.String()
}

// limiter returns the limiter with a key of limiterKey. p.shares.mu must be held.
func (p *Proxy) limiter(key string) *serviceLimiter {
	g := p.shares.limiters[key]
	if g == nil {
		if p.shares.limiters == nil {
			p.shares.limiters = map[string]*serviceLimiter{}
		}
		g = &serviceLimiter{}
		p.shares.limiters[key] = g
	}
	return g
}

// awaitSlot waits until a plain request may be sent, which is at once unless upstreams of its service have lately
// refused requests for want of room. Afterwards endSlot must be called, unless it returns a fault.
func (p *Proxy) awaitSlot(x *exchange) *fault.Error {
	now := time.Now()
	q, d := p.requestSlot(now, x)
	switch d {
	case slots.Admitted:
		return nil
	case slots.Rejected:
		p.metrics.slotWaits.WithLabelValues("hopeless").Inc()
		return overloadedFault(p.plainRetryAfter(x), "no slot is expected in time")
	}
	p.waitInQueue(x, q)
	x.record.waited += time.Since(now)
	return p.endWait(x, q)
}

// waitInQueue returns once a queued request may be sent or no longer waits. A shutdown may shorten the wait.
func (p *Proxy) waitInQueue(x *exchange, q slots.Request[*slotWaiter]) {
	timer := time.NewTimer(time.Until(q.ExpiresAt))
	defer timer.Stop()
	began := p.signals.began.Done()
	for {
		select {
		case <-q.Value.admitted:
		case <-timer.C:
		case <-x.ctx.Done():
		case <-began:
			began = nil
			if at, ok := p.latestSend(x); ok {
				timer.Reset(time.Until(earliest(q.ExpiresAt, at)))
			}
			continue
		}
		return
	}
}

// requestSlot asks the limiter of the request's service for a slot.
func (p *Proxy) requestSlot(now time.Time, x *exchange) (q slots.Request[*slotWaiter], d slots.Decision) {
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	g := p.limiter(limiterKey(x))
	if !g.IsLimited() {
		return q, g.Enter(now, q)
	}
	q = p.slotRequest(now, x, g.ServiceTime(), &slotWaiter{make(chan struct{})})
	x.record.queued = g.Waiting()
	d = g.Enter(now, q)
	// This also sets the timer.
	p.admitWaiting(now, g)
	return q, d
}

// endWait ends the wait of a request that was admitted or no longer waits.
func (p *Proxy) endWait(x *exchange, q slots.Request[*slotWaiter]) *fault.Error {
	p.shares.mu.Lock()
	g := p.limiter(limiterKey(x))
	left := g.Drop(q.Workspace, q.Value)
	after := p.slotRetryAfter(time.Now(), g, q)
	p.shares.mu.Unlock()
	switch {
	case !left && x.ctx.Err() == nil:
		p.metrics.slotWaits.WithLabelValues("admitted").Inc()
		return nil
	case !left:
		p.endSlot(x, false, nil, 0)
	}
	if x.ctx.Err() != nil {
		p.metrics.slotWaits.WithLabelValues("left").Inc()
		return p.contextFault(x, x.ctx.Err())
	}
	p.metrics.slotWaits.WithLabelValues("expired").Inc()
	if e := p.checkEndsBeforeShutdown(x); e != nil {
		return e
	}
	return overloadedFault(after, "no slot came free in time")
}

// slotRequest returns the request for a slot. It waits while it can be answered within its target or, if that has
// passed, for a part of the time left.
func (p *Proxy) slotRequest(now time.Time, x *exchange, serviceTime time.Duration, w *slotWaiter) slots.Request[*slotWaiter] {
	longest := now.Add(time.Duration(slotWaitShare * float64(x.timeLeft())))
	expires := x.arrived.Add(x.route.TargetLatency - serviceTime)
	if !expires.After(now) || expires.After(longest) {
		expires = longest
	}
	return slots.Request[*slotWaiter]{
		Workspace:    x.workspaceName(),
		Weight:       p.shareWeight(x),
		IsLessUrgent: p.isLessUrgent(x),
		PromoteAt:    now.Add(time.Duration(promoteShare * float64(expires.Sub(now)))),
		ExpiresAt:    expires,
		Value:        w,
	}
}

// isLessUrgent reports whether other routes to the service are more urgent than the request.
func (p *Proxy) isLessUrgent(x *exchange) bool {
	v := p.snapshot.Load()
	if v == nil || v.rules == nil {
		return false
	}
	own := p.priority(x)
	for _, t := range v.rules.Config().Routes {
		if t.Priority < own && t.Serves(x.service.Name) {
			return true
		}
	}
	return false
}

// slotRetryAfter returns when a refused caller's workspace is likely to have a slot, lengthened at random so
// that callers don't come back together. p.shares.mu must be held.
func (p *Proxy) slotRetryAfter(now time.Time, g *serviceLimiter, q slots.Request[*slotWaiter]) time.Duration {
	if !g.IsLimited() {
		return plainRetryAfter
	}
	wait := max(plainRetryAfter, g.ExpectedWait(now, q))
	return wait + time.Duration(retryJitter*rand.Float64()*float64(wait))
}

// plainRetryAfter returns the retry delay for a caller after upstreams were full or gone.
func (p *Proxy) plainRetryAfter(x *exchange) time.Duration {
	now := time.Now()
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	g := p.limiter(limiterKey(x))
	return p.slotRetryAfter(now, g, p.slotRequest(now, x, g.ServiceTime(), nil))
}

// tryInSlot is tryUpstream for a request that has a slot, which it gives back also if the answer is aborted.
func (p *Proxy) tryInSlot(x *exchange, u roster.Upstream) (done bool, err error) {
	began := time.Now()
	defer func() {
		p.endSlot(x, done, err, time.Since(began))
		if x.record.outcome == outcomeAnswered {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.engineStats.slowestAnswers.record(x.route.Name, 1, time.Since(began))
		}
	}()
	return p.tryUpstream(x, u)
}

// endSlot ends a send that awaitSlot has allowed and lets others go. done and err are the result of tryUpstream.
func (p *Proxy) endSlot(x *exchange, done bool, err error, took time.Duration) {
	now := time.Now()
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	g := p.limiter(limiterKey(x))
	wasLimited := g.IsLimited()
	switch {
	case eris.Is(err, errNoRoom):
		g.Refused(now, slots.Request[*slotWaiter]{Workspace: x.workspaceName(), Weight: p.shareWeight(x)})
	case done && err == nil:
		g.Answered(now, took)
	default:
		g.Cancel(slots.Request[*slotWaiter]{Workspace: x.workspaceName(), Weight: p.shareWeight(x)})
	}
	if !wasLimited && g.IsLimited() {
		p.log.WithField("event", "slots-short").WithField("service", x.service.Name).WithField("in-flight", g.InFlight()).Info("upstreams refuse requests for want of room; sends are limited")
	}
	p.admitWaiting(now, g)
}

// admitWaiting lets the requests go that may be sent. p.shares.mu must be held.
func (p *Proxy) admitWaiting(now time.Time, g *serviceLimiter) {
	for {
		w, ok := g.Next(now)
		if !ok {
			break
		}
		close(w.admitted)
	}
	at, ok := g.NextAt()
	if !ok {
		return
	}
	if g.timer != nil {
		g.timer.Reset(at.Sub(now))
		return
	}
	g.timer = time.AfterFunc(at.Sub(now), func() {
		p.shares.mu.Lock()
		defer p.shares.mu.Unlock()
		p.admitWaiting(time.Now(), g)
	})
}

// refusalError tells an upstream without room from one that refuses for another reason.
func refusalError(info calls.ResponseInfo) error {
	if info.NotExecuted && !info.WrongInstance && !info.Leaving && info.Pause == 0 && info.Limit == 0 {
		return errNoRoom
	}
	return errRefused
}
