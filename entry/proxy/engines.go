package proxy

import (
	"slices"
	"time"

	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/wire"
)

const (
	// averageWeight is the weight of a new sample in an average.
	averageWeight = 0.1
	// localPrefillSlowdown is how many times longer an engine of answers takes to read a prompt than a
	// prefill engine, by its published interface, before one was seen.
	localPrefillSlowdown = 2
	// longRunFactor is how many average times most answers end within.
	longRunFactor = 1.8
	// initialLongRun stands for that before an answer has ended.
	initialLongRun = 4 * time.Second
	// agentlessMemoryShare is the part of an engine's memory that entries hand out without its agent,
	// each an equal part of it.
	agentlessMemoryShare = 0.7
	// agentlessCost and aloneFull are where engines without their agents stand among the others,
	// with room and without.
	agentlessCost     = 2.0
	agentlessFullCost = 3.0
)

// engineStats holds what an entry has learned of engineStats and callers.
type engineStats struct {
	// remotePrefill is the speed at which prefill engines read, own that of engines of answers.
	remotePrefill prefillSpeed
	localPrefill  prefillSpeed
	// retryEstimators tell callers that come back, by route.
	retryEstimators map[string]*retryEstimator
	// meanRunTime is the average time of an answer from its place to its end.
	meanRunTime float64
	// agentlessTokens counts the tokens that this entry holds at an instance without its agent.
	agentlessTokens map[string]int64
}

func newEngineStats() *engineStats {
	return &engineStats{retryEstimators: map[string]*retryEstimator{}, agentlessTokens: map[string]int64{}}
}

// recordRun takes in the time of a whole answer.
func (e *engineStats) recordRun(d time.Duration) {
	if e.meanRunTime == 0 {
		e.meanRunTime = float64(d)
	}
	e.meanRunTime += averageWeight * (float64(d) - e.meanRunTime)
}

// longRunTime returns a time within which most answers end.
func (e *engineStats) longRunTime() time.Duration {
	if e.meanRunTime == 0 {
		return initialLongRun
	}
	return time.Duration(longRunFactor * e.meanRunTime)
}

// localPrefillTime returns the expected time in which an engine of answers reads some tokens.
func (e *engineStats) localPrefillTime(tokens int64) time.Duration {
	if e.localPrefill.perToken == 0 {
		return localPrefillSlowdown * e.remotePrefill.estimate(tokens)
	}
	return e.localPrefill.estimate(tokens)
}

// elapsedBefore returns how long a caller has elapsedBefore before this attempt.
func (e *engineStats) elapsedBefore(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	r := e.retryEstimators[route]
	if r == nil {
		r = newRetryEstimator()
		e.retryEstimators[route] = r
	}
	r.add(left)
	return r.elapsedBefore(left)
}

// candidate is an engine with what its agent tells, if it is heard.
type candidate struct {
	upstream roster.Upstream
	agent    *subscription
	state    *wire.PlaceState
	stage    wire.Stage
}

// candidates returns the engines of a service that may be used in a stage. The lock is held.
func (p *Proxy) candidates(service string, stage wire.Stage, tried map[string]bool) (l []candidate) {
	now := time.Now()
	for _, u := range p.snapshot.Load().services[service] {
		if tried[u.Instance] || p.unsubscribed[u.Address] || p.picker.Out(now, u.Instance) {
			continue
		}
		s := candidate{upstream: u, stage: u.Stage}
		if f := p.subscriptions[u.Address]; f.hasFreshState(now) {
			if !f.state.Sound {
				continue
			}
			s.agent, s.state, s.stage = f, f.state, f.state.Stage
		}
		if s.stage == stage {
			l = append(l, s)
		}
	}
	return l
}

// pickDecode returns the engine at which a run is expected to get a place first, and
// whether it has one now.
func (p *Proxy) pickDecode(x *exchange, tried map[string]bool) (best candidate, now, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var least float64
	for _, s := range p.candidates(x.service.Name, wire.Stage_STAGE_DECODE, tried) {
		c, free := p.decodeCost(x, s)
		if !ok || c < least {
			best, least, now, ok = s, c, free, true
		}
	}
	return best, now, ok
}

// decodeCost orders engines: those with room by the part of the memory that is free, those
// whose agents aren't heard after them, and before those without room, by the time until a
// place is likely.
func (p *Proxy) decodeCost(x *exchange, s candidate) (cost float64, free bool) {
	if s.state == nil {
		room := p.agentlessRoom(x, s.upstream)
		if room < x.call.PromptTokens+x.call.MaxTokens {
			return agentlessFullCost, false
		}
		return agentlessCost - float64(room)/float64(x.service.Engine.KVTokens), true
	}
	pending := int64(s.agent.pendingReservations) * typicalRunTokens(x)
	if room := s.state.Room - pending; s.state.Waiting == 0 && room >= x.call.PromptTokens {
		return 1 - float64(room)/float64(max(1, s.state.Memory)), true
	}
	again := micros(s.state.AgainMicros)
	queue := float64(int(s.state.Waiting)+s.agent.pendingReservations) / float64(max(1, s.state.Slots))
	return agentlessCost + again.Seconds() + queue, false
}

// typicalRunTokens returns the tokens that a run like a request usually holds at its end.
func typicalRunTokens(x *exchange) int64 { return x.call.PromptTokens + x.call.MaxTokens/2 }

// agentlessRoom returns the tokens that this entry may still hand out at an engine whose
// agent isn't heard: an equal part, and where it has nothing there, one run of any size,
// since large runs would never fit into a part. Where there are more entries than runs
// fit, only those that rank first for the engine hand out anything.
func (p *Proxy) agentlessRoom(x *exchange, u roster.Upstream) int64 {
	e := x.service.Engine
	most := int64(agentlessMemoryShare * float64(e.KVTokens))
	taken := p.engineStats.agentlessTokens[u.Instance]
	if taken > 0 {
		return most/int64(1+p.mesh.Recent(mesh.RoleEntry)) - taken
	}
	names := []string{p.settings.VM}
	for _, m := range p.mesh.Live(mesh.RoleEntry) {
		names = append(names, m.Name)
	}
	runs := int(max(1, most/max(1, typicalRunTokens(x))))
	if !slices.Contains(rank.Top(u.Instance, names, min(runs, max(1, e.Slots))), p.settings.VM) {
		return 0
	}
	return e.KVTokens
}

// pickPrefill returns the engine that reads a prompt first, and the tokens before it.
func (p *Proxy) pickPrefill(x *exchange, tried map[string]bool) (best candidate, backlog int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.candidates(x.service.Name, wire.Stage_STAGE_PREFILL, tried)
	usual := meanBacklog(l)
	for _, s := range l {
		n := p.prefillBacklog(s, usual)
		if !ok || n < backlog {
			best, backlog, ok = s, n, true
		}
	}
	return best, backlog, ok
}

// meanBacklog returns the mean of what waits at engines whose agents are heard.
func meanBacklog(l []candidate) (mean int64) {
	n := int64(0)
	for _, s := range l {
		if s.state != nil {
			mean += s.state.Backlog
			n++
		}
	}
	return mean / max(1, n)
}

// prefillBacklog returns the prompt tokens that an engine has yet to read. One whose agent isn't
// heard is no less busy than others usually are.
func (p *Proxy) prefillBacklog(s candidate, usual int64) int64 {
	if s.state == nil {
		return max(usual+1, p.engineStats.agentlessTokens[s.upstream.Instance]*int64(1+p.mesh.Recent(mesh.RoleEntry)))
	}
	return max(s.state.Backlog, s.agent.prefillTokens)
}
