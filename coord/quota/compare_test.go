package quota_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
)

// warmUp is long enough for empty shares to fill up.
const warmUp = 30 * time.Second

const loadDuration = 3 * time.Minute

// scenario is a load on the fleet and a fault during it.
type scenario struct {
	name string
	// factor is the load as a multiple of the rate.
	factor float64
	// entryPrefix restricts the load to entries whose name starts with it.
	entryPrefix string
	// fault, if any, is injected half a minute into the load.
	fault func(*simulation)
}

var scenarios = []scenario{
	{name: "even", factor: 0.9},
	{name: "one data centre", factor: 0.9, entryPrefix: "a-"},
	{name: "one entry", factor: 0.9, entryPrefix: "a-entry-0"},
	{name: "four times the rate", factor: 4},
	{name: "agent dies and is replaced", factor: 0.9, fault: func(r *simulation) {
		r.Kill("b-agent-1")
		r.After(20*time.Second, func() { r.Unlist("b-agent-1"); r.listAndStart(vm("b", fleet.Agent, 7)) })
	}},
	{name: "agent frozen a minute", factor: 0.9, fault: func(r *simulation) {
		r.Freeze("b-agent-1")
		r.After(time.Minute, func() { r.Thaw("b-agent-1") })
	}},
	{name: "list changes, agent and entry cut off", factor: 4, fault: func(r *simulation) {
		r.partition(func(n string) bool { return n != "b-agent-1" && n != "b-entry-0" })
		r.After(5*time.Second, func() { r.Unlist("b-agent-1"); r.listAndStart(vm("b", fleet.Agent, 7)) })
		r.After(90*time.Second, r.heal)
	}},
	{name: "data centre partitioned", factor: 0.9, fault: func(r *simulation) {
		r.partition(func(n string) bool { return n[:1] != "b" })
		r.After(time.Minute, r.heal)
	}},
	{name: "platform down", factor: 0.9, fault: func(r *simulation) { r.Platform.Down = true }},
	{name: "platform stale", factor: 0.9, fault: func(r *simulation) {
		r.Platform.Freeze()
		r.Platform.Stale = true
	}},
}

// outcome is the result of one scenario under one policy.
type outcome struct {
	// overIssue is the largest excess over rate and burst, in tokens.
	overIssue float64
	// wronglyRefused counts the refused requests that a single token bucket would have
	// granted; granted counts all granted requests. See simulation.wrongRefusals.
	wronglyRefused, granted int
	// worstRatio is the largest ratio of wrongly refused to granted requests of a workspace.
	worstRatio float64
	// messages is the mean number of messages per request.
	messages float64
}

func (s scenario) run(seed uint64, p policy) outcome {
	r := newSimulation(seed, p, fake.Faults{MinDelay: 500 * time.Microsecond, MaxDelay: 3 * time.Millisecond})
	r.startFleet(doc)
	r.Run(warmUp)
	r.entryPrefix = s.entryPrefix
	r.load(loadDuration, s.factor)
	if s.fault != nil {
		r.After(30*time.Second, func() { s.fault(r) })
	}
	r.Run(loadDuration + 5*time.Second)
	var o outcome
	requests := 0
	for w, v := range map[string][2]int64{"large": {600, 3000}, "small": {30, 300}, "other": {90, 900}} {
		o.overIssue = max(o.overIssue, r.overIssue(w, v[0], v[1]))
		refused, granted := r.wrongRefusals(w, v[0], v[1])
		o.wronglyRefused += refused
		o.granted += granted
		o.worstRatio = max(o.worstRatio, float64(refused)/float64(max(granted, 1)))
		requests += len(r.arrivals[w])
	}
	o.messages = float64(2*r.Calls) / float64(requests)
	return o
}

// TestPoliciesCompared logs a table of all policies and checks that under policyShares no
// workspace exceeds its limit. The column wrongful/granted has outcome.wronglyRefused and
// granted, worst has worstRatio.
func TestPoliciesCompared(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "%-38s %-14s %10s %18s %8s %9s\n", "scenario", "policy", "over-issue", "wrongful/granted", "worst", "messages")
	for _, s := range scenarios {
		for _, p := range []policy{policySplit, policyOwner, policyShares} {
			o := s.run(7, p)
			fmt.Fprintf(&b, "%-38s %-14s %10.1f %8d /%8d %7.2f%% %9.2f\n",
				s.name, p, o.overIssue, o.wronglyRefused, o.granted, 100*o.worstRatio, o.messages)
			if p == policyShares && o.overIssue > tolerance {
				t.Errorf("%s: rate and burst exceeded by %.2f tokens", s.name, o.overIssue)
			}
		}
	}
	t.Log("\n" + b.String())
}
