package router

import "cranberrypoint.example/coord/fleet"

// Policy selects the scheduling features of a Router, so that load tests can compare them.
type Policy struct {
	// Choice is the load balancing algorithm.
	Choice Choice
	// PrefixAffinity prefers prefill upstreams that are likely to have the prompt's prefix cached.
	PrefixAffinity bool
	// ReserveDecode takes a slot, the capacity for one run, at a decode upstream before
	// prefill starts.
	ReserveDecode bool
	// AdmissionControl limits how long interactive requests may wait for slots, so that those
	// that can't have their first token in time are refused.
	AdmissionControl bool
}

// Choice is a load balancing algorithm.
type Choice string

// Load balancing algorithms.
const (
	// TwoChoices chooses the less loaded of two random upstreams.
	TwoChoices Choice = "two"
	// LeastLoaded chooses the least loaded of all upstreams.
	LeastLoaded Choice = "least"
	// RoundRobin chooses upstreams in turn.
	RoundRobin Choice = "round-robin"
)

// DefaultPolicy enables all features.
var DefaultPolicy = Policy{Choice: TwoChoices, PrefixAffinity: true, ReserveDecode: true, AdmissionControl: true}

// WithPolicy replaces the default policy.
func WithPolicy(p Policy) Option { return func(r *Router) { r.policy = p } }

// affinityPrefixBytes is the length of the prompt prefix whose hash selects the prefill
// upstream. It is about as much text as one block of a model engine's KV cache covers; an
// engine is the upstream of a call to a model.
const affinityPrefixBytes = 8000

// affinityMaxExtraLoad is the largest difference in load, in runs per slot, at which the
// upstream that likely has the prefix cached is preferred to one chosen by load.
const affinityMaxExtraLoad = 1.0

// selectByPolicy chooses one of vms by the router's policy. It returns false if vms is empty.
func (r *Router) selectByPolicy(q *request, stage string, vms []fleet.VM) (fleet.VM, bool) {
	switch r.policy.Choice {
	case RoundRobin:
		if len(vms) == 0 {
			return fleet.VM{}, false
		}
		r.roundRobinCount++
		return vms[r.roundRobinCount%len(vms)], true
	case LeastLoaded:
		return r.loads.leastLoaded(vms)
	}
	v, ok := r.loads.sampleLeastLoaded(vms)
	if !ok || stage != fleet.Prefill || !r.policy.PrefixAffinity || len(q.call.Prompt) < affinityPrefixBytes {
		return v, ok
	}
	cached, _ := fleet.Top(vms, string(q.call.Prompt[:affinityPrefixBytes]))
	if r.loads.estimate(cached.Name) <= r.loads.estimate(v.Name)+affinityMaxExtraLoad {
		return cached, true
	}
	return v, true
}
