package proxy

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// boundEntry is an entry with engines in two regions and in a data centre whose region isn't known. Those at
// home have most to do.
type boundEntry struct {
	*Proxy
	x *exchange
}

func newBoundEntry(t *testing.T) *boundEntry {
	t.Helper()
	p, x := newTestEntry(t, 0, 1, 0)
	p.metrics, p.poison = newMetrics(), poison.New()
	p.SetRegions(map[string]string{"h": "home", "a": "away"})
	x.call.Key, x.r, x.path, x.route = "key", &http.Request{Host: "host"}, "/", &rules.Route{}
	return &boundEntry{p, x}
}

// adopt puts a configuration into force whose route and workspace have allowed regions.
func (e *boundEntry) adopt(t *testing.T, route, workspace []string) {
	t.Helper()
	r, err := rules.New(rules.Config{
		Services:   []rules.Service{{Name: "llm"}},
		Routes:     []rules.Route{{Host: "host", Prefix: "/", Destinations: []rules.Destination{{Service: "llm", Weight: 1}}, AllowedRegions: route}},
		Workspaces: []rules.Workspace{{Name: "w", Keys: []string{"key"}, AllowedRegions: workspace}},
	})
	if err != nil {
		t.Fatal(err)
	}
	var l []roster.Upstream
	for i, n := range []string{"a", "h", "u"} {
		for s, stage := range map[string]wire.Stage{"decode": wire.Stage_STAGE_DECODE, "prefill": wire.Stage_STAGE_PREFILL} {
			u := roster.Upstream{Instance: n + "-" + s, Address: n + "-" + s, Service: "llm", DataCentre: n, Stage: stage, Version: "v1"}
			l = append(l, u)
			e.subscriptions[u.Address] = &subscription{receivedAt: time.Now(), state: &wire.PlaceState{
				Stage: stage, Sound: true, Memory: testMemory, Slots: 12, Room: int64(testMemory / (1 + i%2)), Backlog: int64(i % 2 * 1000),
			}}
		}
	}
	e.snapshot.Store(&snapshot{rules: r, services: map[string][]roster.Upstream{"llm": l}})
}

// upstream returns an upstream by its instance.
func (e *boundEntry) upstream(instance string) (u roster.Upstream) {
	for _, o := range e.snapshot.Load().services["llm"] {
		if o.Instance == instance {
			u = o
		}
	}
	return u
}

// TestPicksStayInBounds checks that engines and their backlogs count only in the regions that route and workspace allow,
// although those elsewhere have more room and less to do.
func TestPicksStayInBounds(t *testing.T) {
	type picks struct {
		Decode, Prefill string
		Backlog         int64
	}
	for _, c := range []struct {
		name             string
		route, workspace []string
		want             picks
	}{
		{"home", []string{"home"}, nil, picks{"h-decode", "h-prefill", 1000}},
		{"both", []string{"away", "home"}, []string{"home"}, picks{"h-decode", "h-prefill", 1000}},
		{"away", nil, []string{"away"}, picks{"a-decode", "a-prefill", 0}},
		{"none", []string{"away"}, []string{"home"}, picks{}},
	} {
		e := newBoundEntry(t)
		e.adopt(t, c.route, c.workspace)
		e.refreshBounds(e.x)
		d, _, _ := e.pickDecode(e.x, nil)
		f, backlog, ok := e.pickPrefill(e.x, "v1", nil)
		if d := cmp.Diff(c.want, picks{d.upstream.Instance, f.upstream.Instance, backlog}); d != "" {
			t.Errorf("%s: picks (-want +got):\n%s", c.name, d)
		}
		if isRefused := e.checkRegions(e.x) != nil; isRefused == ok {
			t.Errorf("%s: refused %t", c.name, isRefused)
		}
		for _, o := range []roster.Upstream{e.upstream("u-decode"), e.upstream("a-decode"), e.upstream("h-decode")} {
			if err := e.checkPinned(e.x, o); (err == nil) != (o.Instance == c.want.Decode) {
				t.Errorf("%s: a send to %s: %v", c.name, o.Instance, err)
			}
		}
		e.engineStats.remotePrefill.perToken = 1
		want := time.Duration(e.x.call.PromptTokens + c.want.Backlog)
		if got := e.prefillEstimate(e.x).Remote; ok && got != want {
			t.Errorf("%s: a prefill is expected to take %s, want %s", c.name, got, want)
		}
	}
}

