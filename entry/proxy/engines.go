package proxy

import (
	"cmp"
	"slices"
	"time"

	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/recent"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/wire"
)

const (
	// averageWeight is the weight of a new sample in an exponential moving average.
	averageWeight = 0.1
	// localPrefillSlowdown is how many times longer a decode engine takes to prefill a prompt
	// than a prefill engine does, as documented with the engines' interface. It is used until
	// the entry has measured a prefill by a decode engine.
	localPrefillSlowdown = 2
	// longRunFactor times the average time of a run is the time within which most runs end.
	longRunFactor = 1.8
	// defaultLongRunTime is the assumed time within which most runs end, before any has ended.
	defaultLongRunTime = 4 * time.Second
	// agentlessMemoryShare is the part of an engine's memory that entries hand out without its
	// agent, each entry an equal share of it.
	agentlessMemoryShare = 0.7
	// silentRoomCost is the cost of an engine with room whose manager is silent, less the free
	// part of its memory: more than that of any engine whose manager reports room.
	silentRoomCost = 2.0
	// silentFullCost is the cost of an engine without room whose manager is silent.
	silentFullCost = 3.0
	// leavingCost is added to the cost of an engine that is said to leave, so that all others come
	// before it.
	leavingCost = 1000.0
	// maxPrefillSpeeds and prefillSpeedLife bound the engines whose own speed is kept.
	maxPrefillSpeeds = 1024
	prefillSpeedLife = 10 * time.Minute
)

// Ranks of prefill engines. Those with a lower rank come first, whatever their backlog; ranks add up.
const (
	// otherVersionRank is that of engines of another version than the decode engine's: what two versions write
	// may not fit together, a KV cache included.
	otherVersionRank = 1
	// leavingRank is that of engines that are said to leave.
	leavingRank = 2
)

// engineStats holds what an entry has observed of engines and callers.
type engineStats struct {
	// remotePrefill is the speed of prefill engines, localPrefill that of decode engines that
	// prefill prompts themselves.
	remotePrefill prefillSpeed
	localPrefill  prefillSpeed
	// prefillSpeeds holds the speeds of single prefill engines at usual speed, by instance.
	prefillSpeeds *recent.Cache[string, prefillSpeed]
	// gaps is the average time between two parts of a stream in nanoseconds, by service.
	gaps map[string]float64
	// callerRetryEstimators holds one estimator for each route.
	callerRetryEstimators map[string]*callerRetryEstimator
	// meanRunTime is the average time of a run, from the head of its answer to its end, in
	// nanoseconds.
	meanRunTime float64
	// slowestTokens holds the longest times of a token of a stream, by service, and slowestAnswers those of whole answers of
	// plain upstreams, by route.
	slowestTokens  slowest
	slowestAnswers slowest
	// agentlessTokens counts, for an instance whose agent is silent, the tokens of this entry's
	// runs and prefills there.
	agentlessTokens map[string]int64
}

func newEngineStats() *engineStats {
	return &engineStats{
		prefillSpeeds:         recent.NewCache[string, prefillSpeed](maxPrefillSpeeds, prefillSpeedLife),
		gaps:                  map[string]float64{},
		callerRetryEstimators: map[string]*callerRetryEstimator{},
		agentlessTokens:       map[string]int64{},
		slowestTokens:         slowest{},
		slowestAnswers:        slowest{},
	}
}

// recordRun records the time of a complete run.
func (e *engineStats) recordRun(d time.Duration) {
	if e.meanRunTime == 0 {
		e.meanRunTime = float64(d)
	}
	e.meanRunTime += averageWeight * (float64(d) - e.meanRunTime)
}

// longRunTime returns a time within which most runs end.
func (e *engineStats) longRunTime() time.Duration {
	if e.meanRunTime == 0 {
		return defaultLongRunTime
	}
	return time.Duration(longRunFactor * e.meanRunTime)
}

// localPrefillTime returns how long a decode engine is expected to take to prefill some tokens.
func (e *engineStats) localPrefillTime(tokens int64) time.Duration {
	if e.localPrefill.perToken == 0 {
		return localPrefillSlowdown * e.remotePrefill.estimate(tokens)
	}
	return e.localPrefill.estimate(tokens)
}

// recordTimeLimit records the time limit of a caller's request on a route, and returns an estimate
// of how long the caller has spent on earlier attempts. A limit of 0 means none.
func (e *engineStats) recordTimeLimit(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	r := e.callerRetryEstimators[route]
	if r == nil {
		r = newCallerRetryEstimator()
		e.callerRetryEstimators[route] = r
	}
	r.add(left)
	return r.elapsedBefore(left)
}

// candidate is an engine, this entry's subscription to its agent, and the state that the agent
// reported. subscription and state are nil while the agent is silent, that is, hasFreshState is
// false.
type candidate struct {
	upstream     roster.Upstream
	subscription *subscription
	state        *wire.PlaceState
	stage        wire.Stage
}

// candidates returns the engines of a service that are usable in a stage. p.mu must be held.
func (p *Proxy) candidates(service string, stage wire.Stage, tried map[string]bool, accepts func(roster.Upstream) bool) (l []candidate) {
	now := time.Now()
	for _, u := range p.snapshot.Load().services[service] {
		if tried[u.Instance] || !accepts(u) || !p.isAvailable(now, u.Instance) || p.unsubscribed[u.Address] || p.picker.Ejected(now, u.Instance) {
			continue
		}
		c := candidate{upstream: u, stage: u.Stage}
		if sub := p.subscriptions[u.Address]; sub.hasFreshState(now) {
			if !sub.state.Sound {
				continue
			}
			c.subscription, c.state, c.stage = sub, sub.state, sub.state.Stage
			p.picker.ObserveSlowness(sub.receivedAt, u.Instance, int(sub.state.SlownessPercent))
		}
		if c.stage == stage {
			l = append(l, c)
		}
	}
	if len(p.returnedAt) == 0 {
		return l
	}
	return orAll(l, func(c candidate) bool { return !p.isReturning(now, c.upstream) })
}

