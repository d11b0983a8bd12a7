package proxy

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/wire"
)

// TestHeartbeatsBesideRequests guards against a deadlock. Requests that look for a place on an
// engine whose agent is silent hold the entry's lock while they wait for that of the mesh.
// The mesh calls updateSelf with its lock held, so updateSelf must not wait for the entry's.
func TestHeartbeatsBesideRequests(t *testing.T) {
	p, _ := newTestEntry(t, 0, 2, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		p.updateSelf(&wire.Member{})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("updateSelf waits for the entry's lock")
	}
}
