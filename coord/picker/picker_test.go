package picker

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/roster"
	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// upstreams returns upstreams in the data centre "home".
func upstreams(names ...string) (l []roster.Upstream) {
	for _, n := range names {
		l = append(l, roster.Upstream{Instance: n, DataCentre: "home", Slots: 6})
	}
	return l
}

// pickCounts returns how often each upstream is picked in n calls, each of which succeeds
// before the next.
func pickCounts(p *Picker, now time.Time, l []roster.Upstream, n int) map[string]int {
	c := map[string]int{}
	for range n {
		u, _ := p.Pick(now, l, Job{})
		c[u.Instance]++
		p.CallStarted(u.Instance, Job{})
		p.CallEnded(now, u.Instance, Job{}, Succeeded, nil)
	}
	return c
}

// TestReportedLoadCounts checks that an upstream which other entries keep busy is avoided, as
// long as its reported load is recent.
func TestReportedLoadCounts(t *testing.T) {
	p := New("home", 1)
	l := upstreams("busy", "free")
	p.CallStarted("busy", Job{})
	p.CallEnded(epoch, "busy", Job{}, Succeeded, &calls.Load{Running: 6, Waiting: 8, Slots: 6})
	if d := cmp.Diff(map[string]int{"free": 20}, pickCounts(p, epoch, l, 20)); d != "" {
		t.Errorf("picks (-want +got):\n%s", d)
	}
	if c := pickCounts(p, epoch.Add(loadMaxAge), l, 100); c["busy"] == 0 {
		t.Error("a load of age loadMaxAge still counts")
	}
}

// TestUnresponsiveUpstreamIsEjected checks that an upstream is ejected after two calls in a
// row without an answer, for a time that doubles, and that an answer resets the count.
func TestUnresponsiveUpstreamIsEjected(t *testing.T) {
	p := New("home", 1)
	l := upstreams("unresponsive", "healthy")
	noAnswer := func(now time.Time) {
		p.CallStarted("unresponsive", Job{})
		p.CallEnded(now, "unresponsive", Job{}, NoAnswer, nil)
	}
	noAnswer(epoch)
	if p.Ejected(epoch, "unresponsive") {
		t.Error("ejected after one call without an answer")
	}
	noAnswer(epoch)
	if !p.Ejected(epoch, "unresponsive") || p.Ejected(epoch.Add(baseEjection), "unresponsive") {
		t.Error("the first ejection doesn't last for baseEjection")
	}
	noAnswer(epoch.Add(baseEjection))
	if !p.Ejected(epoch.Add(2*baseEjection), "unresponsive") {
		t.Error("the second ejection isn't longer than the first")
	}
	if d := cmp.Diff(map[string]int{"healthy": 20}, pickCounts(p, epoch.Add(baseEjection), l, 20)); d != "" {
		t.Errorf("picks (-want +got):\n%s", d)
	}
	back := epoch.Add(time.Minute)
	p.CallStarted("unresponsive", Job{})
	p.CallEnded(back, "unresponsive", Job{}, Succeeded, nil)
	noAnswer(back)
	if p.Ejected(back, "unresponsive") {
		t.Error("an answer doesn't reset the count of calls without one")
	}
}

// TestFailingUpstreamGetsLess checks that an upstream which fails half of its calls, although
// its health check is good, gets few calls while its peers are free.
func TestFailingUpstreamGetsLess(t *testing.T) {
	p := New("home", 1)
	l := upstreams("failing", "healthy")
	for i := range 40 {
		p.CallStarted("failing", Job{})
		p.CallEnded(epoch, "failing", Job{}, []Result{Succeeded, Failed}[i%2], nil)
	}
	if c := pickCounts(p, epoch, l, 100); c["failing"] > 10 {
		t.Errorf("a failing upstream got %d of 100 calls", c["failing"])
	}
}

// TestPicksWhenAllAreEjected checks that Pick returns a candidate although all are ejected, and
// false if there are no candidates.
func TestPicksWhenAllAreEjected(t *testing.T) {
	p := New("home", 1)
	l := upstreams("a", "b")
	for _, n := range []string{"a", "b", "b", "a"} {
		p.CallStarted(n, Job{})
		p.CallEnded(epoch, n, Job{}, NoAnswer, nil)
	}
	if _, ok := p.Pick(epoch, l, Job{}); !ok {
		t.Error("no upstream is picked")
	}
	if _, ok := p.Pick(epoch, nil, Job{}); ok {
		t.Error("an upstream is picked out of none")
	}
}

// TestReplacedIsEjectedAtOnce checks that an upstream is ejected after one answer of another
// process at its address.
func TestReplacedIsEjectedAtOnce(t *testing.T) {
	p := New("home", 1)
	p.CallStarted("a", Job{})
	p.CallEnded(epoch, "a", Job{}, Replaced, nil)
	if !p.Ejected(epoch, "a") {
		t.Error("not ejected after another process answered at its address")
	}
}

// TestUnreachableIsEjectedAtOnce checks that an upstream is ejected for baseEjection after
// one failed connection.
func TestUnreachableIsEjectedAtOnce(t *testing.T) {
	p := New("home", 1)
	p.CallStarted("a", Job{})
	p.CallEnded(epoch, "a", Job{}, Unreachable, nil)
	if !p.Ejected(epoch, "a") || p.Ejected(epoch.Add(baseEjection), "a") {
		t.Error("not ejected for baseEjection after a failed connection")
	}
}
