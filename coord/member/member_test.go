package member

import (
	"fmt"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

const size = 13

// world runs processes over a faulty network. Those below three are seeds.
type world struct {
	net     *fake.Net
	members map[string]*Members
	born    int64
}

func name(i int) string { return fmt.Sprintf("vm-%03d", i) }

func seeds() []string { return []string{name(0), name(1), name(2)} }

func newWorld(seed uint64) *world { return newSized(seed, size) }

func newSized(seed uint64, n int) *world {
	w := &world{
		net:     fake.New(seed, fake.Faults{Loss: 0.05, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}),
		members: map[string]*Members{},
	}
	for i := range n {
		w.start(name(i))
	}
	return w
}

// start begins a life of a process. A clock that went back gives it an old incarnation.
func (w *world) start(n string) {
	w.net.Restart(n)
	w.born++
	born := w.born
	if w.net.Rand.IntN(4) == 0 {
		born -= 5
	}
	w.members[n] = New(&wire.Member{Name: n, Role: "entry", Address: n, Incarnation: born}, seeds(), w.net.Rand.Uint64())
	w.beat(n, w.net.Life(n))
}

func (w *world) beat(n string, life uint64) {
	w.net.After(GossipInterval, func() {
		if w.net.Life(n) == life {
			w.beat(n, life)
		}
		w.net.Do(n, life, func() { w.exchange(n, life) })
	})
}

func (w *world) exchange(n string, life uint64) {
	m := w.members[n]
	for _, to := range m.Heartbeat(w.net.Now()) {
		q := m.Request()
		w.net.Send(n, to, func() {
			a := w.members[to].HandleRequest(w.net.Now(), q)
			w.net.Send(to, n, func() {
				if w.net.Life(n) == life {
					m.HandleReply(w.net.Now(), a)
				}
			})
		})
	}
}

// live returns the names that a process counts as live, with its own.
func (w *world) live(n string) map[string]bool {
	l := map[string]bool{n: true}
	for _, r := range w.members[n].Live(w.net.Now(), "entry") {
		l[r.Name] = true
	}
	return l
}

func all() map[string]bool {
	l := map[string]bool{}
	for i := range size {
		l[name(i)] = true
	}
	return l
}

// TestAllFindEachOther runs restarts at the same address, freezes, one-way cuts and
// restarts of all at once; a calm time later everyone must know everyone.
func TestAllFindEachOther(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(seed)
		w.net.Run(5 * time.Second)
		for range 6 {
			w.trouble()
			w.net.Run(time.Duration(w.net.Rand.IntN(4000)) * time.Millisecond)
		}
		w.calm()
		w.net.Run(12 * time.Second)
		for i := range size {
			if d := cmp.Diff(all(), w.live(name(i))); d != "" {
				t.Errorf("seed %d: %s knows (-want +got):\n%s", seed, name(i), d)
			}
		}
	}
}

func (w *world) trouble() {
	n := name(w.net.Rand.IntN(size))
	switch w.net.Rand.IntN(4) {
	case 0:
		w.start(n)
	case 1:
		w.net.Freeze(n)
	case 2:
		w.net.Cut = func(from, _ string) bool { return from == n }
	case 3:
		for i := range size {
			w.start(name(i))
		}
	}
}

func (w *world) calm() {
	w.net.Cut = func(string, string) bool { return false }
	for i := range size {
		w.net.Thaw(name(i))
	}
}

// TestDeadAreForgotten counts a silent process as dead after the silence, and keeps its
// record for the shares of limits until it is forgotten.
func TestDeadAreForgotten(t *testing.T) {
	w := newWorld(1)
	w.net.Run(5 * time.Second)
	w.net.Freeze(name(9))
	w.net.Run(leastSilence + 3*time.Second)
	if w.live(name(4))[name(9)] {
		t.Error("a frozen process counts as live")
	}
	if d := cmp.Diff(size-1, w.members[name(4)].CountRecent("entry")); d != "" {
		t.Errorf("recent members (-want +got):\n%s", d)
	}
	w.net.Run(forgetFactor * leastSilence)
	if d := cmp.Diff(size-2, w.members[name(4)].CountRecent("entry")); d != "" {
		t.Errorf("recent members after the dead is forgotten (-want +got):\n%s", d)
	}
}

// TestStaleSeeds begins from seeds that are all gone but one.
func TestStaleSeeds(t *testing.T) {
	w := newWorld(2)
	w.net.Freeze(name(0))
	w.net.Freeze(name(1))
	w.net.Run(10 * time.Second)
	got := w.live(name(7))
	want := all()
	delete(want, name(0))
	delete(want, name(1))
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("live (-want +got):\n%s", d)
	}
}

// TestIsolationIsNoticed cuts a process off both ways: it must know soon, and the others
// must not think it of themselves.
func TestIsolationIsNoticed(t *testing.T) {
	w := newWorld(3)
	w.net.Run(5 * time.Second)
	n := name(5)
	w.net.Cut = func(from, to string) bool { return from == n || to == n }
	w.net.Run(isolation + GossipInterval)
	for i := range size {
		if d := cmp.Diff(name(i) == n, w.members[name(i)].Isolated(w.net.Now())); d != "" {
			t.Errorf("%s is isolated (-want +got):\n%s", name(i), d)
		}
	}
}

// TestLargeFleet runs more processes than a message has room for: once all know all, nobody
// may be missed, and the dead must be.
func TestLargeFleet(t *testing.T) {
	const n = 120
	w := newSized(4, n)
	w.net.Run(30 * time.Second)
	for range 5 {
		for i := range n {
			if got := len(w.live(name(i))); got < n-1 {
				t.Fatalf("%s counts %d of %d as live", name(i), got, n)
			}
		}
		w.net.Run(2 * time.Second)
	}
	w.net.Freeze(name(9))
	w.net.Run(3 * w.members[name(4)].silence())
	if w.live(name(4))[name(9)] {
		t.Error("a frozen process counts as live")
	}
}
