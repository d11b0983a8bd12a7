package proxy

import (
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// keyedRules returns rules of a version with one route, which needs a key, and the keys of some workspaces.
func keyedRules(t *testing.T, version uint64, workspaces map[string]string) *rules.Rules {
	t.Helper()
	c := rules.Config{
		Version: version, Services: []rules.Service{{Name: "s"}},
		Routes: []rules.Route{{Name: "r", Host: "h", Prefix: "/", Kind: rules.Idempotent, Destinations: []rules.Destination{{Service: "s", Weight: 1}}}},
	}
	for key, w := range workspaces {
		c.Workspaces = append(c.Workspaces, rules.Workspace{Name: w, Keys: []string{key}})
	}
	r, err := rules.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestOutdatedConfigServesNothingWhileStoreAnswers guards against requests that are handled by a replaced version at an entry
// that lags although the store answers: it refuses them from the time on at which a change must be in force. While the store
// doesn't answer and there is no other entry, it goes on until keys can no longer be proved.
func TestOutdatedConfigServesNothingWhileStoreAnswers(t *testing.T) {
	const second = time.Second
	p := newTestProxy(t.Context(), t)
	p.settings.ConfigApplyTime, p.settings.ConfigMaxAge = 3*second, 5*second
	r := keyedRules(t, 1, map[string]string{"k": "w"})
	for _, c := range []struct {
		age, sinceStoreCall time.Duration
		key                 string
		want                fault.Code
	}{
		{second, second, "k", ""}, {2900 * time.Millisecond, second, "k", ""},
		{3100 * time.Millisecond, second, "k", fault.NotReady}, {3100 * time.Millisecond, 4 * second, "k", ""},
		{4700 * time.Millisecond, 6 * second, "k", fault.NotReady},
		{second, second, "other", fault.BadKey}, {3100 * time.Millisecond, 4 * second, "other", fault.NotReady},
	} {
		x := &exchange{r: httptest.NewRequest("GET", "http://h/x", nil), path: "/x", call: calls.RequestInfo{Key: c.key}}
		p.lastStoreCall.Store(int64(clock.Now().Add(-c.sinceStoreCall)))
		v := &snapshot{rules: r, readAt: clock.Now().Add(-c.age), evacuationsReadAt: clock.Now()}
		p.snapshot.Store(v)
		var got fault.Code
		if e := p.resolve(x, v); e != nil {
			got = e.Code
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("configuration %s old, store called %s ago, key %s (-want +got):\n%s", c.age, c.sinceStoreCall, c.key, d)
		}
		if isReady := c.age < p.settings.ConfigApplyTime && c.sinceStoreCall < p.settings.ConfigMaxAge/2; p.Status().Ready != isReady {
			t.Errorf("configuration %s old, store called %s ago: ready %t, want %t", c.age, c.sinceStoreCall, !isReady, isReady)
		}
	}
}

// TestMovedKeyIsNotDenied guards against 401, after which callers don't come back, for a key that a change has given to another
// workspace while the request waited.
func TestMovedKeyIsNotDenied(t *testing.T) {
	p := newTestProxy(t.Context(), t)
	before := &snapshot{rules: keyedRules(t, 1, map[string]string{"k": "w"}), readAt: clock.Now()}
	for _, c := range []struct {
		workspaces map[string]string
		want       fault.Code
	}{
		{map[string]string{"k": "other"}, fault.NotReady}, {map[string]string{"other": "w"}, fault.BadKey},
	} {
		x := &exchange{r: httptest.NewRequest("GET", "http://h/x", nil), path: "/x", call: calls.RequestInfo{Key: "k"}}
		if e := p.resolve(x, before); e != nil {
			t.Fatal(e)
		}
		p.snapshot.Store(&snapshot{rules: keyedRules(t, 2, c.workspaces), readAt: clock.Now()})
		e := p.checkStillAllowed(x)
		if e == nil {
			t.Fatalf("%v: still allowed", c.workspaces)
		}
		if d := cmp.Diff(c.want, e.Code); d != "" {
			t.Errorf("keys are now %v (-want +got):\n%s", c.workspaces, d)
		}
	}
}

// TestOverloadedEntryServesNothingByOldConfig guards against requests that are handled by a replaced version at an entry that gets
// no answer in time from the store or from other entries, since its own link or processor is full. An old configuration is
// used only while others say that theirs is old too, or there are no others.
func TestOverloadedEntryServesNothingByOldConfig(t *testing.T) {
	r := keyedRules(t, 1, map[string]string{"k": "w"})
	const apply = 3 * time.Second
	for _, c := range []struct {
		name          string
		peers         []string
		sinceOldReply time.Duration
		want          bool
	}{
		{"others say that their data is old", []string{"127.0.0.1:1"}, time.Second, false},
		{"others are silent", []string{"127.0.0.1:1"}, apply + time.Second, true},
		{"there are no others", nil, apply + time.Second, false},
	} {
		p := newTestProxy(t.Context(), t, c.peers...)
		p.settings.ConfigApplyTime = apply
		now := present()
		v := &snapshot{rules: r, readAt: now.instant.Add(-apply - 100*time.Millisecond), evacuationsReadAt: now.instant}
		p.snapshot.Store(v)
		p.lastStoreCall.Store(int64(now.instant.Add(-2 * apply)))
		old := moment{now.time.Add(-c.sinceOldReply), now.instant.Add(-c.sinceOldReply)}
		q := p.listRequest(v)
		_ = p.adoptReply(old, q, v, &wire.ListReply{Known: true, AgeMicros: apply.Microseconds()}, old.instant.Add(-apply))
		if got := p.lagsBehind(v); got != c.want {
			t.Errorf("%s: lags %t, want %t", c.name, got, c.want)
		}
	}
}