// pickDecode returns the decode engine that is expected to grant a reservation first, and whether
// it has room now.
func (p *Proxy) pickDecode(x *exchange, tried map[string]bool) (best candidate, hasRoom, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var least float64
	for _, c := range p.candidates(x.service.Name, wire.Stage_STAGE_DECODE, tried, x.accepts) {
		cost, free := p.decodeCost(x, c)
		cost = p.withSlowness(x, cost, p.slowness(now, c), free)
		if p.isSaidToLeave(now, c.upstream.Instance) || c.state != nil && c.state.Leaving {
			cost += leavingCost
		}
		if !ok || cost < least {
			best, least, hasRoom, ok = c, cost, free, true
		}
	}
	return best, hasRoom, ok
}

// decodeCost orders decode engines: first those whose managers report room, by the free part of
// their memory, then those with room whose managers are silent, then those whose managers report
// no room, by the time until they have some. An engine without room whose manager is silent ranks
// among the last.
func (p *Proxy) decodeCost(x *exchange, c candidate) (cost float64, hasRoom bool) {
	if c.state == nil {
		room := p.agentlessRoom(x, c.upstream)
		if room < x.call.PromptTokens+x.call.MaxTokens {
			return silentFullCost, false
		}
		return silentRoomCost - float64(room)/float64(x.service.Engine.KVTokens), true
	}
	o := place.Offer{
		State: place.State{
			Waiting:         int(c.state.Waiting),
			MaxPromptTokens: c.state.Room,
			MemoryTokens:    c.state.Memory,
			Slots:           int(c.state.Slots),
			ExpectedWait:    micros(c.state.AgainMicros),
		},
		Pending: c.subscription.pendingReservations,
	}
	return o.Cost(x.call.PromptTokens, typicalRunTokens(x))
}

// typicalRunTokens returns how many tokens a run of a request's size typically holds at its end.
func typicalRunTokens(x *exchange) int64 { return x.call.PromptTokens + x.call.MaxTokens/2 }

// agentlessRoom returns how many more tokens this entry may use of an engine whose agent is silent.
// While it uses some, that is the rest of an equal share. While it uses none, it is the engine's
// whole memory, because large runs would never fit into a share. That is granted only to the
// entries that rank first for the engine, as many as there are typical runs that fit; for the
// others it is 0.
func (p *Proxy) agentlessRoom(x *exchange, u roster.Upstream) int64 {
	e := x.service.Engine
	total := int64(agentlessMemoryShare * float64(e.KVTokens))
	held := p.engineStats.agentlessTokens[u.Instance]
	if held > 0 {
		return total/int64(1+p.mesh.CountKnown(mesh.RoleEntry)) - held
	}
	names := []string{p.settings.VM}
	for _, m := range p.mesh.Live(mesh.RoleEntry) {
		names = append(names, m.Name)
	}
	runs := int(max(1, total/max(1, typicalRunTokens(x))))
	if !slices.Contains(rank.Top(u.Instance, names, min(runs, max(1, e.Slots))), p.settings.VM) {
		return 0
	}
	return e.KVTokens
}

// pickPrefill returns the prefill engine with the lowest rank that is expected to be free first, and its backlog in
// tokens. version is that of the decode engine; empty if it isn't chosen yet.
func (p *Proxy) pickPrefill(x *exchange, version string, tried map[string]bool) (best candidate, backlog int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.candidates(x.service.Name, wire.Stage_STAGE_PREFILL, tried, x.isInBounds)
	now, mean := time.Now(), meanBacklog(l)
	uneven := p.knowsSlowness(x)
	var lowest int
	var first float64
	for _, c := range l {
		r, n := p.prefillRank(c, version), p.prefillBacklog(c, mean)
		o := float64(n)
		if uneven {
			o = float64(p.prefillTimeBySpeed(now, c, n+x.call.PromptTokens))
		}
		if !ok || cmp.Or(cmp.Compare(r, lowest), cmp.Compare(o, first)) < 0 {
			best, lowest, first, backlog, ok = c, r, o, n, true
		}
	}
	return best, backlog, ok
}

// prefillRank returns the rank of a prefill engine for a decode engine of a version. p.mu must be held.
func (p *Proxy) prefillRank(c candidate, version string) (r int) {
	if version != "" && c.upstream.Version != version {
		r += otherVersionRank
	}
	if p.isSaidToLeave(time.Now(), c.upstream.Instance) || c.state != nil && c.state.Leaving {
		r += leavingRank
	}
	return r
}

// meanBacklog returns the mean backlog in tokens of the engines whose agents are not silent.
func meanBacklog(l []candidate) (mean int64) {
	n := int64(0)
	for _, c := range l {
		if c.state != nil {
			mean += c.state.Backlog
			n++
		}
	}
	return mean / max(1, n)
}

// prefillBacklog returns the prompt tokens that an engine has yet to prefill. An engine whose agent
// is silent is assumed to be at least as busy as others usually are.
func (p *Proxy) prefillBacklog(c candidate, mean int64) int64 {
	if c.state == nil {
		return max(mean+1, p.engineStats.agentlessTokens[c.upstream.Instance]*int64(1+p.mesh.CountKnown(mesh.RoleEntry)))
	}
	return max(c.state.Backlog, c.subscription.prefillTokens)
}
