package router

import "cranberrypoint.example/coord/fleet"

// Policy switches the decisions of a router, so that they can be compared.
type Policy struct {
	// Choice is how an upstream is chosen.
	Choice Choice
	// PrefixAffinity prefers prefill upstreams that are likely to have the prompt's prefix cached.
	PrefixAffinity bool
	// ReserveDecode takes a decode slot before prefill starts.
	ReserveDecode bool
	// AdmissionControl refuses interactive requests that can't have their first token in time.
	AdmissionControl bool
}

// Choice is a way to choose an upstream.
type Choice string

// Ways to choose an upstream.
const (
	// TwoChoices takes the less loaded of two random upstreams.
	TwoChoices Choice = "two"
	// LeastLoaded takes the least loaded of all.
	LeastLoaded Choice = "least"
	// RoundRobin takes one after another.
	RoundRobin Choice = "round-robin"
)

// DefaultPolicy has all decisions on.
var DefaultPolicy = Policy{Choice: TwoChoices, PrefixAffinity: true, ReserveDecode: true, AdmissionControl: true}

// WithPolicy replaces the default policy.
func WithPolicy(p Policy) Option { return func(r *Router) { r.policy = p } }

// prefixBytes is the part of a prompt whose cache decides where it's prefilled: about
// one piece of engine memory.
const prefixBytes = 8000

// prefixSlack is how much more loaded, in runs over slots, the upstream with the likely
// cache may be.
const prefixSlack = 1.0

// pick chooses among upstreams that fit.
func (r *Router) pick(q *request, stage string, vms []fleet.VM) (fleet.VM, bool) {
	switch r.policy.Choice {
	case RoundRobin:
		if len(vms) == 0 {
			return fleet.VM{}, false
		}
		r.turn++
		return vms[r.turn%len(vms)], true
	case LeastLoaded:
		return r.loads.least(vms)
	}
	v, ok := r.loads.choose(vms)
	if !ok || stage != fleet.Prefill || !r.policy.PrefixAffinity || len(q.call.Prompt) < prefixBytes {
		return v, ok
	}
	likely, _ := fleet.Top(vms, string(q.call.Prompt[:prefixBytes]))
	if r.loads.estimate(likely.Name) <= r.loads.estimate(v.Name)+prefixSlack {
		return likely, true
	}
	return v, true
}
