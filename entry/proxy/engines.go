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
	// smooth is the weight of a new sample in an average.
	smooth = 0.1
	// ownSlower is how many times longer an engine of answers takes to read a prompt than a
	// prefill engine, by its published interface, before one was seen.
	ownSlower = 2
	// longRuns is how many average times most answers end within.
	longRuns = 1.8
	// firstLongRun stands for that before an answer has ended.
	firstLongRun = 4 * time.Second
	// aloneShare is the part of an engine's memory that entries hand out without its agent,
	// each an equal part of it.
	aloneShare = 0.7
	// aloneCost and aloneFull are where engines without their agents stand among the others,
	// with room and without.
	aloneCost = 2.0
	aloneFull = 3.0
)

// engines holds what an entry has learned of engines and callers.
type engines struct {
	// apart is the speed at which prefill engines read, own that of engines of answers.
	apart speed
	own   speed
	// retries tell callers that come back, by route.
	retries map[string]*retries
	// runTime is the average time of an answer from its place to its end.
	runTime float64
	// alone counts the tokens that this entry holds at an instance without its agent.
	alone map[string]int64
}

func newEngines() *engines {
	return &engines{retries: map[string]*retries{}, alone: map[string]int64{}}
}

// learnRun takes in the time of a whole answer.
func (e *engines) learnRun(d time.Duration) {
	if e.runTime == 0 {
		e.runTime = float64(d)
	}
	e.runTime += smooth * (float64(d) - e.runTime)
}

// longRun returns a time within which most answers end.
func (e *engines) longRun() time.Duration {
	if e.runTime == 0 {
		return firstLongRun
	}
	return time.Duration(longRuns * e.runTime)
}

// ownTime returns the expected time in which an engine of answers reads some tokens.
func (e *engines) ownTime(tokens int64) time.Duration {
	if e.own.perToken == 0 {
		return ownSlower * e.apart.time(tokens)
	}
	return e.own.time(tokens)
}

// waited returns how long a caller has waited before this attempt.
func (e *engines) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	r := e.retries[route]
	if r == nil {
		r = newRetries()
		e.retries[route] = r
	}
	r.add(left)
	return r.waited(left)
}

// spot is an engine with what its agent tells, if it is heard.
type spot struct {
	up       roster.Upstream
	follower *follower
	state    *wire.PlaceState
	stage    wire.Stage
}

// spots returns the engines of a service that may be used in a stage. The lock is held.
func (p *Proxy) spots(service string, stage wire.Stage, tried map[string]bool) (l []spot) {
	now := time.Now()
	for _, u := range p.view.Load().services[service] {
		if tried[u.Instance] || p.unfollowed[u.Address] || p.picker.Out(now, u.Instance) {
			continue
		}
		s := spot{up: u, stage: u.Stage}
		if f := p.followed[u.Address]; f.heard(now) {
			if !f.state.Sound {
				continue
			}
			s.follower, s.state, s.stage = f, f.state, f.state.Stage
		}
		if s.stage == stage {
			l = append(l, s)
		}
	}
	return l
}

// decodeSpot returns the engine at which a run is expected to get a place first, and
// whether it has one now.
func (p *Proxy) decodeSpot(x *exchange, tried map[string]bool) (best spot, now, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var least float64
	for _, s := range p.spots(x.service.Name, wire.Stage_STAGE_DECODE, tried) {
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
func (p *Proxy) decodeCost(x *exchange, s spot) (cost float64, free bool) {
	if s.state == nil {
		room := p.aloneRoom(x, s.up)
		if room < x.call.PromptTokens+x.call.MaxTokens {
			return aloneFull, false
		}
		return aloneCost - float64(room)/float64(x.service.Engine.KVTokens), true
	}
	pending := int64(s.follower.asked) * usualRun(x)
	if room := s.state.Room - pending; s.state.Waiting == 0 && room >= x.call.PromptTokens {
		return 1 - float64(room)/float64(max(1, s.state.Memory)), true
	}
	again := micros(s.state.AgainMicros)
	queue := float64(int(s.state.Waiting)+s.follower.asked) / float64(max(1, s.state.Slots))
	return aloneCost + again.Seconds() + queue, false
}

// usualRun returns the tokens that a run like a request usually holds at its end.
func usualRun(x *exchange) int64 { return x.call.PromptTokens + x.call.MaxTokens/2 }

// aloneRoom returns the tokens that this entry may still hand out at an engine whose
// agent isn't heard: an equal part, and where it has nothing there, one run of any size,
// since large runs would never fit into a part. Where there are more entries than runs
// fit, only those that rank first for the engine hand out anything.
func (p *Proxy) aloneRoom(x *exchange, u roster.Upstream) int64 {
	e := x.service.Engine
	most := int64(aloneShare * float64(e.KVTokens))
	taken := p.engines.alone[u.Instance]
	if taken > 0 {
		return most/int64(1+p.mesh.Recent(mesh.RoleEntry)) - taken
	}
	names := []string{p.settings.VM}
	for _, m := range p.mesh.Live(mesh.RoleEntry) {
		names = append(names, m.Name)
	}
	runs := int(max(1, most/max(1, usualRun(x))))
	if !slices.Contains(rank.Top(u.Instance, names, min(runs, max(1, e.Slots))), p.settings.VM) {
		return 0
	}
	return e.KVTokens
}

// prefillSpot returns the engine that reads a prompt first, and the tokens before it.
func (p *Proxy) prefillSpot(x *exchange, tried map[string]bool) (best spot, backlog int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.spots(x.service.Name, wire.Stage_STAGE_PREFILL, tried)
	usual := usualBacklog(l)
	for _, s := range l {
		n := p.backlog(s, usual)
		if !ok || n < backlog {
			best, backlog, ok = s, n, true
		}
	}
	return best, backlog, ok
}

// usualBacklog returns the mean of what waits at engines whose agents are heard.
func usualBacklog(l []spot) (mean int64) {
	n := int64(0)
	for _, s := range l {
		if s.state != nil {
			mean += s.state.Backlog
			n++
		}
	}
	return mean / max(1, n)
}

// backlog returns the prompt tokens that an engine has yet to read. One whose agent isn't
// heard is no less busy than others usually are.
func (p *Proxy) backlog(s spot, usual int64) int64 {
	if s.state == nil {
		return max(usual+1, p.engines.alone[s.up.Instance]*int64(1+p.mesh.Recent(mesh.RoleEntry)))
	}
	return max(s.state.Backlog, s.follower.reading)
}
