package proxy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/upconn"
)

const (
	// restoreRuns is the number of seeds of TestRestoredStoreUndoesNothing.
	restoreRuns = 300
	// restoreTime is the simulated time of a run, and restTime that without changes at its end.
	restoreTime = 40 * time.Second
	restTime    = 8 * time.Second
	// stepTime is the time between two events.
	stepTime = 50 * time.Millisecond
	// maxCopyAge is the age of the oldest copy that the store is restored from.
	maxCopyAge = 6 * time.Second
	// rewriteTime is the longest time after a restore in which live upstreams and the operator write
	// again what was lost.
	rewriteTime = 2 * time.Second
	// absenceTime is how long a live upstream may be missing at an entry after a restore: what
	// was written again takes a while to reach it.
	absenceTime = 2 * time.Second
	// lapseTime is the time after which the store drops the registration of a silent upstream.
	lapseTime = 3600 * time.Millisecond
)

// simUpstream is an upstream of a simulated store.
type simUpstream struct {
	roster.Upstream
	// ended is true once it doesn't renew its registration any more.
	ended bool
}

// storeState is the content of a simulated store.
type storeState struct {
	at       time.Time
	revision uint64
	config   rules.Config
	listed   map[string]roster.Upstream
	// evacuated are the data centres that the operator has evacuated.
	evacuated []string
}

// storeSim is a store that is restored from copies, with an operator and upstreams that write there.
type storeSim struct {
	*storeState
	epoch     uint64
	rand      *rand.Rand
	copies    []*storeState
	newest    rules.Config
	upstreams map[string]*simUpstream
	started   int
	// rewriteAt is when what was lost is written again; zero if nothing is.
	rewriteAt time.Time
	// lapseAt is when the registrations of ended upstreams are dropped.
	lapseAt time.Time
}

// write applies a change to the state and gives it a revision.
func (s *storeSim) write(now time.Time, f func(*storeState)) {
	n := *s.storeState
	n.listed = maps.Clone(n.listed)
	n.revision++
	n.at = now
	f(&n)
	s.copies = append(s.copies, s.storeState)
	s.storeState = &n
}

// publish lets the operator write a newer configuration, without one of the keys.
func (s *storeSim) publish(now time.Time) {
	c := s.newest
	c.Version += 1 + s.rand.Uint64N(4)
	keys := []string{fmt.Sprint("key-", c.Version)}
	for _, k := range s.newest.Workspaces[0].Keys {
		if s.rand.IntN(3) > 0 {
			keys = append(keys, k)
		}
	}
	c.Workspaces = []rules.Workspace{{Name: "w", Keys: keys}}
	s.newest = c
	s.write(now, func(n *storeState) { n.config = c })
}

// register writes the registration of an upstream.
func (s *storeSim) register(now time.Time, u roster.Upstream) {
	s.write(now, func(n *storeState) { n.listed[u.Instance] = u })
}

// startUpstream starts an upstream.
func (s *storeSim) startUpstream(now time.Time) {
	s.started++
	u := &simUpstream{Upstream: roster.Upstream{Instance: fmt.Sprint("i-", s.started), Service: "s", Address: fmt.Sprint("a-", s.started), Born: int64(s.started)}}
	s.upstreams[u.Instance] = u
	s.register(now, u.Upstream)
}

// endUpstream lets an upstream announce its end, or end without a word.
func (s *storeSim) endUpstream(now time.Time) {
	u := s.upstreams[slices.Sorted(maps.Keys(s.upstreams))[s.rand.IntN(len(s.upstreams))]]
	switch {
	case u.Leaving || s.rand.IntN(2) == 0:
		u.ended = true
		s.write(now, func(n *storeState) { delete(n.listed, u.Instance) })
	default:
		u.Leaving = true
		s.register(now, u.Upstream)
	}
}

