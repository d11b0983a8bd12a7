package proxy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/region"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

const (
	// evacuationRuns is the number of seeds of TestEvacuationsHold.
	evacuationRuns = 100
	// evacuationTime is the time after which an evacuation must be in force at entries that learn
	// of the store.
	evacuationTime = 4 * time.Second
	// youngTime is the time after its start in which an entry may not know yet what a restored
	// store has lost.
	youngTime = 4 * time.Second
)

// evacuationSim is a store whose operator evacuates data centres and takes them back.
type evacuationSim struct {
	*storeSim
	// since holds when the evacuations in force began, by data centre.
	since map[string]time.Time
	// startedAt is when the entries started.
	startedAt map[*simEntry]time.Time
	// wholeSince is when what the last restore had lost was written again.
	wholeSince time.Time
	// writtenAt is the position of the last change of the evacuations.
	writtenAt calls.Position
	// known holds the evacuations in force that an entry has had in force.
	known map[*simEntry]map[string]bool
}

// toggle evacuates a data centre or takes it back.
func (s *evacuationSim) toggle(now time.Time, dataCentre string) {
	if _, ok := s.since[dataCentre]; ok {
		delete(s.since, dataCentre)
	} else {
		s.since[dataCentre] = now
	}
	for _, k := range s.known {
		delete(k, dataCentre)
	}
	s.publishEvacuations(now)
}

// publishEvacuations writes what is evacuated.
func (s *evacuationSim) publishEvacuations(now time.Time) {
	var l []string
	for d := range s.since {
		l = append(l, d)
	}
	s.write(now, func(n *storeState) { n.evacuated = l })
	s.writtenAt = calls.Position{Epoch: s.epoch, Revision: s.revision}
}

// check returns the data centres that are evacuated and to which an entry may send all the same. An
// entry that knew of the evacuation must not, whatever has become of the store since. Others must
// not later than evacuationTime after the store has had it without a loss.
func (s *evacuationSim) check(now time.Time, e *simEntry) (broken []string) {
	v := e.snapshot.Load()
	if v == nil {
		return nil
	}
	for d, at := range s.since {
		isUsed := slices.ContainsFunc(v.services["s"], func(u roster.Upstream) bool { return u.DataCentre == d })
		if !isUsed {
			isLast := v.position.Epoch == s.writtenAt.Epoch && !v.position.Before(s.writtenAt)
			s.known[e][d] = s.known[e][d] || isLast
			continue
		}
		isYoung := now.Sub(s.startedAt[e]) < youngTime
		isLate := s.rewriteAt.IsZero() && now.Sub(at) > evacuationTime && now.Sub(s.wholeSince) > evacuationTime
		if s.known[e][d] || isLate && !isYoung && !e.cut {
			broken = append(broken, d)
		}
	}
	return broken
}

// addEntry starts an entry.
func (s *evacuationSim) addEntry(t *testing.T, now time.Time) *simEntry {
	e := newSimEntry(t)
	s.startedAt[e], s.known[e] = now, map[string]bool{}
	return e
}

// evacuationRun plays a run and returns what was broken.
func evacuationRun(t *testing.T, seed uint64) (broken []string) {
	r := rand.New(rand.NewPCG(seed, seed))
	now := time.Now()
	s := &evacuationSim{
		storeSim:  &storeSim{rand: r, epoch: 1, storeState: &storeState{at: now, revision: 1, listed: map[string]roster.Upstream{}}, upstreams: map[string]*simUpstream{}},
		since:     map[string]time.Time{},
		startedAt: map[*simEntry]time.Time{},
		known:     map[*simEntry]map[string]bool{},
	}
	s.newest = rules.Config{Version: 1, Workspaces: []rules.Workspace{{Name: "w"}}}
	s.publish(now)
	dataCentres := []string{"east", "north", "west"}
	for _, d := range dataCentres {
		s.register(now, roster.Upstream{Instance: d, Service: "s", Address: d, Born: 1, DataCentre: d})
	}
	s.copies = nil
	entries := make([]*simEntry, 4)
	for i := range entries {
		entries[i] = s.addEntry(t, now)
	}
	for step := range int(restoreTime / stepTime) {
		now = now.Add(stepTime)
		if !s.rewriteAt.IsZero() && !now.Before(s.rewriteAt) {
			s.publishEvacuations(now)
			s.wholeSince = now
		}
		s.settle(now)
		i := r.IntN(len(entries))
		isResting := time.Duration(step)*stepTime >= restoreTime-restTime
		switch k := r.IntN(200); {
		case isResting:
			entries[i].cut = false
		case k < 6:
			s.toggle(now, dataCentres[r.IntN(len(dataCentres))])
		case k < 8 && s.rewriteAt.IsZero():
			s.restore(now)
		case k < 11:
			entries[i].cut = i > 0 && !entries[i].cut
		case k < 12:
			entries[i] = s.addEntry(t, now)
		}
		e := entries[r.IntN(len(entries))]
		if r.IntN(3) == 0 && !e.cut {
			if err := e.adoptAt(momentAt(now), s.listing(t), momentAt(now).instant); err != nil {
				t.Fatal(err)
			}
		} else {
			e.learn(t, now, entries[r.IntN(len(entries))])
		}
		for _, e := range entries {
			broken = append(broken, s.check(now, e)...)
		}
	}
	for _, e := range entries {
		if n := len(e.snapshot.Load().services["s"]); n != len(dataCentres)-len(s.since) {
			broken = append(broken, "not all that were taken back are usable")
		}
	}
	return broken
}

