package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestNotesAreFound checks that a member finds what another one has noted, and nothing else.
func TestNotesAreFound(t *testing.T) {
	a := NewTable()
	a.HandleNote(start, &wire.StreamOrigin{Request: "r", Service: "s", Version: "v1"})
	a.HandleNote(start, &wire.StreamOrigin{Request: "no-version", Service: "s"})
	for q, want := range map[string]*wire.StreamOrigin{
		"r": {Request: "r", Service: "s", Version: "v1"}, "other": nil, "no-version": nil,
	} {
		if got := a.HandleFind(start, &wire.FindOriginRequest{Request: q}, NewHistory()).Origin; got.String() != want.String() {
			t.Errorf("origin of %s: %v, want %v", q, got, want)
		}
	}
}

// members returns members with the names m0, m1 and so on.
func members(from, to int) (l []*wire.Member) {
	for i := from; i < to; i++ {
		l = append(l, &wire.Member{Name: fmt.Sprintf("m%d", i)})
	}
	return l
}

// TestHoldersAreAsked checks that those who note a stream are among those who are asked for it, also by a member
// that has seen others come and go since.
func TestHoldersAreAsked(t *testing.T) {
	for i := range 200 {
		q := fmt.Sprint(i)
		noted := Rank(q, members(0, 40))[:Holders]
		asked := Rank(q, members(3, 43))
		found := slices.ContainsFunc(noted, func(n *wire.Member) bool {
			return slices.ContainsFunc(asked, func(a *wire.Member) bool { return a.Name == n.Name })
		})
		if !found {
			t.Errorf("request %s: none of %v is among %v", q, noted, asked)
		}
	}
}

// TestHistory checks which versions a service has had for a time.
func TestHistory(t *testing.T) {
	h := NewHistory()
	h.See(start, Origin{"s", "v1"})
	h.See(start.Add(time.Second), Origin{"s", "v2"})
	h.See(start.Add(time.Second), Origin{"other", "v3"})
	for at, want := range map[time.Duration][]string{0: {"v1", "v2"}, time.Second: {"v2"}, 2 * time.Second: nil} {
		if d := cmp.Diff(want, h.Since(start.Add(at), "s")); d != "" {
			t.Errorf("versions since %s (-want +got):\n%s", at, d)
		}
	}
	h.See(start.Add(noteTime+time.Second), Origin{"s", "v4"})
	if d := cmp.Diff([]string{"v2", "v4"}, h.Since(start, "s")); d != "" {
		t.Errorf("versions after a long time (-want +got):\n%s", d)
	}
}

// TestObservedSince checks for how long a history holds all versions: from its first view on, unless it missed some time.
func TestObservedSince(t *testing.T) {
	h := NewHistory()
	got := []time.Duration{h.Observed(start)}
	for _, at := range []time.Duration{0, time.Second, time.Second + maxObserveGap, 3 + time.Second + 2*maxObserveGap} {
		h.Observe(start.Add(at))
		got = append(got, h.Observed(start.Add(at)))
	}
	got = append(got, h.Observed(start.Add(4*time.Second+3*maxObserveGap)))
	if d := cmp.Diff([]time.Duration{0, 0, time.Second, time.Second + maxObserveGap, 0, 0}, got); d != "" {
		t.Errorf("observed (-want +got):\n%s", d)
	}
}

// TestVersionsAreReported checks that a member without lists learns from reports which versions there are, and that a report
// says so also where upstreams state none.
func TestVersionsAreReported(t *testing.T) {
	entry, agent := NewHistory(), NewHistory()
	agent.Merge(start, entry.Report(start))
	got := []bool{agent.Observed(start) > 0 || !agent.lastObserved.IsZero()}
	entry.See(start, Origin{"s", "v1"})
	entry.Observe(start)
	agent.Merge(start, entry.Report(start))
	agent.Merge(start.Add(time.Second), entry.Report(start.Add(time.Second)))
	agent.Merge(start.Add(2*currentTime), entry.Report(start.Add(2*currentTime)))
	got = append(got, agent.Observed(start.Add(time.Second)) == time.Second, agent.lastObserved.Equal(start.Add(time.Second)))
	if d := cmp.Diff([]bool{false, true, true}, got); d != "" {
		t.Errorf("observed (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]string{"v1"}, agent.Since(start, "s")); d != "" {
		t.Errorf("versions (-want +got):\n%s", d)
	}
}

// TestKindsTakeTurns checks that notes are held by members of both kinds.
func TestKindsTakeTurns(t *testing.T) {
	agents, entries := members(0, 3), members(10, 50)
	for i := range 50 {
		l := Rank(fmt.Sprint(i), agents, entries)
		var isAgent []bool
		for _, m := range l {
			isAgent = append(isAgent, slices.Contains(agents, m))
		}
		if d := cmp.Diff([]bool{true, false, true, false, true, false}, isAgent); d != "" {
			t.Fatalf("agents among the holders (-want +got):\n%s", d)
		}
	}
}
