// Package stages decides, without a leader, how many engines of a service serve prefill and
// how many serve decode. The Balancer of each agent is a deterministic state machine: it does
// no I/O, and the caller passes the time.
//
// The split that the engines start with may not fit the traffic. Decoding an answer holds
// memory for seconds, while prefilling a prompt occupies a processor for a fraction of that
// time, so with too many prefill engines the decode engines lack memory for further streams.
// The balancers therefore bring the number of prefill engines to a fixed fraction of all.
//
// Each agent has one engine and decides for that one only. All apply the same rule to the
// stages that the agents advertise, so exactly as many engines change as needed. A change
// takes the engine out of service for seconds, so it is ordered only after the decision has
// been stable for a while.
package stages

import (
	"math"
	"slices"
	"time"

	"cranberrypoint.example/coord/wire"
)

const (
	// prefillFraction is the fraction of the engines that should serve prefill.
	prefillFraction = 0.25
	// startupStableTime is how long a decision must be stable during the startupPeriod, for an
	// engine that was given no order yet. It is short because an engine that started together
	// with its agent has no requests yet that a change would interrupt.
	startupStableTime = 1500 * time.Millisecond
	// stableTime is how long a decision must be stable after the startupPeriod.
	stableTime = 12 * time.Second
	// startupPeriod is the time after the start of the agent during which startupStableTime
	// applies instead of stableTime.
	startupPeriod = 8 * time.Second
	// minOrderInterval is the minimum time between two orders of one agent.
	minOrderInterval = 20 * time.Second
)

// Peer is what one agent of the service advertises about itself and its engine. The peers
// that are passed to Decide include the deciding agent.
type Peer struct {
	// Name is the VM of the agent.
	Name string
	// Stage is the stage that the engine serves, or will serve after an order in progress.
	Stage wire.Stage
}

// Balancer decides which stage the engine of one agent should serve. Use New.
type Balancer struct {
	self      string
	startedAt time.Time
	// pendingStage is the stage to which the engine should change by the last decision, or
	// unknown if it shouldn't. engineCount is the number of engines that decision is based on.
	pendingStage wire.Stage
	engineCount  int
	// pendingSince is when pendingStage or engineCount last changed. While no change is
	// pending, it is the time of the last decision.
	pendingSince time.Time
	// lastOrder is the time of the last order; zero if there was none.
	lastOrder time.Time
}

// New returns the balancer of an agent that starts now. Self is its name among the peers.
func New(now time.Time, self string) *Balancer { return &Balancer{self: self, startedAt: now} }

// PrefillTarget returns how many of a number of engines should serve prefill.
func PrefillTarget(engines int) int {
	if engines < 2 {
		return 0
	}
	return max(1, int(math.Round(prefillFraction*float64(engines))))
}

// Decide returns the stage to order for this agent's engine, if any. Peers are all agents
// of the service, this one included; those with another stage than prefill or decode are
// ignored. ordered tells whether the engine has accepted an order, of any process, since it
// started. Such an engine may be serving the stage that it was ordered to.
func (b *Balancer) Decide(now time.Time, peers []Peer, ordered bool) (to wire.Stage, ok bool) {
	want, engines := b.stageChange(peers)
	// Without the comparison of the engine count, agents that start one after another would
	// decide on the basis of a part of the engines.
	if want == wire.Stage_STAGE_UNKNOWN || want != b.pendingStage || engines != b.engineCount {
		b.pendingStage, b.engineCount, b.pendingSince = want, engines, now
	}
	if want == wire.Stage_STAGE_UNKNOWN {
		return want, false
	}
	minStable := stableTime
	if !ordered && now.Sub(b.startedAt) < startupPeriod {
		minStable = startupStableTime
	}
	if now.Sub(b.pendingSince) < minStable || !b.lastOrder.IsZero() && now.Sub(b.lastOrder) < minOrderInterval {
		return want, false
	}
	b.lastOrder = now
	return want, true
}

// stageChange returns the stage to which this agent's engine should change, or unknown if
// it shouldn't, and the number of engines that serve prefill or decode.
func (b *Balancer) stageChange(peers []Peer) (to wire.Stage, engines int) {
	var prefill, decode []string
	for _, p := range peers {
		switch p.Stage {
		case wire.Stage_STAGE_PREFILL:
			prefill = append(prefill, p.Name)
		case wire.Stage_STAGE_DECODE:
			decode = append(decode, p.Name)
		}
	}
	slices.Sort(prefill)
	slices.Sort(decode)
	engines = len(prefill) + len(decode)
	n := PrefillTarget(engines)
	switch {
	case len(prefill) > n && slices.Contains(prefill[n:], b.self):
		return wire.Stage_STAGE_DECODE, engines
	case len(prefill) < n && slices.Contains(decode[:n-len(prefill)], b.self):
		return wire.Stage_STAGE_PREFILL, engines
	}
	return wire.Stage_STAGE_UNKNOWN, engines
}
