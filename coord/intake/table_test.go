package intake

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// testLimits hold ten idle connections, or a few requests.
var testLimits = Limits{MemoryBytes: 1 << 20, Conns: 10}

// start is when the tests' tables begin.
var start = time.Unix(1000, 0)

// openAll opens connections with the IDs 1 to n.
func openAll(t *testing.T, b *Table, now time.Time, n int) {
	t.Helper()
	for i := range n {
		if v, ok := b.Open(now, ID(i+1), false); !ok || len(v) > 0 {
			t.Fatalf("connection %d: ok %t, victims %v", i+1, ok, v)
		}
	}
}

// TestStalledConnectionGoesFirst opens as many connections as there may be. Of those, one has stopped within a body, one is
// receiving, one is silent and one was served. For a newcomer they must go in this order: silent, stalled, receiving; the
// one that was served only if nothing else is left and it is asked for.
func TestStalledConnectionGoesFirst(t *testing.T) {
	b := NewTable(Limits{MemoryBytes: 1 << 20, Conns: 4})
	openAll(t, b, start, 4)
	const stopped, arriving, quiet, idle = 1, 2, 3, 4
	b.SetPhase(start, stopped, PhaseBody)
	b.SetServed(idle)
	now := start.Add(keptTime)
	b.SetPhase(now, arriving, PhaseBody)
	var got []ID
	for i := range 3 {
		v, ok := b.Open(now, ID(10+i), false)
		if !ok {
			t.Fatalf("newcomer %d has no room", i)
		}
		b.SetPhase(now, ID(10+i), PhaseRunning)
		got = append(got, v...)
	}
	if d := cmp.Diff([]ID{stopped, quiet, arriving}, got); d != "" {
		t.Errorf("connections given up (-want +got):\n%s", d)
	}
	if v, ok := b.Open(now, 20, false); ok {
		t.Errorf("%v were given up although only a connection that was served and running ones are left", v)
	}
	v, ok := b.Open(now, 20, true)
	if d := cmp.Diff([]ID{idle}, v); d != "" || !ok {
		t.Errorf("ok %t, last one given up (-want +got):\n%s", ok, d)
	}
}

// TestSmallRequestsHaveRoom fills the memory with large bodies that are arriving. A further large one must be refused, and a
// small one taken.
func TestSmallRequestsHaveRoom(t *testing.T) {
	b := NewTable(testLimits)
	openAll(t, b, start, 8)
	taken := 0
	for i := range ID(7) {
		b.SetPhase(start, i+1, PhaseBody)
		if _, ok := b.Grow(start, i+1, 200<<10); ok {
			taken++
		}
	}
	if d := cmp.Diff(2, taken); d != "" {
		t.Errorf("large bodies (-want +got):\n%s", d)
	}
	if v, ok := b.Grow(start, 8, 10<<10); !ok || len(v) > 0 {
		t.Errorf("a small request: ok %t, victims %v", ok, v)
	}
}

// TestStalledBodyGivesWay lets one of the bodies stop that fill the memory, and one bring too little. Another large one must then get
// their room, but not that of one that goes on.
func TestStalledBodyGivesWay(t *testing.T) {
	b := NewTable(testLimits)
	const size = 200 << 10
	openAll(t, b, start, 4)
	for i := range ID(3) {
		b.SetPhase(start, i+1, PhaseBody)
		if _, ok := b.Grow(start, i+1, size); !ok {
			t.Fatalf("body %d has no room", i+1)
		}
	}
	b.SetPhase(start, 4, PhaseBody)
	if _, ok := b.Grow(start.Add(stallTime-1), 4, 2*size); ok {
		t.Error("a body got room before any other had stopped")
	}
	now := start.Add(stallTime)
	b.Move(now, 2, minProgressBytes)
	b.Move(now, 3, size/progressDivisor)
	v, ok := b.Grow(now, 4, 2*size)
	if d := cmp.Diff([]ID{1, 2}, v); d != "" || !ok {
		t.Errorf("ok %t, given up (-want +got):\n%s", ok, d)
	}
}

// TestArrivingBodyIsNoMisuse lets bytes wait unread on a connection whose body is arriving and on one whose request runs. For a
// newcomer the second one must go, and the first one only by itself. What was counted must be counted again until it is read.
func TestArrivingBodyIsNoMisuse(t *testing.T) {
	b := NewTable(Limits{MemoryBytes: 1 << 20, Conns: 2})
	openAll(t, b, start, 2)
	b.SetPhase(start, 1, PhaseBody)
	b.SetPhase(start, 2, PhaseRunning)
	for i := range ID(2) {
		b.SetUnread(i+1, 2*maxUnreadBytes)
	}
	v, ok := b.Open(start, 3, false)
	if d := cmp.Diff([]ID{2}, v); d != "" || !ok {
		t.Errorf("ok %t, given up (-want +got):\n%s", ok, d)
	}
	before := b.NeedsCheck(0)
	b.SetUnread(1, 0)
	if d := cmp.Diff([]bool{true, false}, []bool{before, b.NeedsCheck(0)}); d != "" {
		t.Errorf("needs a check before and after it was read (-want +got):\n%s", d)
	}
}

