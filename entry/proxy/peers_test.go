package proxy

import (
	"encoding/json"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/digest"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// mustAdopt puts a listing into force at an entry.
func mustAdopt(t *testing.T, e *simEntry, now time.Time, l calls.Listing) {
	t.Helper()
	if err := e.adoptAt(momentAt(now), l, momentAt(now).instant); err != nil {
		t.Fatal(err)
	}
}

// TestEarlierReleaseUndoesNothing lets an entry exchange listings with one of an earlier release, which
// states no epoch. Its upstreams must not replace those of a known epoch, although its revision is
// higher; a newer configuration counts, and an entry that knows nothing takes all.
func TestEarlierReleaseUndoesNothing(t *testing.T) {
	now := time.Now()
	ours := roster.Upstream{Instance: "ours", Service: "s"}
	theirs := roster.Upstream{Instance: "theirs", Service: "s"}
	config, err := json.Marshal(mustRules(t, 9).Config())
	if err != nil {
		t.Fatal(err)
	}
	list := digest.New()
	list.Set([]roster.Upstream{theirs})
	delta, err := json.Marshal(list.DeltaSince(1))
	if err != nil {
		t.Fatal(err)
	}
	reply := &wire.ListReply{Known: true, Revision: 1000, Config: config, Delta: delta}
	for _, c := range []struct {
		name  string
		known bool
		want  []bool
	}{{"an entry with an epoch", true, []bool{true, false}}, {"an entry that starts", false, []bool{false, true}}} {
		e := newSimEntry(t)
		if c.known {
			mustAdopt(t, e, now, calls.Listing{Rules: mustRules(t, 7), Epoch: 3, RulesEpoch: 3, Revision: 20, Upstreams: []roster.Upstream{ours}})
		}
		old := e.snapshot.Load()
		q := e.listRequest(old)
		// An entry with an epoch then asks others too.
		_ = e.adoptReply(momentAt(now), q, old, reply, momentAt(now).instant)
		v := e.snapshot.Load()
		if d := cmp.Diff(c.want, []bool{v.isUsable(ours), v.isUsable(theirs)}); d != "" || v.rules.Version() != 9 {
			t.Errorf("%s: version %d, usable upstreams (-want +got):\n%s", c.name, v.rules.Version(), d)
		}
	}
}

// TestRequestOfEarlierRelease checks that a request without the new fields gets the configuration only if
// its version differs, and one with a hash also if the content does.
func TestRequestOfEarlierRelease(t *testing.T) {
	e := newSimEntry(t)
	mustAdopt(t, e, time.Now(), calls.Listing{Rules: mustRules(t, 7), Epoch: 1, RulesEpoch: 1, Revision: 20})
	for _, c := range []struct {
		q    *wire.ListRequest
		want bool
	}{
		{&wire.ListRequest{Version: 7}, false},
		{&wire.ListRequest{Version: 6}, true},
		{&wire.ListRequest{Version: 7, ConfigHash: e.snapshot.Load().configHash}, false},
		{&wire.ListRequest{Version: 7, ConfigHash: 1}, true},
	} {
		a, err := e.List(t.Context(), c.q)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.want, len(a.Config) > 0); d != "" {
			t.Errorf("%v: configuration sent (-want +got):\n%s", c.q, d)
		}
	}
}

