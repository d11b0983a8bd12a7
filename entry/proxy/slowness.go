package proxy

import (
	"time"
)

const (
	// roomCost is the largest cost of an engine with room, below that of those without.
	roomCost = 1.9
	// pauseCost is that of an engine with room at which the pauses of a stream would be too long.
	pauseCost = 1.95
	// minRunSize and maxRunSize bound the size of a run, relative to the memory of a slot, by which slowness counts.
	minRunSize = 0.5
	maxRunSize = 2.0
)

// slowness returns the factor by which work takes longer on an engine now than usually; 1 if it has never named its
// slowness. p.mu must be held.
func (p *Proxy) slowness(now time.Time, c candidate) float64 {
	f, _ := p.picker.Slowness(now, c.upstream.Instance)
	return f
}

// knowsSlowness reports whether an upstream of a request's service has ever named its slowness. p.mu must be held.
func (p *Proxy) knowsSlowness(x *exchange) bool {
	return p.picker.KnowsSlowness(p.snapshot.Load().services[x.service.Name])
}

// withSlowness adds the slowness of a decode engine to its cost for a request. Slow engines get fewer runs, and
// shorter ones, as long as others have room; one at which the stream would pause for too long is the last with room.
func (p *Proxy) withSlowness(x *exchange, cost, slowness float64, hasRoom bool) float64 {
	if slowness == 1 || !hasRoom {
		return cost
	}
	if x.route != nil && x.route.TargetGap > 0 && slowness*p.engineStats.gaps[x.service.Name] > float64(x.route.TargetGap) {
		return max(cost, pauseCost)
	}
	size := 1.0
	if e := x.service.Engine; e.KVTokens > 0 {
		size = min(maxRunSize, max(minRunSize, float64(typicalRunTokens(x))*float64(max(1, e.Slots))/float64(e.KVTokens)))
	}
	return max(cost, min(roomCost, cost+(slowness-1)*size))
}

// recordGap records the mean time between two parts of a complete streamed answer.
func (e *engineStats) recordGap(service string, r accessRecord) {
	if r.parts < 2 {
		return
	}
	gap := float64(r.lastPart-r.firstEvent) / float64(r.parts-1)
	if e.gaps[service] == 0 {
		e.gaps[service] = gap
	}
	e.gaps[service] += averageWeight * (gap - e.gaps[service])
}

// prefillTime returns how long an engine is expected to take to prefill some tokens; engines count as equal unless one of
// the service has named its slowness. p.mu must be held.
func (p *Proxy) prefillTime(now time.Time, x *exchange, c candidate, tokens int64) time.Duration {
	if e := p.engineStats; e.remotePrefill.perToken == 0 || !p.knowsSlowness(x) {
		return e.remotePrefill.estimate(tokens)
	}
	return p.prefillTimeBySpeed(now, c, tokens)
}

// initialTokenTime is the time to prefill a token that orders engines until a prefill was seen.
const initialTokenTime = 20 * time.Microsecond

// prefillTimeBySpeed is prefillTime by the engine's own speed and slowness. p.mu must be held.
func (p *Proxy) prefillTimeBySpeed(now time.Time, c candidate, tokens int64) time.Duration {
	average := p.engineStats.remotePrefill
	if average.perToken == 0 {
		average.perToken = float64(initialTokenTime)
	}
	own, _ := p.engineStats.prefillSpeeds.Get(c.upstream.Instance)
	s := own.within(average)
	return time.Duration(p.slowness(now, c) * float64(s.estimate(tokens)))
}

// recordPrefill records the time in which a prefill engine has prefilled some tokens, as if it were at usual speed.
func (p *Proxy) recordPrefill(c candidate, tokens int64, took time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.slowness(now, c)
	d := time.Duration(float64(took) / f)
	e := p.engineStats
	e.remotePrefill.record(tokens, d)
	own, _ := e.prefillSpeeds.Get(c.upstream.Instance)
	own.record(tokens, d)
	e.prefillSpeeds.Put(now, c.upstream.Instance, own)
}
