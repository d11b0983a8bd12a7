package quota

import (
	"slices"
	"time"

	"cranberrypoint.example/coord/fleet"
)

// Defaults for NewAuthority.
const (
	// DefaultLeaseTerm is how long a member's confirmation, its reply that it knows no newer
	// epoch, is valid, counted from when the member was polled. See Authority.
	DefaultLeaseTerm = 30 * time.Second
	// DefaultLeaseMargin is added to the term before an epoch is sealed. It covers the clock
	// drift over a term and a reply that is accepted late.
	DefaultLeaseMargin = 2 * time.Second
	// pollsPerTerm is how often a member is polled within a term. Until the member knows the
	// epoch and the VM is informed, it is polled pollsPerTerm times as often.
	pollsPerTerm = 3
	// sparePolls is the number of members polled beyond a majority.
	sparePolls = 4
)

// Authority is a VM's lease on its list of VMs: it decides until when the VM may act on
// the list, and whether the holders under earlier lists have stopped. The list determines
// the holders, the agents that hold the shares of the workspaces' token buckets.
//
// The members of a data centre are all VMs listed in it. Its epoch is the revision at
// which it last gained or lost a member. A holder may act while more than half of the
// members of its list have confirmed, within a term, that they know no newer epoch.
//
// An epoch is sealed once no earlier list can be confirmed by a majority: so many members
// know the epoch that no majority of an earlier list is left, and a term has passed since.
// A sealed epoch stays sealed, so any process may pass the fact on.
//
// Let a be the members that have not reported the epoch, r those removed and n those added
// since the last sealed epoch. At most a+r members can still confirm an earlier list, which
// has at least |list|+r-n members. No majority is left if 2(a+r) <= |list|+r-n, that is, if
// 2a+r+n <= |list|.
type Authority struct {
	vm         string
	dataCentre string
	term       time.Duration
	margin     time.Duration
	list       *fleet.List
	members    []fleet.VM
	epoch      uint64
	// seals holds the sealed epoch of each data centre.
	seals map[string]uint64
	// informed is what Informed returns; updateInformed sets it.
	informed bool
	// peerInformed holds, for each member that replied, whether that member was informed.
	peerInformed map[string]bool
	// confirmedUntil is when each member's confirmation ends.
	confirmedUntil map[string]time.Time
	// knownEpoch is the newest epoch, up to the VM's own, that each member has reported while
	// it was informed.
	knownEpoch map[string]uint64
	nextPoll   map[string]time.Time
	// sealAt is when the epoch can be sealed; zero until enough members know it.
	sealAt   time.Time
	deadline time.Time
}

// NewAuthority returns the authority of a VM that has no list yet. A confirmation is
// valid for term; margin is added to it before an epoch is sealed.
func NewAuthority(vm, dataCentre string, term, margin time.Duration) *Authority {
	return &Authority{
		vm:             vm,
		dataCentre:     dataCentre,
		term:           term,
		margin:         margin,
		list:           fleet.NewList(0, nil),
		seals:          map[string]uint64{},
		peerInformed:   map[string]bool{},
		confirmedUntil: map[string]time.Time{},
		knownEpoch:     map[string]uint64{},
		nextPoll:       map[string]time.Time{},
	}
}

// Adopt replaces the list, unless its epoch is older than the current one.
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
	clear(a.nextPoll)
	for n := range a.peerInformed {
		if !a.isMember(n) {
			delete(a.peerInformed, n)
		}
	}
	a.updateInformed()
	a.update(now)
}

// Epoch returns the newest epoch that the VM knows.
func (a *Authority) Epoch() uint64 { return a.epoch }

// Informed reports whether enough members have replied since the VM's start; see
// updateInformed. Until then peers ignore the VM's confirmations, because after a restart it
// may not know the newest epoch yet.
func (a *Authority) Informed() bool { return a.informed }

// Deadline returns the time until which the VM may act on its list.
func (a *Authority) Deadline() time.Time { return a.deadline }

// Sealed returns the newest sealed epoch of the VM's data centre. Nobody acts on a list
// of an earlier epoch any more.
func (a *Authority) Sealed() uint64 { return a.seals[a.dataCentre] }

// Seals returns the newest sealed epoch known for each data centre.
func (a *Authority) Seals() map[string]uint64 { return a.seals }

// Seal records that an epoch is sealed: one that a peer reports, or the sealed-revision that
// an operator has set in the settings.
func (a *Authority) Seal(dataCentre string, epoch uint64) {
	a.seals[dataCentre] = max(a.seals[dataCentre], epoch)
}

func (a *Authority) isMember(name string) bool {
	return slices.ContainsFunc(a.members, func(v fleet.VM) bool { return v.Name == name })
}