// TestVersionsOutliveEarlierRelease checks that an entry keeps the versions of upstreams that it knows when an entry of
// an earlier release sends them without, and asks for the whole list while it lacks one.
func TestVersionsOutliveEarlierRelease(t *testing.T) {
	now := time.Now()
	known := roster.Upstream{Instance: "known", Service: "s", Address: "1", Version: "v1"}
	fresh := roster.Upstream{Instance: "new", Service: "s", Address: "2"}
	e := newSimEntry(t)
	mustAdopt(t, e, now, calls.Listing{Rules: mustRules(t, 7), Revision: 1, Upstreams: []roster.Upstream{known}})
	old := e.snapshot.Load()
	q := e.listRequest(old)
	if d := cmp.Diff(old.hash, q.Hash); d != "" || q.Hash == 0 {
		t.Errorf("hash in a request with all versions known (-want +got):\n%s", d)
	}
	list := digest.New()
	list.Set([]roster.Upstream{{Instance: "known", Service: "s", Address: "1"}, fresh})
	delta, err := json.Marshal(list.DeltaSince(1))
	if err != nil {
		t.Fatal(err)
	}
	if err := e.adoptReply(momentAt(now), q, old, &wire.ListReply{Known: true, Revision: 2, Delta: delta}, momentAt(now).instant); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]roster.Upstream{known, fresh}, e.snapshot.Load().services["s"]); d != "" {
		t.Errorf("upstreams (-want +got):\n%s", d)
	}
	old = e.snapshot.Load()
	q = e.listRequest(old)
	if d := cmp.Diff(uint64(0), q.Hash); d != "" {
		t.Errorf("hash in a request with a version missing (-want +got):\n%s", d)
	}
	fresh.Version = "v2"
	other := newSimEntry(t)
	mustAdopt(t, other, now, calls.Listing{Rules: mustRules(t, 7), Revision: 3, Upstreams: []roster.Upstream{known, fresh}})
	a, err := other.listAt(now, q)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.adoptReply(momentAt(now), q, old, a, momentAt(now).instant); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]roster.Upstream{known, fresh}, e.snapshot.Load().services["s"]); d != "" {
		t.Errorf("upstreams after a reply with all versions (-want +got):\n%s", d)
	}
}

// TestVersionsOfOldListCount checks that an entry which hasn't read a list for long still knows that its upstreams are of
// two versions.
func TestVersionsOfOldListCount(t *testing.T) {
	e := newSimEntry(t)
	mustAdopt(t, e, time.Now().Add(-time.Hour), calls.Listing{Rules: mustRules(t, 7), Revision: 1, Upstreams: []roster.Upstream{
		{Instance: "a", Service: "s", Address: "1", Version: "v1"}, {Instance: "b", Service: "s", Address: "2", Version: "v2"},
	}})
	r, err := e.FindOrigin(t.Context(), &wire.FindOriginRequest{Request: "r", Service: "s", WithinMicros: time.Second.Microseconds()})
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"v1", "v2"}, r.Seen); d != "" {
		t.Errorf("versions seen (-want +got):\n%s", d)
	}
}

// TestHearsayPrefersOthers checks that an upstream which another entry has heard leaving is used only if
// there is no other, that the word is passed on once, and that it expires.
func TestHearsayPrefersOthers(t *testing.T) {
	now := time.Now()
	e := newSimEntry(t)
	e.picker = picker.New("", 1)
	both := []roster.Upstream{{Instance: "a", Service: "s", Address: "1"}, {Instance: "b", Service: "s", Address: "2"}}
	mustAdopt(t, e, now, calls.Listing{Rules: mustRules(t, 7), Revision: 1, Upstreams: both})
	x := &exchange{service: &rules.Service{Name: "s"}}
	a, err := e.listAt(now, &wire.ListRequest{Leaving: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"a"}, a.Leaving); d != "" {
		t.Errorf("passed on to others (-want +got):\n%s", d)
	}
	for range 20 {
		if u, ok := e.pickUpstream(x, nil); !ok || u.Instance != "b" {
			t.Fatalf("picked %s, %t; want b", u.Instance, ok)
		}
	}
	if u, ok := e.pickUpstream(x, map[string]bool{"b": true}); !ok || u.Instance != "a" {
		t.Errorf("without another one picked %s, %t; want a", u.Instance, ok)
	}
	e.hear(now, []string{"b"}, false)
	if d := cmp.Diff([]string{"a"}, e.relayedNames(now)); d != "" {
		t.Errorf("passed on of what came with a reply (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]string(nil), e.relayedNames(now.Add(hearsayTime))); d != "" {
		t.Errorf("passed on later (-want +got):\n%s", d)
	}
}
