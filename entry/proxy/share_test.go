package proxy

import (
	"context"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
)

// newSharedEntry returns an entry with workspaces that have bought different rates.
func newSharedEntry(t *testing.T) *simEntry {
	t.Helper()
	r, err := rules.New(rules.Config{
		Services: []rules.Service{{Name: "app"}},
		Workspaces: []rules.Workspace{
			{Name: "small", Keys: []string{"small"}, Rate: 500}, {Name: "large", Keys: []string{"large"}, Rate: 1500},
			{Name: "unlimited", Keys: []string{"unlimited"}}, {Name: "counted", Keys: []string{"counted"}, Rate: 10, CountsRequests: true},
		},
		Routes: []rules.Route{{Name: "calls", Host: "a", Prefix: "/", Destinations: []rules.Destination{{Service: "app", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	e := newSimEntry(t)
	e.metrics = newMetrics()
	mustAdopt(t, e, time.Now(), calls.Listing{Rules: r})
	return e
}

// newSharedCall returns a plain request of a workspace with two seconds left.
func newSharedCall(t *testing.T, e *simEntry, workspace string, targetLatency time.Duration) *exchange {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	r := e.snapshot.Load().rules
	return &exchange{
		ctx: ctx, arrived: time.Now(), deadline: time.Now().Add(2 * time.Second), workspace: r.Workspace(workspace),
		route: &rules.Route{TargetLatency: targetLatency}, service: r.Service("app"),
	}
}

// TestSharesFollowRates checks the weights that managers are told.
func TestSharesFollowRates(t *testing.T) {
	e := newSharedEntry(t)
	got := map[string]int64{}
	for _, w := range []string{"small", "large", "unlimited", "counted", ""} {
		got[w] = e.shareWeight(newSharedCall(t, e, w, 0))
	}
	if d := cmp.Diff(map[string]int64{"small": 50, "large": 150, "unlimited": 100, "counted": 100, "": 100}, got); d != "" {
		t.Errorf("weights (-want +got):\n%s", d)
	}
	q := e.withShare(newSharedCall(t, e, "large", 0), &wire.HoldRequest{Request: "r"})
	if d := cmp.Diff(&wire.HoldRequest{Request: "r", Workspace: "large", Weight: 150}, q, protocmp.Transform()); d != "" {
		t.Errorf("request for a place (-want +got):\n%s", d)
	}
}

// TestPlainRequestsWaitForSlots lets an upstream refuse requests of one workspace while another request is in flight.
// They then wait; the first of another workspace goes before the second of the first as slots come free, one that can't be
// answered within its target is refused in time for its caller to return, and a caller who leaves frees its place.
func TestPlainRequestsWaitForSlots(t *testing.T) {
	e := newSharedEntry(t)
	running := newSharedCall(t, e, "small", time.Second)
	refused := newSharedCall(t, e, "small", time.Second)
	for _, x := range []*exchange{running, refused} {
		if f := e.awaitSlot(x); f != nil {
			t.Fatalf("without refusals: %v", f)
		}
	}
	e.endSlot(refused, false, errNoRoom, 0)
	done := make(chan string, 8)
	wait := func(name string, x *exchange) {
		before := e.waitingForSlots()
		go func() {
			if f := e.awaitSlot(x); f != nil {
				name += " refused"
			}
			done <- name
		}()
		for e.waitingForSlots() == before {
			time.Sleep(time.Millisecond)
		}
	}
	left := newSharedCall(t, e, "unlimited", time.Second)
	ctx, cancel := context.WithCancel(left.ctx)
	left.ctx = ctx
	wait("left", left)
	cancel()
	if d := cmp.Diff("left refused", <-done); d != "" {
		t.Errorf("caller who left (-want +got):\n%s", d)
	}
	wait("first", refused)
	second := newSharedCall(t, e, "small", time.Second)
	wait("second", second)
	wait("other", newSharedCall(t, e, "large", time.Second))
	brief := newSharedCall(t, e, "large", 20*time.Millisecond)
	if f := e.awaitSlot(brief); f == nil || time.Since(brief.arrived) > 500*time.Millisecond || time.Until(f.RetryAt) < plainRetryAfter/2 {
		t.Errorf("request that can't be answered in time: %v after %s", f, time.Since(brief.arrived))
	}
	// The answer raises the limit, so two may go.
	e.endSlot(running, true, nil, time.Millisecond)
	got := []string{<-done, <-done}
	slices.Sort(got)
	e.endSlot(refused, true, nil, time.Millisecond)
	got = append(got, <-done)
	if d := cmp.Diff([]string{"first", "other", "second"}, got); d != "" {
		t.Errorf("requests that went with each answer (-want +got):\n%s", d)
	}
}

// TestAbortedAnswerEndsItsSlot checks that a send whose answer is aborted by a panic, as broken-off ones are, doesn't count as
// in flight for ever.
func TestAbortedAnswerEndsItsSlot(t *testing.T) {
	e := newSharedEntry(t)
	x := newSharedCall(t, e, "small", time.Second)
	if f := e.awaitSlot(x); f != nil {
		t.Fatal(f)
	}
	x.route = nil
	func() {
		defer func() {
			if recover() == nil {
				t.Error("no panic")
			}
		}()
		_, _ = e.tryInSlot(x, roster.Upstream{Instance: "u"})
	}()
	if d := cmp.Diff(0, e.gate("app").InFlight()); d != "" {
		t.Errorf("in flight (-want +got):\n%s", d)
	}
}

// waitingForSlots returns the number of requests that wait.
func (e *simEntry) waitingForSlots() int {
	e.shares.mu.Lock()
	defer e.shares.mu.Unlock()
	return e.gate("app").Waiting()
}