// MembersToPoll returns the members that are due to be polled for a confirmation, and
// schedules their next poll.
func (a *Authority) MembersToPoll(now time.Time) []fleet.VM {
	var r []fleet.VM
	for _, v := range a.polled() {
		if now.Before(a.nextPoll[v.Name]) {
			continue
		}
		a.nextPoll[v.Name] = now.Add(a.term / pollsPerTerm)
		if a.knownEpoch[v.Name] < a.epoch || !a.informed {
			a.nextPoll[v.Name] = now.Add(a.term / pollsPerTerm / pollsPerTerm)
		}
		r = append(r, v)
	}
	return r
}

// polled returns the members whose replies the VM needs: all of them until the VM is
// informed and its epoch sealed, then somewhat more than a majority.
func (a *Authority) polled() []fleet.VM {
	others := slices.DeleteFunc(slices.Clone(a.members), func(v fleet.VM) bool { return v.Name == a.vm })
	if !a.informed || a.Sealed() < a.epoch {
		return others
	}
	n := min(len(a.members)/2+sparePolls, len(others))
	ranked := fleet.Rank(others, a.vm)
	// The members whose confirmations last longest come first. A member that stops replying
	// falls behind, and another one is polled instead.
	slices.SortStableFunc(ranked, func(x, y fleet.VM) int {
		return a.confirmedUntil[y.Name].Compare(a.confirmedUntil[x.Name])
	})
	return ranked[:n]
}

// HandleReply records a member's reply to a poll that was sent at asked: its epoch, and
// whether it was informed.
func (a *Authority) HandleReply(now, asked time.Time, from string, epoch uint64, informed bool) {
	if !a.isMember(from) {
		return
	}
	a.peerInformed[from] = informed
	a.updateInformed()
	if !informed || epoch > a.epoch {
		return
	}
	a.knownEpoch[from] = max(a.knownEpoch[from], epoch)
	if until := asked.Add(a.term); until.After(a.confirmedUntil[from]) {
		a.confirmedUntil[from] = until
	}
	a.update(now)
}

// updateInformed marks the VM as informed once, since its start, all other members have
// replied, or more than half of the members were informed when they replied.
func (a *Authority) updateInformed() {
	if a.informed || !a.isMember(a.vm) {
		return
	}
	n := 0
	for _, informed := range a.peerInformed {
		if informed {
			n++
		}
	}
	a.informed = 2*n > len(a.members) || len(a.peerInformed) == len(a.members)-1
}

// update recomputes the deadline, and seals the epoch when that is possible.
func (a *Authority) update(now time.Time) {
	if !a.informed || !a.isMember(a.vm) {
		return
	}
	// ends are the ends of all members' confirmations. The VM's own always lasts a whole term
	// from now.
	ends := []time.Time{now.Add(a.term)}
	for _, v := range a.members {
		if v.Name != a.vm {
			ends = append(ends, a.confirmedUntil[v.Name])
		}
	}
	slices.SortFunc(ends, func(x, y time.Time) int { return y.Compare(x) })
	if d := ends[len(a.members)/2]; d.After(a.deadline) {
		a.deadline = d
	}
	a.trySeal(now)
}

// trySeal seals the epoch by the rule in the comment on Authority. If all members know it
// and none was removed, nobody is left who could act on an earlier list, and there is no
// wait.
func (a *Authority) trySeal(now time.Time) {
	if a.Sealed() >= a.epoch {
		return
	}
	unconfirmed := 0
	for _, v := range a.members {
		if v.Name != a.vm && a.knownEpoch[v.Name] < a.epoch {
			unconfirmed++
		}
	}
	removed, added := a.countChanges()
	switch {
	case 2*unconfirmed+removed+added > len(a.members):
		return
	case unconfirmed == 0 && removed == 0:
		a.Seal(a.dataCentre, a.epoch)
	case a.sealAt.IsZero():
		a.sealAt = now.Add(a.term + a.margin)
	case !isBefore(now, a.sealAt):
		a.Seal(a.dataCentre, a.epoch)
	}
}

// countChanges returns how many members were removed and added since the sealed epoch.
func (a *Authority) countChanges() (removed, added int) {
	sealed := a.Sealed()
	for _, v := range a.members {
		if v.CreatedRevision > sealed {
			added++
		}
	}
	for _, g := range a.list.RemovedVMs(a.dataCentre) {
		if g.RemovedRevision > sealed {
			removed++
		}
	}
	return removed, added
}

// Tick recomputes the deadline and the sealed epoch at the given time.
func (a *Authority) Tick(now time.Time) { a.update(now) }

// isBefore reports whether now is before a deadline by both the wall clock and the
// monotonic clock. A VM that was suspended can then notice by either that the deadline
// has passed.
func isBefore(now, deadline time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}
