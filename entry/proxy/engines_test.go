package proxy

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

const (
	testMemory = 90000
	// aloneRuns is the number of usual runs of the test that fit into what is handed out of
	// that without an agent.
	aloneRuns = 5
)

// entryAmong returns the i-th of n entries that know each other and two engines of answers:
// one whose agent tells its room, and one without an agent.
func entryAmong(t *testing.T, i, n int, room int64) (*Proxy, *exchange) {
	t.Helper()
	name := func(i int) string { return fmt.Sprint("entry-", i) }
	m := mesh.New(&wire.Member{Name: name(i), Role: mesh.RoleEntry}, nil, nil, logrus.New())
	for o := range n {
		if o == i {
			continue
		}
		q := &wire.GossipRequest{Self: &wire.Member{Name: name(o), Role: mesh.RoleEntry, Incarnation: 1}}
		if _, err := m.Gossip(t.Context(), q); err != nil {
			t.Fatal(err)
		}
	}
	p := &Proxy{settings: Settings{VM: name(i)}, mesh: m, picker: picker.New("", 1), engines: newEngines()}
	p.followed = map[string]*follower{
		"told:1": {at: time.Now(), state: &wire.PlaceState{Stage: wire.Stage_STAGE_DECODE, Sound: true, Room: room, Memory: testMemory, Slots: 12, AgainMicros: 1e6}},
	}
	p.view.Store(&view{services: map[string][]roster.Upstream{"llm": {
		{Instance: "alone", Address: "alone:1", Stage: wire.Stage_STAGE_DECODE},
		{Instance: "told", Address: "told:1", Stage: wire.Stage_STAGE_DECODE},
	}}})
	return p, &exchange{
		service: &rules.Service{Name: "llm", Engine: &rules.Engine{KVTokens: testMemory, Slots: 12}},
		call:    calls.RequestInfo{PromptTokens: 6000, MaxTokens: 11000, HasTokenCount: true},
	}
}

// TestEngineWithoutAgentIsNoFavourite replays many entries that have just learned of an
// engine beside which no agent runs: while others have room they leave it alone, and else
// no more of them use it than it has room for.
func TestEngineWithoutAgentIsNoFavourite(t *testing.T) {
	const entries = 20
	for room, want := range map[int64]int{50000: 0, 0: aloneRuns} {
		n := 0
		for i := range entries {
			p, x := entryAmong(t, i, entries, room)
			if s, free, ok := p.decodeSpot(x, nil); ok && free && s.up.Instance == "alone" {
				n++
			}
		}
		if d := cmp.Diff(want, n); d != "" {
			t.Errorf("with %d tokens of room elsewhere, entries that use it (-want +got):\n%s", room, d)
		}
	}
}
