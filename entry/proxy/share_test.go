package proxy

import (
	"context"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
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

// TestPlainRequestsWaitForSlots lets an upstream refuse a request, several times, while another one is in flight. It then waits until
// that one is answered; a caller who leaves frees its place in the queue, and a request that can't be answered in time is
// refused at once, with a time to return.
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
	for !e.limiter("app").IsLimited() {
		if f := e.awaitSlot(refused); f != nil {
			t.Fatalf("after few refusals: %v", f)
		}
		e.endSlot(refused, false, errNoRoom, 0)
	}
	left := newSharedCall(t, e, "unlimited", time.Second)
	ctx, cancel := context.WithCancel(left.ctx)
	left.ctx = ctx
	cancel()
	if f := e.awaitSlot(left); f == nil || e.limiter("app").Waiting() > 0 {
		t.Errorf("caller who left: %v", f)
	}
	done := make(chan *fault.Error)
	go func() { done <- e.awaitSlot(refused) }()
	e.endSlot(running, true, nil, time.Second)
	if f := <-done; f != nil {
		t.Errorf("refused request: %v", f)
	}
	if f := e.awaitSlot(newSharedCall(t, e, "large", time.Second)); f != nil {
		t.Errorf("other request: %v", f)
	}
	brief := newSharedCall(t, e, "large", time.Second)
	brief.deadline = time.Now().Add(100 * time.Millisecond)
	if f := e.awaitSlot(brief); f == nil || !f.RetryAt.After(brief.deadline) {
		t.Errorf("request that can't be answered in time: %v", f)
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
	if d := cmp.Diff(0, e.limiter("app").InFlight()); d != "" {
		t.Errorf("in flight (-want +got):\n%s", d)
	}
}
