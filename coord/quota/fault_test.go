package quota_test

import (
	"time"

	"pgregory.net/rapid"
)

// partition cuts messages between two sides. The platform is on the side of "true".
func (r *run) partition(side func(string) bool) {
	r.Cut = func(from, to string) bool {
		return (from == "platform" || side(from)) != (to == "platform" || side(to))
	}
}

func (r *run) heal() { r.Cut = func(string, string) bool { return false } }

// fault brings about one fault and returns a function that ends it.
func (r *run) fault(t *rapid.T) func() {
	var names []string
	for _, n := range r.Names {
		if r.Processes[n] != nil {
			names = append(names, n)
		}
	}
	name := rapid.SampledFrom(names).Draw(t, "vm")
	switch rapid.SampledFrom([]string{
		"restart", "replace dead", "replace live", "freeze", "partition centre", "isolate pair", "stale", "down",
	}).Draw(t, "fault") {
	case "restart":
		r.Start(r.Processes[name].VM)
	case "replace dead":
		r.replace(name, true)
	case "replace live":
		keep := rapid.SampledFrom(names).Draw(t, "friend")
		r.replace(name, false)
		r.partition(func(n string) bool { return n != name && n != keep })
		return r.heal
	case "freeze":
		r.Freeze(name)
		return func() { r.Thaw(name) }
	case "partition centre":
		c := rapid.SampledFrom(centres).Draw(t, "centre")
		r.partition(func(n string) bool { return n[:1] != c })
		return r.heal
	case "isolate pair":
		keep := rapid.SampledFrom(names).Draw(t, "friend")
		r.partition(func(n string) bool { return n != name && n != keep })
		return r.heal
	case "stale":
		r.Platform.Freeze()
		r.Platform.Stale = true
		return func() { r.Platform.Stale = false }
	case "down":
		r.Platform.Down = true
		return func() { r.Platform.Down = false }
	}
	return func() {}
}

// faultRun is a run with random faults, one or two at a time.
func faultRun(t *rapid.T, r *run) {
	r.boot(doc)
	r.Run(5 * time.Second)
	r.load(100*time.Second, 2)
	steps := rapid.IntRange(2, 5).Draw(t, "faults")
	for range steps {
		r.Run(time.Duration(rapid.IntRange(0, 15).Draw(t, "wait")) * time.Second)
		end := r.fault(t)
		r.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "length")) * time.Second)
		if rapid.Bool().Draw(t, "overlap") {
			other := r.fault(t)
			r.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "length")) * time.Second)
			other()
		}
		end()
	}
	r.Run(20 * time.Second)
}
