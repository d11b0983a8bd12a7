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
		if got := a.HandleFind(&wire.FindOriginRequest{Request: q}).Origin; got.String() != want.String() {
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
