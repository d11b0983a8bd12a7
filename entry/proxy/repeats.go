package proxy

import (
	"cranberrypoint.example/coord/budget"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/mesh"
)

// repeatReason says why a request is sent once more, in logs and metrics.
type repeatReason string

const (
	// repeatRun is a run or a plain call after one that failed or was refused.
	repeatRun repeatReason = "run"
	// repeatWithoutCache is a run at the same engine, which had refused it since the KV cache was gone.
	repeatWithoutCache repeatReason = "without-cache"
	// repeatPrefill is a prefill after an earlier one of the request.
	repeatPrefill repeatReason = "prefill"
	// repeatRefusedPrefill is a first prefill that the engine refused, or whose answer was lost.
	repeatRefusedPrefill repeatReason = "refused-prefill"
)

// retryBudget returns the retry budget of a service. p.mu must be held.
func (p *Proxy) retryBudget(service string) *budget.Budget {
	b := p.retryBudgets[service]
	if b == nil {
		var opts []budget.Option
		if !p.settings.FirstStart {
			opts = append(opts, budget.WithRestartAt(p.startInstant))
		}
		b = budget.New(p.settings.RetryBudget, opts...)
		p.retryBudgets[service] = b
	}
	return b
}

// countRequest counts a request for the retry budget of its service.
func (p *Proxy) countRequest(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(x.service.Name).RecordRequest(clock.Now())
}

// drawRetryBudget reports whether the retry budget allows another send, and counts it there if so.
// earlier is the number of sends of the same kind, decodes or plain sends, that the
// request has made so far; the first is always allowed and not counted.
func (p *Proxy) drawRetryBudget(x *exchange, earlier int, why repeatReason) bool {
	if earlier == 0 {
		return true
	}
	ok := p.allowRepeat(x, clock.Now())
	p.recordRepeat(x, why, ok)
	return ok
}

// allowRepeat draws on the retry budget of the request's service.
func (p *Proxy) allowRepeat(x *exchange, now clock.Instant) bool {
	entries := p.countEntries()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(x.service.Name).AllowRetry(now, entries)
}

// countEntries returns how many entries share the retry budget, those included that were lost lately; 0 while this entry has
// just started again and may not know them.
func (p *Proxy) countEntries() int {
	if p.isSettling() && !p.settings.FirstStart {
		return 0
	}
	return 1 + max(p.mesh.CountKnown(mesh.RoleEntry), p.fleet.CountOthers())
}

// drawPrefill reports whether the retry budget allows a prefill. settle must be called at its end. The first one
// counts only if the engine refuses it, as a run follows that would have been the first arrival. With the budget spent, the run
// goes to its engine at once and prefills there.
func (p *Proxy) drawPrefill(x *exchange) (settle func(refused bool), ok bool) {
	if x.prefillAttempts > 0 {
		ok = p.allowRepeat(x, clock.Now())
		p.recordRepeat(x, repeatPrefill, ok)
		return func(bool) {}, ok
	}
	entries := p.countEntries()
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.retryBudget(x.service.Name).AllowTentative(clock.Now(), entries)
	if !ok {
		p.recordRepeat(x, repeatPrefill, false)
	}
	return func(refused bool) {
		p.mu.Lock()
		p.retryBudget(x.service.Name).Settle(clock.Now(), t, refused)
		p.mu.Unlock()
		if refused {
			p.recordRepeat(x, repeatRefusedPrefill, true)
		}
	}, ok
}

// recordRepeat records in metrics and in the request's log line that it is sent once more, or why it isn't.
func (p *Proxy) recordRepeat(x *exchange, why repeatReason, allowed bool) {
	if !allowed {
		p.metrics.budgetSpent.WithLabelValues(x.service.Name, string(why)).Inc()
		x.record.repeats = append(x.record.repeats, "no "+string(why))
		return
	}
	p.metrics.repeats.WithLabelValues(x.service.Name, string(why)).Inc()
	x.record.repeats = append(x.record.repeats, string(why))
}