// restore brings the store back from a copy.
func (s *storeSim) restore(now time.Time) {
	i := slices.IndexFunc(s.copies, func(c *storeState) bool { return now.Sub(c.at) <= maxCopyAge })
	if i < 0 {
		return
	}
	i += s.rand.IntN(len(s.copies) - i)
	s.storeState, s.copies = s.copies[i], s.copies[:i]
	s.epoch++
	s.rewriteAt = now.Add(time.Duration(s.rand.Int64N(int64(rewriteTime))))
	s.lapseAt = now.Add(lapseTime)
}

// settle writes again what was lost, and drops what has lapsed, once it is time.
func (s *storeSim) settle(now time.Time) {
	if !s.rewriteAt.IsZero() && !now.Before(s.rewriteAt) {
		s.rewriteAt = time.Time{}
		s.write(now, func(n *storeState) { n.config = s.newest })
		for _, u := range s.upstreams {
			if !u.ended {
				s.register(now, u.Upstream)
			}
		}
	}
	if !s.lapseAt.IsZero() && !now.Before(s.lapseAt) {
		s.lapseAt = time.Time{}
		for _, u := range s.upstreams {
			if _, ok := s.listed[u.Instance]; ok && u.ended {
				s.write(now, func(n *storeState) { delete(n.listed, u.Instance) })
			}
		}
	}
}

// listing returns what a read of the store returns.
func (s *storeSim) listing(t *testing.T) calls.Listing {
	r, err := rules.New(s.config)
	if err != nil {
		t.Fatal(err)
	}
	return calls.Listing{Rules: r, RulesEpoch: s.epoch, Epoch: s.epoch, Revision: s.revision, Upstreams: slices.Collect(maps.Values(s.listed)), Evacuated: s.evacuated}
}

// simEntry is an entry and what it has known.
type simEntry struct {
	*Proxy
	// cut is true while the entry can't reach the store.
	cut     bool
	version uint64
	// held and revoked are the keys that it has known as valid and as revoked.
	held, revoked map[string]bool
	// usable are the upstreams that it may use, and left those that it could use before.
	usable, left map[string]bool
	// missing holds when live upstreams ceased to be usable.
	missing map[string]time.Time
}

func newSimEntry(t *testing.T) *simEntry {
	p := newTestProxy(t.Context(), t)
	p.roster = roster.New(roster.WithLapse(lapseTime + stepTime))
	p.picker = picker.New("", 1)
	var closePool func()
	p.conns, closePool = upconn.NewPool(nil)
	t.Cleanup(closePool)
	return &simEntry{Proxy: p, held: map[string]bool{}, revoked: map[string]bool{}, usable: map[string]bool{}, left: map[string]bool{}, missing: map[string]time.Time{}}
}

// learn lets an entry take over what another one knows.
func (e *simEntry) learn(t *testing.T, now time.Time, o *simEntry) {
	from := o.snapshot.Load()
	if from == nil {
		return
	}
	old := e.snapshot.Load()
	q := e.listRequest(old)
	q.Sender = ""
	a, err := o.listAt(now, q)
	if err != nil {
		t.Fatal(err)
	}
	// An error means that the other knows nothing newer.
	_ = e.adoptReply(momentAt(now), q, old, a, from.readAt)
}

// momentAt returns the moment at a simulated time.
func momentAt(t time.Time) moment { return moment{t, clock.Instant(t.UnixNano())} }

// check returns what an entry has gone back on since the last check.
func (e *simEntry) check(now time.Time, s *storeSim) (broken []string) {
	v := e.snapshot.Load()
	if v == nil {
		return nil
	}
	if v.rules.Version() < e.version {
		broken = append(broken, fmt.Sprintf("version %d after %d", v.rules.Version(), e.version))
	}
	e.version = v.rules.Version()
	valid := v.rules.Config().Workspaces[0].Keys
	for _, k := range valid {
		if e.revoked[k] {
			broken = append(broken, "valid again: "+k)
		}
	}
	for k := range e.held {
		e.revoked[k] = e.revoked[k] || !slices.Contains(valid, k)
	}
	for _, k := range valid {
		e.held[k] = true
	}
	for n, u := range s.upstreams {
		isLive, isUsable := !u.ended && !u.Leaving, v.isUsable(u.Upstream)
		switch {
		case isUsable && e.left[n] && !isLive:
			broken = append(broken, "usable again: "+n)
		case !isUsable && e.usable[n] && isLive:
			e.missing[n] = now
		case isUsable || !isLive:
			delete(e.missing, n)
		case !e.missing[n].IsZero() && now.Sub(e.missing[n]) > absenceTime:
			broken = append(broken, "not usable any more: "+n)
		}
		e.left[n] = !isUsable && (e.left[n] || e.usable[n])
		e.usable[n] = isUsable
	}
	return broken
}

