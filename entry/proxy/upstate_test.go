package proxy

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/roster"
	"github.com/sirupsen/logrus"
)

// newObserver returns an entry that hears from the upstream "u".
func newObserver() (*Proxy, roster.Upstream) {
	p := &Proxy{
		log: logrus.New(), metrics: newMetrics(), pauses: pause.New(), loggedLimits: map[string]float64{},
		pacer: pacer.New(pacer.NoShare),
	}
	return p, roster.Upstream{Instance: "u", Born: 1}
}

// TestRestartEndsLimit checks that a process which starts again under the same id isn't held to the limit
// that its last one named, and that the answer of another process at its address advertises none for it.
func TestRestartEndsLimit(t *testing.T) {
	p, u := newObserver()
	now := time.Now()
	p.observeUpstream(u, calls.ResponseInfo{Limit: 3, WrongInstance: true}, now)
	if p.pacer.IsLimited(now, u.Instance) {
		t.Error("limited by the answer of another process")
	}
	p.observeUpstream(u, calls.ResponseInfo{Limit: 3}, now)
	if !p.pacer.IsLimited(now, u.Instance) {
		t.Error("not limited by its own answer")
	}
	again := u
	again.Born++
	p.handleRosterChange(roster.Change{Before: &u, After: &again})
	if p.pacer.IsLimited(now, u.Instance) {
		t.Error("the limit outlives the process that named it")
	}
}

// TestRestartEndsPause checks that a process which starts again under the same id may be sent to, although
// its last one had asked for a pause, and that the answer of another process at its address asks for none.
func TestRestartEndsPause(t *testing.T) {
	p, u := newObserver()
	p.observeUpstream(u, calls.ResponseInfo{Pause: time.Minute, WrongInstance: true}, time.Now())
	if p.isPaused(u.Instance) {
		t.Error("paused by the answer of another process")
	}
	p.observeUpstream(u, calls.ResponseInfo{Pause: time.Minute}, time.Now())
	if !p.isPaused(u.Instance) {
		t.Error("not paused by its own answer")
	}
	again := u
	again.Born++
	p.handleRosterChange(roster.Change{Before: &u, After: &again})
	if p.isPaused(u.Instance) {
		t.Error("the pause outlives the process that asked for it")
	}
}
