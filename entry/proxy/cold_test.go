package proxy

import (
	"context"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/upconn"
	"github.com/google/go-cmp/cmp"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

const testColdTime = 10 * time.Second

// newColdProxy returns an entry that has adopted a first list, with the upstreams "old" and "same" of a service whose upstreams are
// cold after their start, and "other" of another service.
func newColdProxy(t *testing.T) (p *Proxy, adopt func(cold map[string]time.Duration, l ...roster.Upstream)) {
	p = newTestProxy(context.Background(), t)
	p.picker = picker.New("", 1)
	var stop func()
	p.conns, stop = upconn.NewPool(func() {})
	t.Cleanup(stop)
	r, err := rules.New(rules.Config{Version: 1, Services: []rules.Service{{Name: "a", ColdTime: testColdTime, ColdRate: 2}, {Name: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	revision := uint64(0)
	adopt = func(cold map[string]time.Duration, l ...roster.Upstream) {
		t.Helper()
		revision++
		now := present()
		if err := p.adoptAt(now, calls.Listing{Rules: r, Revision: revision, Upstreams: l, Cold: cold}, now.instant); err != nil {
			t.Fatal(err)
		}
	}
	adopt(nil, upstreamOf("a", "old", 1), upstreamOf("a", "same", 1), upstreamOf("b", "other", 1))
	return p, adopt
}

func upstreamOf(service, instance string, born int64) roster.Upstream {
	return roster.Upstream{Service: service, Instance: instance, Born: born, Address: instance}
}

// coldNames returns which of some upstreams an entry holds to be cold.
func coldNames(p *Proxy) (l []string) {
	for _, n := range []string{"old", "same", "other", "new"} {
		if p.pacer.IsCold(time.Now(), n) {
			l = append(l, n)
		}
	}
	return l
}

// TestStartsAreCold checks that upstreams that start after the first list are held to be cold, those of the first list aren't, and
// that one which is listed again isn't another start.
func TestStartsAreCold(t *testing.T) {
	p, adopt := newColdProxy(t)
	if d := cmp.Diff([]string(nil), coldNames(p)); d != "" {
		t.Errorf("cold by the first list (-want +got):\n%s", d)
	}
	adopt(nil, upstreamOf("a", "old", 2), upstreamOf("b", "other", 2), upstreamOf("a", "new", 1))
	adopt(nil, upstreamOf("a", "old", 2), upstreamOf("a", "same", 1), upstreamOf("a", "new", 1))
	if d := cmp.Diff([]string{"old", "new"}, coldNames(p)); d != "" {
		t.Errorf("cold by their starts (-want +got):\n%s", d)
	}
	if p.pacer.Take(time.Now(), "new") || !p.pacer.Take(time.Now(), "same") {
		t.Error("a cold upstream has a token at an entry that has just started, or a warm one has none")
	}
}

// TestRecentStartIsColdInFirstList checks that an entry which starts after an upstream that names a recent start holds it
// to be cold.
func TestRecentStartIsColdInFirstList(t *testing.T) {
	now := time.Now()
	r, err := rules.New(rules.Config{Services: []rules.Service{{Name: "s", ColdTime: time.Second, ColdRate: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	e := newSimEntry(t)
	mustAdopt(t, e, now, calls.Listing{Rules: r, Revision: 1, Upstreams: []roster.Upstream{
		{Instance: "new", Service: "s", Address: "1", Born: now.Add(-time.Second / 2).UnixMilli()},
		{Instance: "old", Service: "s", Address: "2", Born: now.Add(-2 * time.Second).UnixMilli()},
		{Instance: "other", Service: "s", Address: "3", Born: now.Add(time.Minute).UnixMilli()},
	}})
	if d := cmp.Diff([]string{"new"}, coldNames(e.Proxy)); d != "" {
		t.Errorf("cold by the first list (-want +got):\n%s", d)
	}
}

// TestColdWordsOfUpstreams checks the other ways in which an entry learns that an upstream is cold, or warm.
func TestColdWordsOfUpstreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		report func(p *Proxy, adopt func(cold map[string]time.Duration, l ...roster.Upstream))
		want   []string
	}{
		{"registration in the first list", func(p *Proxy, adopt func(map[string]time.Duration, ...roster.Upstream)) {
			adopt(map[string]time.Duration{"old": time.Second, "other": time.Second, "unknown": time.Second}, upstreamOf("a", "old", 1), upstreamOf("b", "other", 1))
		}, []string{"old"}},
		{"answer", func(p *Proxy, _ func(map[string]time.Duration, ...roster.Upstream)) {
			p.observeUpstream(upstreamOf("a", "same", 1), calls.ResponseInfo{Cold: time.Second}, time.Now())
		}, []string{"same"}},
		{"answer of another process", func(p *Proxy, _ func(map[string]time.Duration, ...roster.Upstream)) {
			p.observeUpstream(upstreamOf("a", "same", 1), calls.ResponseInfo{Cold: time.Second, WrongInstance: true}, time.Now())
		}, nil},
		{"answers, cold and then warm", func(p *Proxy, _ func(map[string]time.Duration, ...roster.Upstream)) {
			p.observeUpstream(upstreamOf("a", "same", 1), calls.ResponseInfo{Cold: time.Second}, time.Now())
			p.observeUpstream(upstreamOf("a", "same", 1), calls.ResponseInfo{IsWarm: true}, time.Now().Add(time.Millisecond))
		}, nil},
		{"taken back", func(p *Proxy, _ func(map[string]time.Duration, ...roster.Upstream)) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.assumeCold(time.Now(), p.snapshot.Load().rules, upstreamOf("a", "old", 1), pacer.SourceReturn)
			p.assumeCold(time.Now(), p.snapshot.Load().rules, upstreamOf("b", "other", 1), pacer.SourceReturn)
		}, []string{"old"}},
		{"gone", func(p *Proxy, adopt func(map[string]time.Duration, ...roster.Upstream)) {
			p.observeUpstream(upstreamOf("a", "same", 1), calls.ResponseInfo{Cold: time.Second}, time.Now())
			adopt(nil, upstreamOf("a", "old", 1))
		}, nil},
	} {
		p, adopt := newColdProxy(t)
		c.report(p, adopt)
		if d := cmp.Diff(c.want, coldNames(p)); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}

// TestColdChangesAreLogged checks that an upstream that becomes cold, and warm, is logged once each and counted.
func TestColdChangesAreLogged(t *testing.T) {
	p, _ := newColdProxy(t)
	log, lines := logtest.NewNullLogger()
	p.log = log
	now := time.Now()
	p.observeUpstream(upstreamOf("a", "same", 1), calls.ResponseInfo{Cold: time.Second}, now)
	for _, d := range []time.Duration{0, time.Millisecond, 2 * time.Second, 3 * time.Second} {
		p.logColdChanges(now.Add(d))
	}
	var got []string
	for _, e := range lines.AllEntries() {
		got = append(got, e.Data["event"].(string)+" "+e.Data["instance"].(string))
	}
	if d := cmp.Diff([]string{"upstream-cold same", "upstream-warm same"}, got); d != "" {
		t.Errorf("log lines (-want +got):\n%s", d)
	}
	if d := cmp.Diff(1, counterSum(t, p, "cranberrypoint_proxy_cold_upstreams_total")); d != "" {
		t.Errorf("counted (-want +got):\n%s", d)
	}
}

// counterSum returns the sum of a counter over its labels.
func counterSum(t *testing.T, p *Proxy, name string) (n int) {
	l, err := p.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range l {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				n += int(m.GetCounter().GetValue())
			}
		}
	}
	return n
}
