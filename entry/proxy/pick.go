package proxy

import (
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/cost"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"github.com/sirupsen/logrus"
)

// placement is what was known when a request was last placed. It is empty unless an upstream of the service has ever
// named its slowness.
type placement struct {
	// expected is the work that the picker counts for a plain request; it doesn't change with further attempts.
	expected cost.Estimate
	// slowness is that of the upstream, and age how long ago the upstream named it; 0 if it never did.
	slowness float64
	age      time.Duration
}

// fields returns what a log line tells of a placement.
func (l placement) fields() logrus.Fields {
	f := logrus.Fields{}
	if l.slowness > 0 {
		f["slowness"] = l.slowness
		f["slowness-age-ms"] = l.age.Milliseconds()
	}
	if l.expected.Work > 0 {
		f["work-ms"] = l.expected.Work.Milliseconds()
		f["work-error-ms"] = l.expected.Error.Milliseconds()
		f["work-samples"] = l.expected.Samples
	}
	return f
}

// pickUpstream picks an upstream that was not tried yet and may get a request now. One that is said to
// leave is picked only if there is no other.
func (p *Proxy) pickUpstream(x *exchange, tried map[string]bool) (roster.Upstream, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.snapshot.Load().services[x.service.Name]
	var staying, saidToLeave []roster.Upstream
	for _, u := range all {
		switch {
		case tried[u.Instance] || !x.accepts(u) || !p.isAvailable(now, u.Instance):
		case p.isSaidToLeave(now, u.Instance):
			saidToLeave = append(saidToLeave, u)
		default:
			staying = append(staying, u)
		}
	}
	if len(p.returnedAt) > 0 {
		staying = orAll(staying, func(u roster.Upstream) bool { return !p.isReturning(now, u) })
	}
	if p.picker.KnowsSlowness(all) && x.placement.expected.Work == 0 && x.attempts == 0 {
		x.placement.expected = p.costs.Expect(costKey(x))
	}
	j := p.job(now, x)
	u, ok := p.picker.Pick(now, staying, j)
	if !ok {
		u, ok = p.picker.Pick(now, saidToLeave, j)
	}
	return u, ok
}

// notePlacement notes the slowness of the upstream to which a request is sent, if the upstreams of its service are
// uneven. p.mu must be held.
func (p *Proxy) notePlacement(now time.Time, x *exchange, u roster.Upstream) {
	if !p.knowsSlowness(x) {
		return
	}
	x.placement.slowness, x.placement.age = p.picker.Slowness(now, u.Instance)
	p.metrics.placed.WithLabelValues(slownessLabel(x.placement.slowness)).Inc()
}

// slowFrom is the slowness from which an upstream counts as slow in the metrics.
const slowFrom = 1.5

func slownessLabel(slowness float64) string {
	if slowness >= slowFrom {
		return "slow"
	}
	return "usual"
}

func errorLabel(work time.Duration, e cost.Estimate) string {
	if (work - e.Work).Abs() <= e.Error {
		return "within"
	}
	return "beyond"
}

// job returns what the picker is told of a request.
func (p *Proxy) job(now time.Time, x *exchange) picker.Job {
	j := picker.Job{Work: x.placement.expected.Work, Error: x.placement.expected.Error}
	if x.route != nil && x.route.TargetLatency > 0 {
		j.Target = max(0, x.arrived.Add(x.route.TargetLatency).Sub(now))
	}
	return j
}

// costKey returns what the work of a request is learned by.
func costKey(x *exchange) cost.Key {
	return cost.Key{Service: x.service.Name, Route: x.route.Name, Workspace: x.workspaceName()}
}

// observeSlowness records the slowness that an upstream has named in the head of an answer.
func (p *Proxy) observeSlowness(u roster.Upstream, info calls.ResponseInfo) {
	if info.Load == nil || info.Load.SlownessPercent == 0 || info.WrongInstance {
		return
	}
	p.metrics.upstreamStates.WithLabelValues("slowness").Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.ObserveSlowness(time.Now(), u.Instance, info.Load.SlownessPercent)
}

// learnWork learns from the time to the head of a plain request's answer: the work of the request if the upstream
// named its slowness, and otherwise the slowness of the upstream.
func (p *Proxy) learnWork(x *exchange, u roster.Upstream, info calls.ResponseInfo, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := x.placement.expected
	if e.Work == 0 && !p.knowsSlowness(x) {
		return
	}
	now := time.Now()
	waiting := 0.0
	if info.Load != nil {
		waiting = float64(info.Load.Waiting) / float64(max(1, info.Load.Slots))
	}
	if info.Load == nil || info.Load.SlownessPercent == 0 {
		p.picker.ObserveTime(now, u.Instance, cost.WorkOf(took, 1, waiting), e)
		return
	}
	slowness, _ := p.picker.Slowness(now, u.Instance)
	if x.placement.slowness > 0 {
		// It may have changed under way.
		slowness = (slowness + x.placement.slowness) / 2
	}
	work := cost.WorkOf(took, slowness, waiting)
	p.costs.Observe(costKey(x), work)
	if e.Samples > 0 {
		p.metrics.workEstimates.WithLabelValues(errorLabel(work, e)).Inc()
	}
}
