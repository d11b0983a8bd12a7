package pacer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// whole gives a process the whole of each limit.
func whole(string, float64) float64 { return 1 }

// TestBucketFollowsLimit checks when a process may send under a limit of 2 requests a second, and that it
// is free again once the limit ends.
func TestBucketFollowsLimit(t *testing.T) {
	x := New(whole)
	if !x.Take(at(0), "u") {
		t.Error("no token without a limit")
	}
	x.Observe(at(1), at(0.9), "u", 2)
	x.Observe(at(1.1), at(0.8), "u", 0)
	x.Observe(at(1.2), at(1.1), "u", 0)
	type result struct {
		Taken bool
		Next  time.Time
	}
	for _, c := range []struct {
		seconds float64
		want    result
	}{
		{1.2, result{false, at(1.5)}},
		{1.5, result{true, at(2)}},
		{1.6, result{false, at(2)}},
		{5, result{true, at(5.5)}},
		{5.25, result{false, at(5.5)}},
	} {
		got := result{Taken: x.Take(at(c.seconds), "u"), Next: x.Next(at(c.seconds), "u")}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("after %g s (-want +got):\n%s", c.seconds, d)
		}
	}
	x.Observe(at(6), at(5.9), "u", 0)
	for range 2 {
		if !x.Take(at(6), "u") {
			t.Error("no token after the limit has ended")
		}
	}
}

// TestAdvertisementLapses checks that an upstream that nobody hears from any more is used again, also by a process
// that has no share.
func TestAdvertisementLapses(t *testing.T) {
	x := New(NoShare)
	x.Observe(at(0), at(0), "u", 2)
	if d := cmp.Diff(at(0).Add(advertTTL), x.Next(at(3), "u")); d != "" {
		t.Errorf("next request (-want +got):\n%s", d)
	}
	if x.Take(at(3), "u") || !x.Take(at(0).Add(advertTTL), "u") {
		t.Error("the limit holds too short or too long")
	}
	x.Observe(at(20), at(20), "u", 2)
	x.Forget("u")
	if !x.Take(at(20), "u") {
		t.Error("the limit outlives its upstream")
	}
}

// TestAdvertisementsArePassedOn checks that the newest advertisement of an upstream wins at all processes, that copies of it
// don't renew it, and that senseless ones are dropped.
func TestAdvertisementsArePassedOn(t *testing.T) {
	a, b := New(NoShare), New(NoShare)
	a.Observe(at(0), at(0), "u", 2)
	for i := range 200 {
		now := at(float64(i) / 10)
		b.Merge(now.Add(time.Millisecond), a.Report(now))
		a.Merge(now.Add(2*time.Millisecond), b.Report(now.Add(time.Millisecond)))
		if i == 5 && !b.IsLimited(now.Add(time.Millisecond), "u") {
			t.Error("the limit was not passed on")
		}
	}
	if a.IsLimited(at(21), "u") || b.IsLimited(at(21), "u") {
		t.Error("two processes keep an old advertisement alive")
	}
	a.Observe(at(30), at(30), "u", 2)
	b.Merge(at(31), a.Report(at(31)))
	a.Observe(at(32), at(31.5), "u", 0)
	b.Merge(at(33), a.Report(at(33)))
	if b.IsLimited(at(33), "u") {
		t.Error("the end of the limit was not passed on")
	}
	b.Merge(at(33), []*wire.AdvertisedLimit{{Instance: "", PerSecond: 1}, {Instance: "v", PerSecond: -1}, {Instance: "w", PerSecond: math.NaN()}, {Instance: "x", PerSecond: 1, AgeMicros: -5}, {Instance: "y", PerSecond: 1, AgeMicros: 1 << 60}})
	for _, i := range []string{"", "v", "w", "x", "y"} {
		if b.IsLimited(at(33), i) {
			t.Errorf("%q is limited by a senseless advertisement", i)
		}
	}
	for i := range 2 * maxLimits {
		b.Observe(at(34), at(34), fmt.Sprint(i), 1)
	}
	if n := len(b.adverts); n > maxLimits {
		t.Errorf("%d limits are kept, want at most %d", n, maxLimits)
	}
	if n := len(b.Report(at(34))); n > maxReported {
		t.Errorf("%d limits are reported, want at most %d", n, maxReported)
	}
}

// process is one that sends as much as it may in TestSharesKeepLimit.
type process struct {
	name  string
	table *Table
	// missing holds the processes that it doesn't count as live, but still as known.
	missing map[string]bool
}

// TestSharesKeepLimit replays an overloaded upstream that all processes of a fleet press to the utmost: idle
// for a while, then all at once, with views of the members that differ. Over each 4 s the upstream must get no
// more than one and a half times its limit and 5 requests, and, where the limit is shared out whole, at least
// eight tenths of the limit in the long run.
func TestSharesKeepLimit(t *testing.T) {
	const window = 4 * time.Second
	for seed := range uint64(fake.Checks(10)) {
		r := rand.New(rand.NewPCG(seed, seed))
		n := 1 + r.IntN(40)
		limit := 0.25 + 12*r.Float64()*r.Float64()
		sent := sendAll(r, n, limit)
		allowed := int(1.5*limit*window.Seconds()) + 5
		first := 0
		for i, s := range sent {
			for s.Sub(sent[first]) > window {
				first++
			}
			if k := i - first + 1; k > allowed {
				t.Fatalf("seed %d: %d processes sent %d requests within %s under a limit of %.2f a second, want at most %d", seed, n, k, window, limit, allowed)
			}
		}
		if least := int(0.8 * limit * 60); len(sent) < least {
			t.Errorf("seed %d: %d processes sent %d requests in a minute under a limit of %.2f a second, want %d or more", seed, n, len(sent), limit, least)
		}
	}
}

// sendAll lets n processes send for a minute as much as they may, and returns when they did.
func sendAll(r *rand.Rand, n int, limit float64) (sent []time.Time) {
	var l []*process
	for i := range n {
		l = append(l, &process{name: fmt.Sprint("p", i), missing: map[string]bool{}})
	}
	for _, p := range l {
		if r.IntN(4) == 0 && n > 4 {
			p.missing[l[r.IntN(n)].name] = true
		}
		p.table = New(func(instance string, perSecond float64) float64 {
			live := []string{p.name}
			for _, o := range l {
				if o != p && !p.missing[o.name] {
					live = append(live, o.name)
				}
			}
			return EqualShare(instance, perSecond, p.name, live, n)
		})
	}
	idle := time.Duration(r.IntN(5)) * time.Second
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		for _, i := range r.Perm(n) {
			l[i].table.Observe(now, now, "u", limit)
			if !now.Before(start.Add(idle)) && l[i].table.Take(now, "u") {
				sent = append(sent, now)
			}
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}