// restoreRun plays a run and returns what was broken.
func restoreRun(t *testing.T, seed uint64) []string {
	r := rand.New(rand.NewPCG(seed, seed))
	now := time.Now()
	s := &storeSim{rand: r, epoch: 1, storeState: &storeState{at: now, revision: 1, listed: map[string]roster.Upstream{}}, upstreams: map[string]*simUpstream{}}
	s.newest = rules.Config{Version: 1, Workspaces: []rules.Workspace{{Name: "w"}}}
	s.publish(now)
	for range 3 {
		s.startUpstream(now)
	}
	s.copies = nil
	entries := make([]*simEntry, 4)
	for i := range entries {
		entries[i] = newSimEntry(t)
	}
	for step := range int(restoreTime / stepTime) {
		now = now.Add(stepTime)
		s.settle(now)
		if time.Duration(step)*stepTime < restoreTime-restTime {
			s.disturb(t, now, entries)
		} else {
			for _, e := range entries {
				e.cut = false
			}
		}
		e := entries[r.IntN(len(entries))]
		if r.IntN(3) == 0 && !e.cut {
			if err := e.adoptAt(momentAt(now), s.listing(t), momentAt(now).instant); err != nil {
				t.Fatal(err)
			}
		} else {
			e.learn(t, now, entries[r.IntN(len(entries))])
		}
		for i, e := range entries {
			if l := e.check(now, s); len(l) > 0 {
				return append(l, fmt.Sprintf("at entry %d after %s", i, time.Duration(step)*stepTime))
			}
		}
	}
	return s.differences(entries)
}

// disturb makes a random event happen now and then.
func (s *storeSim) disturb(t *testing.T, now time.Time, entries []*simEntry) {
	i := s.rand.IntN(len(entries))
	switch s.rand.IntN(200) {
	case 0, 1, 2, 3:
		s.publish(now)
	case 4, 5, 6:
		s.startUpstream(now)
	case 7, 8, 9:
		s.endUpstream(now)
	case 10, 11:
		if s.rewriteAt.IsZero() && s.lapseAt.IsZero() {
			s.restore(now)
		}
	case 12, 13, 14:
		// The first entry always reaches the store.
		entries[i].cut = i > 0 && !entries[i].cut
	case 15:
		entries[i] = newSimEntry(t)
	}
}

// differences returns what the entries have not learned by the end of a run.
func (s *storeSim) differences(entries []*simEntry) (l []string) {
	for i, e := range entries {
		v := e.snapshot.Load()
		if v.rules.Version() != s.newest.Version {
			l = append(l, fmt.Sprintf("entry %d ends with version %d, not %d", i, v.rules.Version(), s.newest.Version))
		}
		for n, u := range s.upstreams {
			if isLive := !u.ended && !u.Leaving; isLive != v.isUsable(u.Upstream) {
				l = append(l, fmt.Sprintf("entry %d: %s live %t, usable %t", i, n, isLive, !isLive))
			}
		}
	}
	return l
}

// TestRestoredStoreUndoesNothing restores the store again and again from copies that lack the newest
// writes, while entries are cut off from it, start anew and learn from each other. No entry may go
// back to an older configuration, accept a key that it knew as revoked, use an upstream again that
// it knew as leaving or gone, or lose a live one; in the end all must know the newest state.
func TestRestoredStoreUndoesNothing(t *testing.T) {
	for seed := range uint64(restoreRuns) {
		if broken := restoreRun(t, seed); len(broken) > 0 {
			t.Errorf("seed %d: %v", seed, broken)
		}
	}
}