// TestBoundsChangeWhileWaiting puts a configuration into force while a request waits for a place at home: it leaves the
// queue there and goes elsewhere, or is refused if nothing is left. Its KV cache is dropped, and not fetched before that.
func TestBoundsChangeWhileWaiting(t *testing.T) {
	for _, c := range []struct {
		name             string
		route, workspace []string
		placedAgain      bool
		refused          bool
	}{
		{"as before", []string{"home"}, nil, false, false},
		{"lifted", nil, nil, false, false},
		{"moved", []string{"away"}, nil, true, false},
		{"none left", []string{"home"}, []string{"away"}, false, true},
		{"unknown", []string{"mars"}, nil, false, true},
	} {
		e := newBoundEntry(t)
		e.adopt(t, []string{"home"}, nil)
		e.refreshBounds(e.x)
		u := e.upstream("h-decode")
		freed := false
		e.x.kvCache = kvCache{source: "h", holder: e.upstream("h-prefill"), free: func() { freed = true }}
		e.adopt(t, c.route, c.workspace)
		err := e.checkWaiting(e.x, u)
		var refusal *fault.Error
		isRefused := errors.As(err, &refusal) && refusal.Code == fault.OutOfRegion && refusal.RetryAt.IsZero()
		if d := cmp.Diff([]bool{c.placedAgain, c.refused}, []bool{isUnavailable(err), isRefused}); d != "" {
			t.Errorf("%s: %v, placed again and refused (-want +got):\n%s", c.name, err, d)
		}
		sourceErr := e.x.checkSource(calls.UpstreamParams{KVSource: "h"})
		e.dropForeignKVCache(e.x)
		isLost := c.placedAgain || c.refused
		if d := cmp.Diff([]bool{isLost, isLost, isLost}, []bool{freed, e.x.kvCache.source == "", isUnavailable(sourceErr)}); d != "" {
			t.Errorf("%s: KV cache freed, dropped and not fetched (-want +got):\n%s", c.name, d)
		}
	}
}

// TestRegionsAreReplaced checks that the regions of data centres may become known while an entry runs.
func TestRegionsAreReplaced(t *testing.T) {
	e := newBoundEntry(t)
	e.adopt(t, []string{"north"}, nil)
	for _, c := range []struct {
		regions map[string]string
		want    bool
	}{{nil, false}, {map[string]string{"u": "north"}, true}, {map[string]string{"u": "south"}, false}} {
		e.SetRegions(c.regions)
		e.refreshBounds(e.x)
		if d := cmp.Diff(c.want, e.x.isInBounds(e.upstream("u-decode"))); d != "" {
			t.Errorf("with %v allowed (-want +got):\n%s", c.regions, d)
		}
	}
}

// TestMeshCarriesNoBodies guards the promise that entries pass no request's body on to each other or to agents: the only
// messages with room for bytes are those of a listing.
func TestMeshCarriesNoBodies(t *testing.T) {
	var got []string
	messages := wire.File_mesh_proto.Messages()
	for i := range messages.Len() {
		fields := messages.Get(i).Fields()
		for j := range fields.Len() {
			if f := fields.Get(j); f.Kind() == protoreflect.BytesKind {
				got = append(got, string(f.FullName()))
			}
		}
	}
	if d := cmp.Diff([]string{"wire.ListReply.config", "wire.ListReply.delta"}, got); d != "" {
		t.Errorf("fields of bytes (-want +got):\n%s", d)
	}
}
