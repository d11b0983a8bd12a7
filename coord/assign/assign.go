// Package assign chooses, for each model engine that has no agent beside it, the entry that
// manages it: that grants places on it, polls it and gives it orders.
//
// It answers a load pattern in which requests arrive at many entries for few engines, and no
// agent counts what they send: agents that were never deployed, or were killed. If each entry
// then used a fixed share of an engine, large requests would fit into no share, while others
// would be rejected by engines that the entries together have filled.
//
// Each entry computes the choice by itself, from the members that it knows. Entries that know
// the same members choose the same manager. While their knowledge differs, two entries may
// manage one engine, or none. So an entry begins only some time after it became the first
// choice, gives orders later still, and stops at once when it isn't the first choice any more
// or hears too few of the other entries. An entry that no longer manages an engine gets no
// requests for places on it, since the others follow only the manager that they choose.
//
// Time is passed in by the caller, and nothing here locks or does I/O.
package assign

import (
	"slices"
	"time"

	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/roster"
)

const (
	// agentWait is how long an engine must have had no live agent before an entry manages it.
	// An agent that restarts, or whose record hasn't arrived yet, is back before that.
	agentWait = 1500 * time.Millisecond
	// handoverTime is how long an entry must have been the first choice before it manages the
	// engine. The others have learned of the change by then.
	handoverTime = time.Second
	// orderWait is how long an entry must have been the first choice before it gives orders. It
	// is longer than the lease of an earlier holder.
	orderWait = 4 * time.Second
	// minCapacityShare is the least capacity of a manager, as a fraction of the largest one: the
	// strongest do what few must do.
	minCapacityShare = 0.5
)

// Entry is an entry that may manage engines.
type Entry struct {
	Name string
	// Capacity is the entry's relative size.
	Capacity int32
}

// View is what an entry knows at one time.
type View struct {
	Self Entry
	// Others are the other live entries.
	Others []Entry
	// Engines are the model engines in use.
	Engines []roster.Upstream
	// HasAgent holds the addresses of the engines that have a live agent.
	HasAgent map[string]bool
	// MayManage is false while this entry must not manage engines, as it hears too few others
	// or is about to stop.
	MayManage bool
}

// Assignment is the choice for one engine without an agent.
type Assignment struct {
	Engine roster.Upstream
	// Manager is the name of the entry that manages the engine, or should soon.
	Manager string
	// Active is true if the manager is this entry and it is time to begin.
	Active bool
	// OrdersFrom is the time from which this entry, if Active, may give orders.
	OrdersFrom time.Time
}

// Assigner holds since when the choices of an entry have been the same. Use New.
type Assigner struct {
	// withoutAgent holds, by instance, since when an engine has had no live agent.
	withoutAgent map[string]time.Time
	// chosen holds, by instance, since when this entry has been the first choice.
	chosen map[string]time.Time
}

// New returns an assigner.
func New() *Assigner {
	return &Assigner{withoutAgent: map[string]time.Time{}, chosen: map[string]time.Time{}}
}

// Update returns the choices for the engines without an agent.
func (a *Assigner) Update(now time.Time, v View) (l []Assignment) {
	candidates := candidates(v)
	withoutAgent, chosen := map[string]time.Time{}, map[string]time.Time{}
	for _, u := range v.Engines {
		if v.HasAgent[u.Address] {
			continue
		}
		withoutAgent[u.Instance] = since(a.withoutAgent, u.Instance, now)
		if now.Sub(withoutAgent[u.Instance]) < agentWait {
			continue
		}
		n := Assignment{Engine: u, Manager: rank.Top(u.Instance, candidates, 1)[0]}
		if n.Manager == v.Self.Name && v.MayManage {
			t := since(a.chosen, u.Instance, now)
			chosen[u.Instance] = t
			n.Active = now.Sub(t) >= handoverTime
			n.OrdersFrom = t.Add(orderWait)
		}
		l = append(l, n)
	}
	a.withoutAgent, a.chosen = withoutAgent, chosen
	return l
}

// candidates returns the names of the entries that are large enough to manage engines.
func candidates(v View) (names []string) {
	l := append(slices.Clone(v.Others), v.Self)
	var largest int32
	for _, e := range l {
		largest = max(largest, e.Capacity)
	}
	for _, e := range l {
		if float64(e.Capacity) >= minCapacityShare*float64(largest) {
			names = append(names, e.Name)
		}
	}
	return names
}

// since returns the time of a key, or now if it has none.
func since(m map[string]time.Time, key string, now time.Time) time.Time {
	if t, ok := m[key]; ok {
		return t
	}
	return now
}
