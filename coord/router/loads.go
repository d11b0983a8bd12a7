package router

import (
	"math/rand/v2"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/wire"
)

// loads estimates the load of each upstream from the last report of its agent plus the
// runs that this entry has opened since, because reports lag.
type loads struct {
	// reported holds the last load report by VM name.
	reported map[string]*wire.Load
	// openedSince counts the runs opened since that report, by VM name.
	openedSince map[string]int32
	rand        *rand.Rand
}

func newLoads(seed uint64) loads {
	return loads{
		reported:    map[string]*wire.Load{},
		openedSince: map[string]int32{},
		rand:        rand.New(rand.NewPCG(seed, seed)),
	}
}

func (l *loads) recordReport(vm string, r *wire.Load) {
	l.reported[vm] = r
	l.openedSince[vm] = 0
}

func (l *loads) recordOpen(vm string) { l.openedSince[vm]++ }

// estimate returns the load of a VM's upstream: its running and queued runs divided by
// its slots, or the number of runs opened if the agent has not reported yet.
func (l *loads) estimate(vm string) float64 {
	r := l.reported[vm]
	if r == nil {
		return float64(l.openedSince[vm])
	}
	return float64(r.Running+r.Queued+l.openedSince[vm]) / float64(max(r.Slots, 1))
}

// candidateCount is the number of upstreams that sampleLeastLoaded compares. Two random
// choices keep many entries from all choosing the same upstream (Mitzenmacher, 2001).
const candidateCount = 2

// sampleLeastLoaded returns the least loaded of candidateCount random upstreams. ok is
// false if vms is empty.
func (l *loads) sampleLeastLoaded(vms []fleet.VM) (best fleet.VM, ok bool) {
	if len(vms) <= candidateCount {
		return l.leastLoaded(vms)
	}
	var sample [candidateCount]fleet.VM
	i := l.rand.IntN(len(vms))
	j := l.rand.IntN(len(vms) - 1)
	if j >= i {
		j++
	}
	sample[0], sample[1] = vms[i], vms[j]
	return l.leastLoaded(sample[:])
}

// leastLoaded returns the least loaded of vms. Ties are broken at random. ok is false if
// vms is empty.
func (l *loads) leastLoaded(vms []fleet.VM) (best fleet.VM, ok bool) {
	var lowest float64
	start := 0
	if len(vms) > 0 {
		start = l.rand.IntN(len(vms))
	}
	for i := range vms {
		v := vms[(start+i)%len(vms)]
		if e := l.estimate(v.Name); !ok || e < lowest {
			best, lowest, ok = v, e, true
		}
	}
	return best, ok
}

// prune drops the loads of VMs that are not in the list.
func (l *loads) prune(list *fleet.List) {
	for n := range l.reported {
		if _, ok := list.VM(n); !ok {
			delete(l.reported, n)
		}
	}
	for n := range l.openedSince {
		if _, ok := list.VM(n); !ok {
			delete(l.openedSince, n)
		}
	}
}
