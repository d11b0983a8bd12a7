package pacer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// all gives a process the whole of each cold upstream's limit.
func all(_ string, perSecond float64) float64 { return perSecond }

// coldReport returns a word on an upstream that takes 2 requests a second while it is cold.
func coldReport(s Source, remaining, asOf float64) ColdReport {
	return ColdReport{Source: s, PerSecond: 2, Remaining: at(remaining).Sub(start), Ramp: 4 * time.Second, AsOf: at(asOf)}
}

// TestColdUpstreamWarms checks how often a process may send to an upstream that is cold for 3 s and takes another 4 s
// to get its whole load, in each half second.
func TestColdUpstreamWarms(t *testing.T) {
	x := New(whole, WithColdShare(all))
	if !x.ObserveCold(at(0), "u", coldReport(SourceRegistration, 3, 0)) {
		t.Error("the upstream wasn't cold before")
	}
	var got []int
	for i := range 8000 {
		now := at(float64(i) / 1000)
		if i%500 == 0 {
			got = append(got, 0)
		}
		if x.Take(now, "u") {
			got[len(got)-1]++
		}
	}
	want := []int{0, 1, 1, 1, 1, 1, 2, 2, 4, 4, 8, 8, 16, 16, 500, 500}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("requests in each half second (-want +got):\n%s", d)
	}
}

// TestBothLimitsBind checks that a request needs a token from both limits and takes none if one has none, and that a request that
// the upstream didn't get gives its token back.
func TestBothLimitsBind(t *testing.T) {
	x := New(whole, WithColdShare(all))
	x.Observe(at(0), at(0), "u", 4)
	x.ObserveCold(at(0), "u", coldReport(SourceStart, 5, 0))
	got := []bool{x.Take(at(0.25), "u"), x.Take(at(0.5), "u"), x.Take(at(0.5), "u")}
	x.Return(at(0.5), "u")
	got = append(got, x.Take(at(0.5), "u"))
	if d := cmp.Diff([]bool{false, true, false, true}, got); d != "" {
		t.Errorf("tokens (-want +got):\n%s", d)
	}
	if d := cmp.Diff(at(1), x.Next(at(0.5), "u")); d != "" {
		t.Errorf("next request (-want +got):\n%s", d)
	}
	x.Forget("u")
	if !x.Take(at(0.5), "u") {
		t.Error("the limit outlives its upstream")
	}
}

// TestWordsOnColdTime checks which words count: longer ones always, shorter ones only of the upstream itself and
// only if they are surely later.
func TestWordsOnColdTime(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second ColdReport
		// seconds is when the second word comes, and until when the upstream is warm.
		seconds, until float64
	}{
		{"a longer registration", coldReport(SourceRegistration, 2, 0), coldReport(SourceRegistration, 5, 0), 1, 6},
		{"a longer answer", coldReport(SourceRegistration, 2, 0), coldReport(SourceAnswer, 5, 0), 1, 6},
		{"a longer word of others", coldReport(SourceStart, 2, 0), coldReport(SourceGossip, 3, 0), 1, 4},
		{"a late copy of a word", coldReport(SourceStart, 2, 0), coldReport(SourceGossip, 1.5, 0), 1, 2},
		{"a shorter answer to a later request", coldReport(SourceRegistration, 9, 0), coldReport(SourceAnswer, 1, 0.5), 1, 2},
		{"a shorter answer to an earlier request", coldReport(SourceRegistration, 9, 0), coldReport(SourceAnswer, 1, -0.5), 1, 9},
		{"warm by an answer", coldReport(SourceAnswer, 9, 0), coldReport(SourceAnswer, 0, 0.5), 1, 1},
		{"a shorter registration at once", coldReport(SourceStart, 9, 0), coldReport(SourceRegistration, 1, 0.5), 1, 9},
		{"a shorter registration later", coldReport(SourceReturn, 9, 0), coldReport(SourceRegistration, 1, 2.5), 3, 4},
		{"a registration against an answer", coldReport(SourceAnswer, 9, 0), coldReport(SourceRegistration, 1, 2.5), 3, 9},
		{"a shorter word of others", coldReport(SourceAnswer, 9, 0), coldReport(SourceGossip, 1, 5), 6, 9},
		{"an assumption", coldReport(SourceAnswer, 9, 0), coldReport(SourceReturn, 1, 5), 6, 9},
		{"no limit", coldReport(SourceAnswer, 2, 0), ColdReport{Source: SourceAnswer, Remaining: time.Hour}, 1, 2},
		{"warm twice", coldReport(SourceAnswer, 1, 0), coldReport(SourceRegistration, 0, 2), 2, 1},
	} {
		x := New(whole)
		x.ObserveCold(at(0), "u", c.first)
		x.ObserveCold(at(c.seconds), "u", c.second)
		if d := cmp.Diff(at(c.until), x.cold["u"].until); d != "" {
			t.Errorf("%s: warm at (-want +got):\n%s", c.name, d)
		}
	}
}

