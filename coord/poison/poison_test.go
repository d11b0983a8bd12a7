package poison

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// step is one event: the end of an upstream under keys, or their answer if upstream is empty.
type step struct {
	seconds  float64
	upstream string
	keys     []Key
}

func tableAfter(steps ...step) *Table {
	t := New()
	for _, s := range steps {
		if s.upstream == "" {
			t.Answered(at(s.seconds), s.keys)
			continue
		}
		t.Ended(at(s.seconds), s.upstream, s.keys)
	}
	return t
}

// TestQuarantine checks which requests are quarantined, and which may be repeated, after some events.
func TestQuarantine(t *testing.T) {
	type verdict struct{ Quarantined, MayRepeat bool }
	bad, request := []Key{"bad"}, []Key{RequestKey("r")}
	three := []step{{1, "u1", bad}, {2, "u2", bad}, {3, "u3", bad}}
	for _, c := range []struct {
		name    string
		steps   []step
		seconds float64
		keys    []Key
		want    verdict
	}{
		{"nothing known", nil, 4, bad, verdict{false, true}},
		{"one end", three[:1], 4, bad, verdict{false, true}},
		{"two ends", three[:2], 4, bad, verdict{false, false}},
		{"three ends", three, 4, bad, verdict{true, false}},
		{"another request", three, 4, []Key{"good"}, verdict{false, true}},
		{"a part among others", three, 4, []Key{"good", "bad", "x"}, verdict{true, false}},
		{"three ends of one upstream", []step{{1, "u1", bad}, {2, "u1", bad}, {3, "u1", bad}}, 4, bad, verdict{false, true}},
		{"three ends at once", []step{{1, "u1", bad}, {1.05, "u2", bad}, {1.1, "u3", bad}}, 4, bad, verdict{false, true}},
		{"six ends at once", []step{{1, "u1", bad}, {1, "u2", bad}, {1, "u3", bad}, {1, "u4", bad}, {1, "u5", bad}, {1, "u6", bad}}, 4, bad, verdict{true, false}},
		{"answered before", append([]step{{0, "", bad}}, three...), 4, bad, verdict{false, true}},
		{"answered before, five ends", append([]step{{0, "", bad}, {4, "u4", bad}, {5, "u5", bad}}, three...), 6, bad, verdict{true, false}},
		{"answered between five ends", append([]step{{4, "u4", bad}, {5, "u5", bad}, {4.5, "", bad}}, three...), 6, bad, verdict{false, true}},
		{"answered since", append(three[:3:3], step{4, "", bad}), 5, bad, verdict{false, true}},
		{"answered long before", append([]step{{-120, "", bad}}, three...), 4, bad, verdict{true, false}},
		{"quarantine over", three, 3 + quarantineTime.Seconds(), bad, verdict{false, false}},
		{"one more end after it", append(three[:3:3], step{700, "u4", bad}), 701, bad, verdict{true, false}},
		{"evidence too old", three, 3 + evidenceTime.Seconds(), bad, verdict{false, true}},
		{"one request, three ends at once", []step{{1, "u1", request}, {1.05, "u2", request}, {1.1, "u3", request}}, 4, request, verdict{true, false}},
		{"one request, two ends at once", []step{{1, "u1", request}, {1, "u2", request}}, 4, request, verdict{false, false}},
		{"one request, answered before", []step{{0, "", request}, {1, "u1", request}, {2, "u2", request}, {3, "u3", request}}, 4, request, verdict{false, true}},
		{
			// Requests ran beside poison messages and share their crashes.
			"explained by another part", []step{
				{1, "u1", bad}, {1, "u1", []Key{"shared"}}, {2, "u2", bad}, {2, "u2", []Key{"shared"}},
				{3, "u3", bad}, {3, "u3", []Key{"shared"}}, {4, "u4", bad},
			}, 5, []Key{"shared"}, verdict{false, true},
		},
		{
			"the part that explains others", []step{
				{1, "u1", []Key{"bad", "shared"}}, {2, "u2", []Key{"bad", "shared"}}, {3, "u3", []Key{"bad", "shared"}}, {4, "u4", bad},
			}, 5, bad, verdict{true, false},
		},
		{
			"both in one request", []step{
				{1, "u1", []Key{"bad", "shared"}}, {2, "u2", []Key{"bad", "shared"}}, {3, "u3", []Key{"bad", "shared"}},
			}, 5, []Key{"shared", "bad"}, verdict{true, false},
		},
	} {
		x := tableAfter(c.steps...)
		_, ok := x.Check(at(c.seconds), c.keys)
		if d := cmp.Diff(c.want, verdict{ok, x.MayRepeat(at(c.seconds), c.keys)}); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}

// TestEvidenceOfSeveralProcessesAddsUp checks that each of three processes that saw one end quarantines the
// part after an exchange, and that an answer at one of them ends that at all.
func TestEvidenceOfSeveralProcessesAddsUp(t *testing.T) {
	var l []*Table
	for i := range 3 {
		l = append(l, tableAfter(step{float64(i), fmt.Sprintf("u%d", i), []Key{"bad"}}))
	}
	exchange := func(now time.Time) {
		for range 2 {
			for _, a := range l {
				for _, b := range l {
					a.Merge(now, b.All(now))
				}
			}
		}
	}
	check := func(now time.Time, want bool) {
		t.Helper()
		for i, x := range l {
			if _, ok := x.Check(now, []Key{"bad"}); ok != want {
				t.Errorf("table %d: quarantined is %t, want %t", i, ok, want)
			}
		}
	}
	exchange(at(5))
	check(at(5), true)
	l[1].Answered(at(20), []Key{"bad"})
	exchange(at(21))
	check(at(21), false)
}

// TestOldEvidenceIsExchangedOnce checks that processes which have the same evidence have the same hash, and that
// evidence which is no longer new is left out of what any other gets.
func TestOldEvidenceIsExchangedOnce(t *testing.T) {
	a := tableAfter(step{1, "u1", []Key{"bad"}}, step{2, "u2", []Key{"bad"}}, step{3, "u3", []Key{"bad"}})
	b := New()
	now := at(60)
	if n := len(a.Recent(now)); n > 0 || a.Hash(now) == b.Hash(now) {
		t.Errorf("%d parts are new, the hashes are %x and %x", n, a.Hash(now), b.Hash(now))
	}
	b.Merge(now, a.All(now))
	if d := cmp.Diff(a.Hash(now), b.Hash(now)); d != "" {
		t.Errorf("hash (-want +got):\n%s", d)
	}
	if _, ok := b.Check(now, []Key{"bad"}); !ok {
		t.Error("a process that starts later lets requests with the part pass")
	}
}

// TestMessagesAndMemoryStayBounded lets thousands of upstreams end under requests with many parts.
func TestMessagesAndMemoryStayBounded(t *testing.T) {
	x := New()
	for i := range 2000 {
		now := at(float64(i) / 10)
		x.Ended(now, fmt.Sprintf("u%d", i), []Key{"bad", Key(fmt.Sprintf("p%d", i)), Key(fmt.Sprintf("q%d", i))})
		x.Answered(now, []Key{Key(fmt.Sprintf("sound%d", i))})
	}
	now := at(200)
	if n := len(x.All(now)); n > maxReported {
		t.Errorf("%d parts in a message, want at most %d", n, maxReported)
	}
	if n := len(x.cases); n > maxCases {
		t.Errorf("evidence against %d parts, want at most %d", n, maxCases)
	}
	if _, ok := x.Check(now, []Key{"bad"}); !ok {
		t.Error("the part under which all upstreams ended was dropped")
	}
}

// TestKeysOfPartsAndRequestsDiffer checks that no part of a prompt, whose id the caller chooses, is taken for a
// request, or for another part.
func TestKeysOfPartsAndRequestsDiffer(t *testing.T) {
	seen := map[Key]string{RequestKey("f"): "the request"}
	for _, id := range []string{"f", "request:f", "part:request:f", "part:f"} {
		k := PartKey(id)
		if o, ok := seen[k]; ok || k.isRequest() {
			t.Errorf("part %q has key %q, as %q has", id, string(k), o)
		}
		seen[k] = id
	}
}

// TestFingerprint checks that a request has the same fingerprint each time, and that no other has it.
func TestFingerprint(t *testing.T) {
	type request struct{ workspace, method, host, target, body string }
	seen := map[string]request{}
	for _, q := range []request{
		{"w", "POST", "h", "/a?b=c", "body"}, {"", "POST", "h", "/a?b=c", "body"}, {"w", "PUT", "h", "/a?b=c", "body"},
		{"w", "POST", "i", "/a?b=c", "body"}, {"w", "POST", "h", "/a?b=d", "body"}, {"w", "POST", "h", "/a", "?b=cbody"},
		{"w", "POST", "h", "/a?b=c", ""}, {"wP", "OST", "h", "/a?b=c", "body"}, {"w", "POST", "h/", "a?b=c", "body"},
	} {
		f := Fingerprint(q.workspace, q.method, q.host, q.target, []byte(q.body))
		if o, ok := seen[f]; ok {
			t.Errorf("%v has the fingerprint of %v", q, o)
		}
		seen[f] = q
		if d := cmp.Diff(f, Fingerprint(q.workspace, q.method, q.host, q.target, []byte(q.body))); d != "" {
			t.Errorf("%v (-first +again):\n%s", q, d)
		}
	}
}

// TestMalformedEvidence checks that evidence from other processes that makes no sense does no harm.
func TestMalformedEvidence(t *testing.T) {
	x := New()
	x.Merge(at(0), []*wire.Suspect{{}, {Key: "a", Sound: true}, {Key: "b", Ends: []*wire.UpstreamEnd{{AgeMicros: -1 << 62}, {Upstream: "u", AgeMicros: 1 << 62}}}})
	if q, ok := x.Check(at(1), []Key{"a", "b", ""}); ok {
		t.Errorf("quarantined: %v", q)
	}
}