// TestMisuseIsHeldAgainstOwner gives connections up whose answers aren't taken. While there is little room, requests of its
// owner must be refused, and those of others not; later they must be taken again.
func TestMisuseIsHeldAgainstOwner(t *testing.T) {
	b := NewTable(testLimits)
	openAll(t, b, start, 10)
	for i := range ID(10) {
		b.SetPhase(start, i+1, PhaseRunning)
		if !b.SetOwner(start, i+1, "eve") {
			t.Fatalf("request %d was refused", i+1)
		}
		b.SetBlocked(i+1, start)
	}
	now := start.Add(slowTime)
	var got []bool
	for i := range ID(minMisuses) {
		if v, ok := b.Open(now, 11+i, false); !ok || len(v) != 1 {
			t.Fatalf("ok %t, victims %v", ok, v)
		}
		b.SetPhase(now, 11+i, PhaseRunning)
		got = append(got, b.SetOwner(now, 11+i, "eve"))
	}
	got = append(got, b.SetOwner(now, 11, "ada"), b.SetOwner(now.Add(misuseTime), 11, "eve"))
	if d := cmp.Diff([]bool{true, true, true, false, true, true}, got); d != "" {
		t.Errorf("requests of eve after each connection, of ada, and of eve later are taken (-want +got):\n%s", d)
	}
}

// TestSumsHold applies random steps. The sums must be those of the connections that are left, and never exceed the limits.
func TestSumsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewTable(testLimits)
		now := start
		last := ID(0)
		id := func() ID { return ID(rapid.Uint64Range(1, uint64(last)+1).Draw(r, "id")) }
		size := func() int64 { return rapid.Int64Range(0, 1<<19).Draw(r, "size") }
		r.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				last++
				b.Open(now, last, rapid.Bool().Draw(r, "anyway"))
			},
			"close": func(*rapid.T) { b.Close(id()) },
			"grow":  func(*rapid.T) { b.Grow(now, id(), size()) },
			"phase": func(*rapid.T) { b.SetPhase(now, id(), Phase(rapid.IntRange(0, int(PhaseRefused)).Draw(r, "phase"))) },
			"move":  func(*rapid.T) { b.Move(now, id(), size()) },
			"serve": func(*rapid.T) { b.SetServed(id()) },
			"unread": func(*rapid.T) {
				b.SetUnread(id(), size())
				b.Trim(now)
			},
			"block": func(*rapid.T) { b.SetBlocked(id(), now) },
			"owner": func(*rapid.T) { b.SetOwner(now, id(), rapid.SampledFrom([]string{"ada", "eve"}).Draw(r, "owner")) },
			"wait":  func(*rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(r, "ms")) * time.Millisecond) },
			"": func(r *rapid.T) {
				open, total, unread := 0, int64(0), int64(0)
				for _, a := range b.accounts {
					if !a.evicted {
						open++
						total += a.cost()
						unread += a.unread
					}
				}
				if d := cmp.Diff([]int64{int64(open), total, unread}, []int64{int64(b.open), b.total, b.unread}); d != "" {
					r.Fatalf("connections, bytes and unread ones (-want +got):\n%s", d)
				}
				// What has arrived can't be refused any more.
				if open > testLimits.Conns || total-unread > testLimits.MemoryBytes {
					r.Fatalf("%d connections and %d bytes exceed %v", open, total, testLimits)
				}
			},
		})
	})
}

// TestLimitsLeaveRoom checks the limits for VMs of the sizes that are in use: a body of the largest usual size must fit some times
// over, and hundreds of connections.
func TestLimitsLeaveRoom(t *testing.T) {
	const body = 4 << 20
	for _, c := range []struct {
		memoryMB int64
		files    int
	}{{112, 4100}, {120, 2870}, {134, 4100}, {536, 8192}, {0, 0}} {
		l := LimitsFor(c.memoryMB<<20, c.files)
		if n := l.largeBytes() / body; n < 8 || l.Conns < 800 || l.UpstreamConns < 1000 {
			t.Errorf("%d MB and %d descriptors: room for %d bodies, %d connections, %d to upstreams", c.memoryMB, c.files, n, l.Conns, l.UpstreamConns)
		}
		if l.MemoryBytes > c.memoryMB<<19 && c.memoryMB > 0 {
			t.Errorf("%d MB: callers may hold more than half, %d bytes", c.memoryMB, l.MemoryBytes)
		}
	}
}
