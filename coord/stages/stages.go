// Package stages is the reducer by which the agents of a service agree, without a
// leader, on how many engines read prompts and how many make answers.
//
// It answers a fixed split that doesn't fit the traffic: answers hold memory for
// seconds, prompts a processor for a fraction of that, so too many prefill engines leave
// streams without a place. Each agent decides for its own engine alone, by a rule over
// what all agents tell; at most one agent in turn sees itself chosen. A change takes the
// engine away for seconds, so it is made only after the same decision stood for a while.
package stages

import (
	"math"
	"slices"
	"time"

	"cranberrypoint.example/coord/wire"
)

const (
	// prefillShare is the part of the engines that read prompts.
	prefillShare = 0.25
	// steadyFirst is how long a decision must stand in an agent's first seconds, when no
	// work is lost by a change.
	steadyFirst = 1500 * time.Millisecond
	// steady is how long it must stand later.
	steady = 12 * time.Second
	// early is how long after its start an agent decides by steadyFirst.
	early = 8 * time.Second
	// pause is the time between two orders of one agent.
	pause = 20 * time.Second
)

// Peer is what the agent of an engine tells.
type Peer struct {
	Name string
	// Stage is that which the engine serves, or will serve by an order in progress.
	Stage wire.Stage
}

// Balancer is the reducer of one agent. Use New.
type Balancer struct {
	self    string
	started time.Time
	want    wire.Stage
	engines int
	since   time.Time
	ordered time.Time
}

// New returns the reducer of the agent of a name that starts.
func New(now time.Time, self string) *Balancer { return &Balancer{self: self, started: now} }

// PrefillTarget returns the number of engines that should read prompts.
func PrefillTarget(engines int) int {
	if engines < 2 {
		return 0
	}
	return max(1, int(math.Round(prefillShare*float64(engines))))
}

// Decide takes in what all agents of the service tell, with this one, and returns the
// stage to order, if any. Peers that tell no stage count for none.
func (s *Balancer) Decide(now time.Time, peers []Peer) (to wire.Stage, ok bool) {
	want, engines := s.wish(peers)
	// Agents that start one after another would decide on a part of the engines.
	if want == wire.Stage_STAGE_UNKNOWN || want != s.want || engines != s.engines {
		s.want, s.engines, s.since = want, engines, now
	}
	if want == wire.Stage_STAGE_UNKNOWN {
		return want, false
	}
	least := steady
	if now.Sub(s.started) < early {
		least = steadyFirst
	}
	if now.Sub(s.since) < least || !s.ordered.IsZero() && now.Sub(s.ordered) < pause {
		return want, false
	}
	s.ordered = now
	return want, true
}

// wish returns the stage that this agent's engine should change to, or unknown, and the
// number of engines that tell their stage.
func (s *Balancer) wish(peers []Peer) (to wire.Stage, engines int) {
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
	case len(prefill) > n && slices.Contains(prefill[n:], s.self):
		return wire.Stage_STAGE_DECODE, engines
	case len(prefill) < n && slices.Contains(decode[:n-len(prefill)], s.self):
		return wire.Stage_STAGE_PREFILL, engines
	}
	return wire.Stage_STAGE_UNKNOWN, engines
}
