package quota

import (
	"slices"
	"time"

	"cranberrypoint.example/coord/fleet"
)

// Defaults of the authority.
const (
	// DefaultLeaseTerm is how long a confirmation counts, from when it was asked for.
	DefaultLeaseTerm = 30 * time.Second
	// DefaultLeaseMargin covers the drift of clocks over a term and an answer that is
	// accepted late.
	DefaultLeaseMargin = 2 * time.Second
	// askParts is the number of times within a term that each peer is asked.
	askParts = 3
	// spareAsks are the peers asked beyond a majority.
	spareAsks = 4
)

// Authority decides until when a VM may act on its list of VMs, and whether the holders
// under earlier lists have stopped.
//
// The members of a data centre are all VMs listed in it. Its epoch is the revision at
// which it last gained or lost one. A holder acts while more than half of the members
// of its list have confirmed, within a term, that they know no newer epoch. An epoch is
// sealed when so many members know it that no majority of an earlier list can still
// confirm that list, and a term has passed. Being sealed is a fact that stays true, so
// it's passed on by anyone.
//
// With a members that have not confirmed, and r removed and n added since the last
// sealed epoch, an earlier list L has at most a+r members that may still confirm it, and
// at least |list|+r-n members, so 2a + r + n <= |list| suffices.
type Authority struct {
	vm         string
	dataCentre string
	term       time.Duration
	margin     time.Duration
	list       *fleet.List
	members    []fleet.VM
	epoch      uint64
	seals      map[string]uint64
	informed   bool
	heard      map[string]bool
	confirmed  map[string]time.Time
	knows      map[string]uint64
	askAt      map[string]time.Time
	sealAt     time.Time
	deadline   time.Time
}

// NewAuthority returns the authority of a VM without a list.
func NewAuthority(vm, dataCentre string, term, margin time.Duration) *Authority {
	return &Authority{
		vm:         vm,
		dataCentre: dataCentre,
		term:       term,
		margin:     margin,
		list:       fleet.NewList(0, nil),
		seals:      map[string]uint64{},
		heard:      map[string]bool{},
		confirmed:  map[string]time.Time{},
		knows:      map[string]uint64{},
		askAt:      map[string]time.Time{},
	}
}

// Adopt takes a newer list.
func (a *Authority) Adopt(now time.Time, l *fleet.List) {
	e := l.Epoch(a.dataCentre)
	if e < a.epoch {
		return
	}
	a.list = l
	if e == a.epoch {
		return
	}
	a.epoch = e
	a.members = l.Members(a.dataCentre)
	a.sealAt = time.Time{}
	clear(a.askAt)
	for n := range a.heard {
		if !a.member(n) {
			delete(a.heard, n)
		}
	}
	a.inform()
	a.update(now)
}

// Epoch returns the newest epoch that the VM knows.
func (a *Authority) Epoch() uint64 { return a.epoch }

// Informed reports whether the VM's confirmations count.
func (a *Authority) Informed() bool { return a.informed }

// Deadline returns the time until which the VM may act on its list.
func (a *Authority) Deadline() time.Time { return a.deadline }

// Sealed returns the epoch before which nobody acts any more.
func (a *Authority) Sealed() uint64 { return a.seals[a.dataCentre] }

// Seals returns the sealed epochs of all data centres that the VM knows of.
func (a *Authority) Seals() map[string]uint64 { return a.seals }

// Seal takes in a sealed epoch from a peer or from the settings.
func (a *Authority) Seal(dataCentre string, epoch uint64) {
	a.seals[dataCentre] = max(a.seals[dataCentre], epoch)
}

func (a *Authority) member(name string) bool {
	return slices.ContainsFunc(a.members, func(v fleet.VM) bool { return v.Name == name })
}

