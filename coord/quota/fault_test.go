package quota_test

import (
	"time"

	"pgregory.net/rapid"
)

// partition drops messages between the VMs for which reachesPlatform returns true and the
// others. The platform, the source of the settings and the list of VMs, stays connected to
// the former.
func (r *simulation) partition(reachesPlatform func(string) bool) {
	r.Partitioned = func(from, to string) bool {
		return (from == "platform" || reachesPlatform(from)) != (to == "platform" || reachesPlatform(to))
	}
}

// heal ends a partition.
func (r *simulation) heal() { r.Partitioned = func(string, string) bool { return false } }

// injectFault injects a random fault and returns a function that ends it.
func (r *simulation) injectFault(t *rapid.T) func() {
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
		// connected is cut off together with the replaced VM, which it can still reach.
		connected := rapid.SampledFrom(names).Draw(t, "connected")
		r.replace(name, false)
		r.partition(func(n string) bool { return n != name && n != connected })
		return r.heal
	case "freeze":
		r.Freeze(name)
		return func() { r.Thaw(name) }
	case "partition centre":
		c := rapid.SampledFrom(centres).Draw(t, "centre")
		r.partition(func(n string) bool { return n[:1] != c })
		return r.heal
	case "isolate pair":
		// connected is cut off together with name, which it can still reach.
		connected := rapid.SampledFrom(names).Draw(t, "connected")
		r.partition(func(n string) bool { return n != name && n != connected })
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

// runWithFaults runs a simulation with random faults, one or two at a time.
func runWithFaults(t *rapid.T, r *simulation) {
	r.startFleet(doc)
	r.Run(5 * time.Second)
	r.load(100*time.Second, 2)
	faults := rapid.IntRange(2, 5).Draw(t, "faults")
	for range faults {
		r.Run(time.Duration(rapid.IntRange(0, 15).Draw(t, "wait")) * time.Second)
		end := r.injectFault(t)
		r.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "length")) * time.Second)
		if rapid.Bool().Draw(t, "overlap") {
			endOther := r.injectFault(t)
			r.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "length")) * time.Second)
			endOther()
		}
		end()
	}
	r.Run(20 * time.Second)
}