// TestEvacuationsHold evacuates data centres and takes them back in quick succession, while the store
// is restored from copies, entries are cut off from it, start anew and learn from each other. See
// evacuationSim.check for what must hold; in the end all must use what was taken back.
func TestEvacuationsHold(t *testing.T) {
	for seed := range uint64(evacuationRuns) {
		if broken := evacuationRun(t, seed); len(broken) > 0 {
			t.Errorf("seed %d: used while evacuated, or not used after: %v", seed, broken)
		}
	}
}

// TestEarlierReleaseKeepsEvacuations checks that the listing of an entry of an earlier release, which
// doesn't know evacuations, leaves them in force, and that an entry with no other listing isn't ready.
func TestEarlierReleaseKeepsEvacuations(t *testing.T) {
	now := time.Now()
	e := newSimEntry(t)
	u := roster.Upstream{Instance: "i", Service: "s", Address: "a", DataCentre: "east"}
	mustAdopt(t, e, now, calls.Listing{Rules: mustRules(t, 7), Revision: 1, Upstreams: []roster.Upstream{u}, Evacuated: []string{"east"}})
	mustAdopt(t, e, now.Add(time.Second), calls.Listing{Rules: mustRules(t, 7), Revision: 2, Upstreams: []roster.Upstream{u}, LacksEvacuated: true})
	v := e.snapshot.Load()
	if v.isUsable(u) || !v.evacuated["s"] {
		t.Errorf("usable %t, service evacuated %t after the listing of an earlier release", v.isUsable(u), v.evacuated["s"])
	}
	fresh := newSimEntry(t)
	mustAdopt(t, fresh, now, calls.Listing{Rules: mustRules(t, 7), Revision: 2, Upstreams: []roster.Upstream{u}, LacksEvacuated: true})
	if fresh.Status().Ready {
		t.Error("ready without knowing the evacuations")
	}
	a, err := fresh.List(t.Context(), &wire.ListRequest{})
	if err != nil || a.Evacuations != nil {
		t.Errorf("passes on evacuations %v that it doesn't know, error %v", a.Evacuations, err)
	}
}

// TestReturnedUpstreamsAreCold checks that the upstreams of a data centre that is taken back are held to
// be cold where their service limits cold ones, and those of other data centres aren't.
func TestReturnedUpstreamsAreCold(t *testing.T) {
	now := time.Now()
	e := newSimEntry(t)
	r, err := rules.New(rules.Config{Version: 7, Services: []rules.Service{{Name: "s", ColdTime: 3 * time.Second, ColdRate: 10}}})
	if err != nil {
		t.Fatal(err)
	}
	list := []roster.Upstream{
		{Instance: "returned", Service: "s", Address: "1", DataCentre: "east"},
		{Instance: "other", Service: "s", Address: "2", DataCentre: "west"},
	}
	for i, evacuated := range [][]string{{"east"}, nil} {
		at := now.Add(time.Duration(i) * time.Second)
		mustAdopt(t, e, at, calls.Listing{Rules: r, Revision: uint64(1 + i), Upstreams: list, Evacuated: evacuated})
	}
	got := []bool{e.pacer.IsCold(now.Add(time.Second), "returned"), e.pacer.IsCold(now.Add(time.Second), "other")}
	if d := cmp.Diff([]bool{true, false}, got); d != "" {
		t.Errorf("cold, of a data centre that was taken back and of another (-want +got):\n%s", d)
	}
}

// TestOnlyAllowedEngineReturns lets a request whose only allowed engine is in a data centre that was just
// taken back choose an engine. It must get that one, although others take part in all choices.
func TestOnlyAllowedEngineReturns(t *testing.T) {
	const tries = 50
	p, x := newTestEntry(t, 0, 1, 50000)
	p.returnedAt = map[string]time.Time{"east": time.Now()}
	p.snapshot.Store(&snapshot{services: map[string][]roster.Upstream{"llm": {
		{Instance: "alone", Address: "alone:1", Stage: wire.Stage_STAGE_DECODE, DataCentre: "west"},
		{Instance: "told", Address: "told:1", Stage: wire.Stage_STAGE_DECODE, DataCentre: "east"},
	}}})
	x.bounds = region.New([]string{"allowed"})
	x.regions = map[string]string{"east": "allowed", "west": "other"}
	got := map[string]int{}
	for range tries {
		c, _, ok := p.pickDecode(x, nil)
		if ok {
			got[c.upstream.Instance]++
		}
	}
	if d := cmp.Diff(map[string]int{"told": tries}, got); d != "" {
		t.Errorf("engines chosen (-want +got):\n%s", d)
	}
}
