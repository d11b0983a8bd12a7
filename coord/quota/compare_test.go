package quota_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
)

// warm is the time after which empty shares are full.
const warm = 30 * time.Second

const loadTime = 3 * time.Minute

// scenario is one way in which the fleet is used or fails.
type scenario struct {
	name string
	// factor is the load in parts of the rate.
	factor float64
	// only restricts the load to entries whose name starts with it.
	only string
	// fault is brought about half a minute into the load.
	fault func(*run)
}

var scenarios = []scenario{
	{name: "even", factor: 0.9},
	{name: "one data centre", factor: 0.9, only: "a-"},
	{name: "one entry", factor: 0.9, only: "a-entry-0"},
	{name: "four times the rate", factor: 4},
	{name: "agent dies and is replaced", factor: 0.9, fault: func(r *run) {
		r.Kill("b-agent-1")
		r.After(20*time.Second, func() { r.Unlist("b-agent-1"); r.add(vm("b", fleet.Agent, 7)) })
	}},
	{name: "agent frozen a minute", factor: 0.9, fault: func(r *run) {
		r.Freeze("b-agent-1")
		r.After(time.Minute, func() { r.Thaw("b-agent-1") })
	}},
	{name: "list changes while a pair is cut off", factor: 4, fault: func(r *run) {
		r.partition(func(n string) bool { return n != "b-agent-1" && n != "b-entry-0" })
		r.After(5*time.Second, func() { r.Unlist("b-agent-1"); r.add(vm("b", fleet.Agent, 7)) })
		r.After(90*time.Second, r.heal)
	}},
	{name: "data centre apart", factor: 0.9, fault: func(r *run) {
		r.partition(func(n string) bool { return n[:1] != "b" })
		r.After(time.Minute, r.heal)
	}},
	{name: "platform down", factor: 0.9, fault: func(r *run) { r.Platform.Down = true }},
	{name: "platform stale", factor: 0.9, fault: func(r *run) {
		r.Platform.Freeze()
		r.Platform.Stale = true
	}},
}

// outcome is what one scenario gave under one policy.
type outcome struct {
	over             float64
	refused, granted int
	worst            float64
	messages         float64
}

func (s scenario) run(seed uint64, p policy) outcome {
	r := newRun(seed, p, fake.Faults{MinDelay: 500 * time.Microsecond, MaxDelay: 3 * time.Millisecond})
	r.boot(doc)
	r.Run(warm)
	r.only = s.only
	r.load(loadTime, s.factor)
	if s.fault != nil {
		r.After(30*time.Second, func() { s.fault(r) })
	}
	r.Run(loadTime + 5*time.Second)
	var o outcome
	asked := 0
	for w, v := range map[string][2]int64{"large": {600, 3000}, "small": {30, 300}, "other": {90, 900}} {
		o.over = max(o.over, r.over(w, v[0], v[1]))
		refused, granted := r.wrongful(w, v[0], v[1])
		o.refused += refused
		o.granted += granted
		o.worst = max(o.worst, float64(refused)/float64(max(granted, 1)))
		asked += len(r.arrivals[w])
	}
	o.messages = float64(2*r.Calls) / float64(asked)
	return o
}

func TestPoliciesCompared(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "%-38s %-14s %10s %18s %8s %9s\n", "scenario", "policy", "over-issue", "wrongful/granted", "worst", "messages")
	for _, s := range scenarios {
		for _, p := range []policy{split, owner, shares} {
			o := s.run(7, p)
			fmt.Fprintf(&b, "%-38s %-14s %10.1f %8d /%8d %7.2f%% %9.2f\n",
				s.name, p, o.over, o.refused, o.granted, 100*o.worst, o.messages)
			if p == shares && o.over > slack {
				t.Errorf("%s: %.2f tokens more than rate and burst", s.name, o.over)
			}
		}
	}
	t.Log("\n" + b.String())
}
