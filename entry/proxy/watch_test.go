package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/digest"
	"cranberrypoint.example/coord/evac"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// fakeEntry is an entry that serves a configuration of a given version and age.
type fakeEntry struct {
	wire.DRPCMeshUnimplementedServer
	t       *testing.T
	version uint64
	age     time.Duration
}

func (r *fakeEntry) List(context.Context, *wire.ListRequest) (*wire.ListReply, error) {
	c, err := json.Marshal(rules.Config{Version: r.version})
	if err != nil {
		return nil, err
	}
	d, err := json.Marshal(digest.Delta{})
	return &wire.ListReply{Known: true, Evacuations: &wire.Evacuations{}, AgeMicros: r.age.Microseconds(), Revision: r.version, Config: c, Delta: d}, err
}

// serve starts the fake entry and returns its address.
func (r *fakeEntry) serve(ctx context.Context) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	go func() { _ = link.ServeMesh(ctx, l, nil, r) }()
	return l.Addr().String()
}

type failingStore struct{}

var errFailingStore = errors.New("no store")

func (failingStore) List(context.Context) (calls.Listing, error) {
	return calls.Listing{}, errFailingStore
}
func (failingStore) Ping(context.Context) error { return errFailingStore }

// newTestProxy returns an entry that isn't a store reader and knows the entries at some addresses.
func newTestProxy(ctx context.Context, t *testing.T, addresses ...string) *Proxy {
	log, _ := logtest.NewNullLogger()
	links, stop := link.NewPool(nil, link.WithPing(mesh.Ping))
	t.Cleanup(stop)
	p := &Proxy{
		settings:     Settings{VM: "z", Store: failingStore{}, ConfigMaxAge: 5 * time.Second},
		log:          log.WithFields(logrus.Fields{}),
		metrics:      newMetrics(),
		links:        links,
		ctx:          ctx,
		roster:       roster.New(),
		upstreams:    digest.New(),
		pauses:       pause.New(),
		pacer:        pacer.New(nil),
		poison:       poison.New(),
		origins:      origin.NewTable(),
		versions:     origin.NewHistory(),
		evac:         evac.New(),
		streams:      map[*exchange]liveStream{},
		returnedAt:   map[string]time.Time{},
		sendsTo:      map[string]int{},
		leaving:      map[string]time.Time{},
		starts:       map[string]int64{},
		heardLeaving: map[string]hearsay{},
		signals:      newDrainSignals(),
		engineStats:  newEngineStats(),
		mesh:         mesh.New(&wire.Member{Name: "z", Role: mesh.RoleEntry}, nil, links, log),
	}
	for i, a := range addresses {
		m := &wire.Member{Name: string(rune('a' + i)), Role: mesh.RoleEntry, Address: a, Incarnation: 1, Beat: 1}
		if _, err := p.mesh.Gossip(ctx, &wire.GossipRequest{Self: m}); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// TestPartitionedEntryDoesNotDelayUpdate guards against an update that is held up by a store reader
// that was cut off from the store and still answers with old data. One refresh must find the newer
// version of another reader.
func TestPartitionedEntryDoesNotDelayUpdate(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	old := &fakeEntry{t: t, version: 7, age: 1500 * time.Millisecond}
	fresh := &fakeEntry{t: t, version: 9, age: 100 * time.Millisecond}
	for range 8 {
		p := newTestProxy(ctx, t, old.serve(ctx), fresh.serve(ctx))
		now := clock.Now()
		before := calls.Listing{Rules: mustRules(t, 7), Revision: 7}
		if err := p.adopt(before, now.Add(-time.Second)); err != nil {
			t.Fatal(err)
		}
		if err := p.refreshSnapshot(); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(uint64(9), p.snapshot.Load().rules.Version()); d != "" {
			t.Fatalf("version in force (-want +got):\n%s", d)
		}
	}
}

// slowStore answers late, with a newer configuration.
type slowStore struct{ listing calls.Listing }

func (s slowStore) List(context.Context) (calls.Listing, error) {
	time.Sleep(slowStoreTime)
	return s.listing, nil
}

func (slowStore) Ping(context.Context) error { return nil }

const slowStoreTime = 300 * time.Millisecond

// serveSilence accepts connections and never answers.
func serveSilence(t *testing.T) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// TestSilentReadersDoNotDelayUpdate guards against a change that is late because an entry whose configuration is old asks silent
// store readers one after the other before it reads the store.
func TestSilentReadersDoNotDelayUpdate(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newTestProxy(ctx, t, serveSilence(t), serveSilence(t))
	p.settings.Store = slowStore{listing: calls.Listing{Rules: mustRules(t, 9), Revision: 9}}
	now := clock.Now()
	if err := p.adopt(calls.Listing{Rules: mustRules(t, 7), Revision: 7}, now.Add(-1500*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if err := p.refreshSnapshot(); err != nil {
		t.Fatal(err)
	}
	took := clock.Now().Sub(now)
	if d := cmp.Diff(uint64(9), p.snapshot.Load().rules.Version()); d != "" {
		t.Errorf("version in force (-want +got):\n%s", d)
	}
	if took > slowStoreTime+entryTimeout/2 {
		t.Errorf("the change was in force after %s, want about %s", took, slowStoreTime)
	}
}

func mustRules(t *testing.T, version uint64) *rules.Rules {
	r, err := rules.New(rules.Config{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestOlderListingIsIgnored adopts listings that are older by revision or version after a
// newer one. One of a later revision is newer, whatever its age: an entry that was asked rounds it up. The instant from which
// the configuration is known to be in force never goes back.
func TestOlderListingIsIgnored(t *testing.T) {
	p := newTestProxy(context.Background(), t)
	now := clock.Now()
	steps := []struct {
		version, revision uint64
		readAt            clock.Instant
		want              uint64
	}{
		{5, 10, now, 5},
		{7, 12, now.Add(time.Second), 7},
		{5, 11, now.Add(2 * time.Second), 7},
		{9, 13, now, 9},
		{5, 14, now.Add(3 * time.Second), 9},
		{9, 12, now.Add(4 * time.Second), 9},
		{10, 15, now.Add(4 * time.Second), 10},
	}
	var knownAt clock.Instant
	for _, s := range steps {
		if err := p.adopt(calls.Listing{Rules: mustRules(t, s.version), Revision: s.revision}, s.readAt); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(s.want, p.snapshot.Load().rules.Version()); d != "" {
			t.Errorf("after %+v (-want +got):\n%s", s, d)
		}
		if at := p.snapshot.Load().readAt; at < knownAt {
			t.Errorf("after %+v it is known to be in force since %v, before %v", s, at, knownAt)
		} else {
			knownAt = at
		}
	}
}

// TestConfigMaxAge checks isFresh against the maximum age less the margin; 0 means no limit.
func TestConfigMaxAge(t *testing.T) {
	v := &snapshot{readAt: clock.Now().Add(-2 * time.Second)}
	got := []bool{v.isFresh(5 * time.Second), v.isFresh(2*time.Second + configAgeMargin/2), v.isFresh(0)}
	if d := cmp.Diff([]bool{true, false, true}, got); d != "" {
		t.Errorf("isFresh (-want +got):\n%s", d)
	}
}

// TestOldConfigDeniesNoRoute guards against 404 for a route that was added: an entry that may have missed a change must let the
// caller come back.
func TestOldConfigDeniesNoRoute(t *testing.T) {
	p := newTestProxy(t.Context(), t)
	p.settings.ConfigApplyTime = 3 * time.Second
	got := map[time.Duration]fault.Code{}
	for _, age := range []time.Duration{time.Second, 2900 * time.Millisecond, 3100 * time.Millisecond, time.Minute} {
		x := &exchange{r: httptest.NewRequest("GET", "http://h/x", nil), path: "/x"}
		v := &snapshot{rules: mustRules(t, 1), readAt: clock.Now().Add(-age)}
		p.snapshot.Store(v)
		e := p.resolve(x, v)
		if f := p.checkStillAllowed(x); f.Code != e.Code || (e.Code == fault.NotReady) == e.RetryAt.IsZero() {
			t.Errorf("age %s: %v at admission, %v before the send", age, e, f)
		}
		got[age] = e.Code
	}
	want := map[time.Duration]fault.Code{
		time.Second: fault.NoRoute, 2900 * time.Millisecond: fault.NoRoute, 3100 * time.Millisecond: fault.NotReady, time.Minute: fault.NotReady,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("answers by age (-want +got):\n%s", d)
	}
}