// MembersToPoll returns the members to be asked for a confirmation now.
func (a *Authority) MembersToPoll(now time.Time) []fleet.VM {
	var r []fleet.VM
	for _, v := range a.asked() {
		if now.Before(a.askAt[v.Name]) {
			continue
		}
		a.askAt[v.Name] = now.Add(a.term / askParts)
		if a.knows[v.Name] < a.epoch || !a.informed {
			a.askAt[v.Name] = now.Add(a.term / askParts / askParts)
		}
		r = append(r, v)
	}
	return r
}

// asked returns the members that the VM needs to hear from: all while it is not
// informed or its epoch not sealed, then somewhat more than a majority.
func (a *Authority) asked() []fleet.VM {
	others := slices.DeleteFunc(slices.Clone(a.members), func(v fleet.VM) bool { return v.Name == a.vm })
	if !a.informed || a.Sealed() < a.epoch {
		return others
	}
	n := min(len(a.members)/2+spareAsks, len(others))
	ranked := fleet.Rank(others, a.vm)
	// Those whose confirmation counts longest come first, so that silent ones are replaced.
	slices.SortStableFunc(ranked, func(x, y fleet.VM) int {
		return a.confirmed[y.Name].Compare(a.confirmed[x.Name])
	})
	return ranked[:n]
}

// HandleReply takes a member's answer to a question that was asked at a time.
func (a *Authority) HandleReply(now, asked time.Time, from string, epoch uint64, informed bool) {
	if !a.member(from) {
		return
	}
	a.heard[from] = informed
	a.inform()
	if !informed || epoch > a.epoch {
		return
	}
	a.knows[from] = max(a.knows[from], epoch)
	if until := asked.Add(a.term); until.After(a.confirmed[from]) {
		a.confirmed[from] = until
	}
	a.update(now)
}

// inform decides whether the VM has heard from enough peers since its start: from more
// than half of the members that were informed themselves, or from all.
func (a *Authority) inform() {
	if a.informed || !a.member(a.vm) {
		return
	}
	n := 0
	for _, informed := range a.heard {
		if informed {
			n++
		}
	}
	a.informed = 2*n > len(a.members) || len(a.heard) == len(a.members)-1
}

// update recomputes the deadline and the seal.
func (a *Authority) update(now time.Time) {
	if !a.informed || !a.member(a.vm) {
		return
	}
	until := []time.Time{now.Add(a.term)}
	for _, v := range a.members {
		if v.Name != a.vm {
			until = append(until, a.confirmed[v.Name])
		}
	}
	slices.SortFunc(until, func(x, y time.Time) int { return y.Compare(x) })
	if d := until[len(a.members)/2]; d.After(a.deadline) {
		a.deadline = d
	}
	a.seal(now)
}

func (a *Authority) seal(now time.Time) {
	if a.Sealed() >= a.epoch {
		return
	}
	missing := 0
	for _, v := range a.members {
		if v.Name != a.vm && a.knows[v.Name] < a.epoch {
			missing++
		}
	}
	removed, added := a.changed()
	switch {
	case 2*missing+removed+added > len(a.members):
		return
	case missing == 0 && removed == 0:
		a.Seal(a.dataCentre, a.epoch)
	case a.sealAt.IsZero():
		a.sealAt = now.Add(a.term + a.margin)
	case !before(now, a.sealAt):
		a.Seal(a.dataCentre, a.epoch)
	}
}

// changed returns how many members were removed and added since the sealed epoch.
func (a *Authority) changed() (removed, added int) {
	w := a.Sealed()
	for _, v := range a.members {
		if v.CreatedRevision > w {
			added++
		}
	}
	for _, g := range a.list.RemovedVMs(a.dataCentre) {
		if g.RemovedRevision > w {
			removed++
		}
	}
	return removed, added
}

// Tick lets time pass.
func (a *Authority) Tick(now time.Time) { a.update(now) }

// before reports whether a deadline is ahead by the wall clock and by the monotonic
// one, so that a VM that was suspended finds out by either.
func before(now, deadline time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}