// TestColdUpstreamsArePassedOn checks that copies of a word don't keep an upstream cold, and that senseless ones are
// dropped.
func TestColdUpstreamsArePassedOn(t *testing.T) {
	a, b := New(NoShare), New(NoShare)
	a.ObserveCold(at(0), "u", coldReport(SourceStart, 3, 0))
	for i := range 200 {
		now, late := at(float64(i)/20), at(float64(i)/20+0.3)
		b.MergeCold(late, a.ReportCold(now))
		a.MergeCold(late, b.ReportCold(now))
		if i == 5 && !b.IsCold(late, "u") {
			t.Error("a cold upstream wasn't passed on")
		}
		if i > 70 && (a.IsCold(now, "u") || b.IsCold(now, "u")) {
			t.Fatalf("after %d ms an upstream is still cold", i*50)
		}
	}
	isNews := b.MergeCold(at(20), []*wire.ColdUpstream{
		{Instance: "", PerSecond: 1, RemainingMicros: 5e6}, {Instance: "v", PerSecond: -1, RemainingMicros: 5e6}, {Instance: "v", PerSecond: math.NaN(), RemainingMicros: 5e6},
		{Instance: "v", PerSecond: math.Inf(1), RemainingMicros: 5e6}, {Instance: "v", PerSecond: 1, RemainingMicros: -5}, {Instance: "v", PerSecond: 1, RemainingMicros: 1 << 60},
	})
	if isNews || len(b.cold) > 0 {
		t.Errorf("%d upstreams are cold by senseless words", len(b.cold))
	}
	for i := range 2 * maxCold {
		b.ObserveCold(at(20), fmt.Sprint(i), coldReport(SourceStart, 3, 20))
	}
	if d := cmp.Diff([]int{maxCold, maxReportedCold}, []int{len(b.cold), len(b.ReportCold(at(20)))}); d != "" {
		t.Errorf("kept and reported (-want +got):\n%s", d)
	}
}

// TestColdChanges checks that an upstream that becomes cold, warm and cold again shows each once.
func TestColdChanges(t *testing.T) {
	x := New(whole, WithColdShare(all))
	var got []bool
	for i := range 100 {
		now := at(float64(i) / 10)
		if i == 0 || i == 40 {
			x.ObserveCold(now, "u", coldReport(SourceAnswer, 2, 4))
		}
		for _, c := range x.ColdChanges(now) {
			got = append(got, c.IsCold)
		}
	}
	if d := cmp.Diff([]bool{true, false, true, false}, got); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
}

// TestFewHoldBuckets checks how many of 40 processes may send to a cold upstream, and what all of them may.
func TestFewHoldBuckets(t *testing.T) {
	var known []string
	for i := range 40 {
		known = append(known, fmt.Sprint(i))
	}
	type result struct {
		Holders int
		Sum     float64
	}
	for _, c := range []struct {
		bound     Bound
		perSecond float64
		want      result
	}{
		{Bound{1.5, 5}, 2, result{4, 2}},
		{Bound{1.5, 5}, 78, result{35, 78}},
		{Bound{1.5, 5}, 200, result{40, 200}},
		{Bound{1, 0}, 10, result{1, 9}},
		{Bound{1, 0}, 0.5, result{0, 0}},
	} {
		var got result
		for _, n := range known {
			if s := c.bound.Share("u", c.perSecond, n, known); s > 0 {
				got.Holders++
				got.Sum += s
			}
		}
		got.Sum = math.Round(1000*got.Sum) / 1000
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%+v of %g (-want +got):\n%s", c.bound, c.perSecond, d)
		}
	}
}
