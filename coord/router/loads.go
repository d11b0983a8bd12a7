package router

import (
	"math/rand/v2"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/wire"
)

// loads estimates the load of each upstream from the agents' own reports, which
// lag, and from what this entry has sent since.
type loads struct {
	reported map[string]*wire.Load
	sent     map[string]int32
	rand     *rand.Rand
}

func newLoads(seed uint64) loads {
	return loads{
		reported: map[string]*wire.Load{},
		sent:     map[string]int32{},
		rand:     rand.New(rand.NewPCG(seed, seed)),
	}
}

func (l *loads) heard(vm string, r *wire.Load) {
	l.reported[vm] = r
	l.sent[vm] = 0
}

func (l *loads) opened(vm string) { l.sent[vm]++ }

// estimate returns occupied and queued runs over slots.
func (l *loads) estimate(vm string) float64 {
	r := l.reported[vm]
	if r == nil {
		return float64(l.sent[vm])
	}
	return float64(r.Running+r.Queued+l.sent[vm]) / float64(max(r.Slots, 1))
}

// candidates is how many upstreams are compared for one run. Two random choices
// keep many entries from all choosing the same upstream (Mitzenmacher, 2001).
const candidates = 2

// choose returns the less loaded of a few random upstreams.
func (l *loads) choose(vms []fleet.VM) (best fleet.VM, ok bool) {
	if len(vms) <= candidates {
		return l.least(vms)
	}
	var some [candidates]fleet.VM
	i := l.rand.IntN(len(vms))
	j := l.rand.IntN(len(vms) - 1)
	if j >= i {
		j++
	}
	some[0], some[1] = vms[i], vms[j]
	return l.least(some[:])
}

func (l *loads) least(vms []fleet.VM) (best fleet.VM, ok bool) {
	var low float64
	start := 0
	if len(vms) > 0 {
		start = l.rand.IntN(len(vms))
	}
	for i := range vms {
		v := vms[(start+i)%len(vms)]
		if e := l.estimate(v.Name); !ok || e < low {
			best, low, ok = v, e, true
		}
	}
	return best, ok
}

// keep drops the estimates of VMs that are not in the list.
func (l *loads) keep(list *fleet.List) {
	for n := range l.reported {
		if _, ok := list.VM(n); !ok {
			delete(l.reported, n)
		}
	}
	for n := range l.sent {
		if _, ok := list.VM(n); !ok {
			delete(l.sent, n)
		}
	}
}
