package picker

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/roster"
	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func upstreams(names ...string) (l []roster.Upstream) {
	for _, n := range names {
		l = append(l, roster.Upstream{Instance: n, DataCentre: "home", Slots: 6})
	}
	return l
}

// counts picks n times, each call ending well at once.
func counts(p *Picker, now time.Time, l []roster.Upstream, n int) map[string]int {
	c := map[string]int{}
	for range n {
		u, _ := p.Pick(now, l)
		c[u.Instance]++
		p.CallStarted(u.Instance)
		p.CallEnded(now, u.Instance, Succeeded, nil)
	}
	return c
}

// TestLoadOfAllEntriesCounts replays an upstream that others keep busy.
func TestLoadOfAllEntriesCounts(t *testing.T) {
	p := New("home", 1)
	l := upstreams("busy", "free")
	p.CallStarted("busy")
	p.CallEnded(epoch, "busy", Succeeded, &calls.Load{Running: 6, Waiting: 8, Slots: 6})
	if d := cmp.Diff(map[string]int{"free": 20}, counts(p, epoch, l, 20)); d != "" {
		t.Errorf("picks (-want +got):\n%s", d)
	}
	if c := counts(p, epoch.Add(fresh), l, 100); c["busy"] == 0 {
		t.Error("an old load still counts")
	}
}

// TestSilentUpstreamIsLeftOut replays an upstream that loses calls, for a time that doubles.
func TestSilentUpstreamIsLeftOut(t *testing.T) {
	p := New("home", 1)
	l := upstreams("silent", "sound")
	lose := func(now time.Time) {
		p.CallStarted("silent")
		p.CallEnded(now, "silent", NoAnswer, nil)
	}
	lose(epoch)
	if p.Ejected(epoch, "silent") {
		t.Error("one lost call is enough to be left out")
	}
	lose(epoch)
	if !p.Ejected(epoch, "silent") || p.Ejected(epoch.Add(firstBan), "silent") {
		t.Error("the first time out is wrong")
	}
	lose(epoch.Add(firstBan))
	if !p.Ejected(epoch.Add(2*firstBan), "silent") {
		t.Error("the time out doesn't grow")
	}
	if d := cmp.Diff(map[string]int{"sound": 20}, counts(p, epoch.Add(firstBan), l, 20)); d != "" {
		t.Errorf("picks (-want +got):\n%s", d)
	}
	back := epoch.Add(time.Minute)
	p.CallStarted("silent")
	p.CallEnded(back, "silent", Succeeded, nil)
	lose(back)
	if p.Ejected(back, "silent") {
		t.Error("an answer isn't forgiving")
	}
}

// TestFailingUpstreamGetsLess replays a runner whose health is good and that fails half of
// its calls: it gets few of them while its peers are free.
func TestFailingUpstreamGetsLess(t *testing.T) {
	p := New("home", 1)
	l := upstreams("grey", "sound")
	for i := range 40 {
		p.CallStarted("grey")
		p.CallEnded(epoch, "grey", []Result{Succeeded, Failed}[i%2], nil)
	}
	if c := counts(p, epoch, l, 100); c["grey"] > 10 {
		t.Errorf("a failing upstream got %d of 100 calls", c["grey"])
	}
}

// TestOneIsTakenWhenAllAreOut guesses instead of refusing.
func TestOneIsTakenWhenAllAreOut(t *testing.T) {
	p := New("home", 1)
	l := upstreams("a", "b")
	for _, n := range []string{"a", "b", "b", "a"} {
		p.CallStarted(n)
		p.CallEnded(epoch, n, NoAnswer, nil)
	}
	if _, ok := p.Pick(epoch, l); !ok {
		t.Error("no upstream is picked")
	}
	if _, ok := p.Pick(epoch, nil); ok {
		t.Error("an upstream is picked out of none")
	}
}

func TestGoneIsLeftOutAtOnce(t *testing.T) {
	p := New("home", 1)
	p.CallStarted("a")
	p.CallEnded(epoch, "a", Replaced, nil)
	if !p.Ejected(epoch, "a") {
		t.Error("an upstream at whose address another answered is picked")
	}
}

func TestUnreachedIsLeftOutAtOnce(t *testing.T) {
	p := New("home", 1)
	p.CallStarted("a")
	p.CallEnded(epoch, "a", Unreachable, nil)
	if !p.Ejected(epoch, "a") || p.Ejected(epoch.Add(firstBan), "a") {
		t.Error("an upstream that refuses connections isn't left out for a short time")
	}
}
