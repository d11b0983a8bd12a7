package proxy

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

const (
	testMemory = 90000
	// agentlessRuns is the number of the test's typical runs that fit into the part of
	// testMemory that is handed out without an agent.
	agentlessRuns = 5
)

// newTestEntry returns the i-th of n entries that know each other and two decode engines: "told",
// whose agent reports the given room, and "alone", which has no agent.
func newTestEntry(t *testing.T, i, n int, room int64) (*Proxy, *exchange) {
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
	p := &Proxy{settings: Settings{VM: name(i)}, mesh: m, pauses: pause.New(), pacer: pacer.New(nil), picker: picker.New("", 1), engineStats: newEngineStats()}
	p.subscriptions = map[string]*subscription{
		"told:1": {receivedAt: time.Now(), state: &wire.PlaceState{Stage: wire.Stage_STAGE_DECODE, Sound: true, Room: room, Memory: testMemory, Slots: 12, AgainMicros: 1e6}},
	}
	p.snapshot.Store(&snapshot{services: map[string][]roster.Upstream{"llm": {
		{Instance: "alone", Address: "alone:1", Stage: wire.Stage_STAGE_DECODE},
		{Instance: "told", Address: "told:1", Stage: wire.Stage_STAGE_DECODE},
	}}})
	return p, &exchange{
		service: &rules.Service{Name: "llm", Engine: &rules.Engine{KVTokens: testMemory, Slots: 12}},
		call:    calls.RequestInfo{PromptTokens: 6000, MaxTokens: 11000, HasTokenCount: true},
	}
}

// TestEngineWithoutAgentIsNotOverloaded guards against many entries that all send to an engine
// without an agent as soon as they learn of it. They must not use it while others have room, and
// otherwise no more of them may use it than it has room for.
func TestEngineWithoutAgentIsNotOverloaded(t *testing.T) {
	const entries = 20
	for room, want := range map[int64]int{50000: 0, 0: agentlessRuns} {
		n := 0
		for i := range entries {
			p, x := newTestEntry(t, i, entries, room)
			if c, hasRoom, ok := p.pickDecode(x, nil); ok && hasRoom && c.upstream.Instance == "alone" {
				n++
			}
		}
		if d := cmp.Diff(want, n); d != "" {
			t.Errorf("with %d tokens of room elsewhere, entries that use it (-want +got):\n%s", room, d)
		}
	}
}

// TestPrefillStaysWithinVersion checks the order of prefill engines: those of the decode engine's version first, among
// equals the one with less to do, and those that are said to leave last. The backlog is that of the engine.
func TestPrefillStaysWithinVersion(t *testing.T) {
	p, x := newTestEntry(t, 0, 1, 0)
	var l []roster.Upstream
	for n, e := range map[string]struct {
		version string
		backlog int64
		leaving bool
	}{
		"busy": {"v1", 5000, false}, "idle": {"v1", 3000, false}, "other": {"v2", 100, false}, "leaves": {"v1", 0, true}, "other-leaves": {"v2", 0, true},
	} {
		l = append(l, roster.Upstream{Instance: n, Address: n, Stage: wire.Stage_STAGE_PREFILL, Version: e.version})
		p.subscriptions[n] = &subscription{receivedAt: time.Now(), state: &wire.PlaceState{Stage: wire.Stage_STAGE_PREFILL, Sound: true, Backlog: e.backlog, Leaving: e.leaving}}
	}
	p.snapshot.Store(&snapshot{services: map[string][]roster.Upstream{"llm": l}})
	type pick struct {
		Instance string
		Backlog  int64
	}
	for version, want := range map[string][]pick{
		"v1": {{"idle", 3000}, {"busy", 5000}, {"other", 100}, {"leaves", 0}, {"other-leaves", 0}},
		"v2": {{"other", 100}, {"idle", 3000}, {"busy", 5000}, {"other-leaves", 0}, {"leaves", 0}},
		"":   {{"other", 100}, {"idle", 3000}, {"busy", 5000}},
	} {
		tried := map[string]bool{}
		var got []pick
		for range want {
			c, n, _ := p.pickPrefill(x, version, tried)
			got = append(got, pick{c.upstream.Instance, n})
			tried[c.upstream.Instance] = true
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("decode engine of version %q (-want +got):\n%s", version, d)
		}
	}
}
