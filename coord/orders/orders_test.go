package orders_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/orders"
	"cranberrypoint.example/coord/tree"
	"github.com/google/go-cmp/cmp"
)

// engine is a fake that carries out orders. If checksTokens is true, it refuses an order
// whose fencing token is smaller than one that it has seen.
type engine struct {
	checksTokens bool
	largestToken uint64
	// loaded holds the models that orders have named: true if the last order for the model
	// loaded it, false if it unloaded it.
	loaded map[string]bool
}

func (e *engine) execute(x orders.Order) orders.Result {
	if e.checksTokens && x.Fence < e.largestToken {
		return orders.Result{Order: x, LargestFence: e.largestToken}
	}
	e.largestToken = max(e.largestToken, x.Fence)
	e.loaded[x.Model] = x.Load
	return orders.Result{Order: x, Done: true}
}

// reconcile advances a simulated clock from now by 20 seconds, in steps of one second. At
// each step it executes the next order, if there is one. It returns the time at the end.
func reconcile(r *orders.Reconciler, e *engine, now time.Time) time.Time {
	for range 20 {
		if x, ok := r.Next(now); ok {
			r.HandleResult(now, e.execute(x))
		}
		now = now.Add(time.Second)
	}
	return now
}

func TestDesiredModels(t *testing.T) {
	s, err := tree.FromDoc(1, []byte(`
services: {gen: {kind: generate}, other: {kind: generate}}
routes:
  a: {service: gen, model: m1}
  b: {service: other, model: m2}
  c: {service: gen, model: m3}
`))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"m1", "m3"}, orders.DesiredModels(s, "gen")); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}

// TestLateOrderOfEarlierIncarnation delivers an order of the agent's previous
// incarnation after the current one has loaded its models. An engine that checks fencing
// tokens must refuse it.
func TestLateOrderOfEarlierIncarnation(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		e := &engine{checksTokens: checksTokens, loaded: map[string]bool{}}
		now := time.Unix(100, 0)
		previous := orders.New(100)
		previous.SetDesired([]string{"old"})
		late, _ := previous.Next(now)
		current := orders.New(200)
		current.SetDesired([]string{"new"})
		now = reconcile(current, e, now)
		e.execute(late)
		// An engine that ignores fencing tokens carries out the late order. For such
		// engines, only the operating system prevents late orders, which this test doesn't
		// simulate: one incarnation at a time can bind the agent's port, and an incarnation
		// that was suspended has lost its connection to the engine when it resumes.
		want := map[string]bool{"new": true}
		if !checksTokens {
			want["old"] = true
		}
		if diff := cmp.Diff(want, e.loaded); diff != "" {
			t.Errorf("engine checks fencing tokens: %t: models (-want +got):\n%s", checksTokens, diff)
		}
		_ = now
	}
}

// TestIncarnationSmallerThanLargestFence starts an agent after its clock went back, so
// that its first token is smaller than one that the engine has seen.
func TestIncarnationSmallerThanLargestFence(t *testing.T) {
	e := &engine{checksTokens: true, largestToken: 500, loaded: map[string]bool{}}
	r := orders.New(100)
	r.SetDesired([]string{"m"})
	reconcile(r, e, time.Unix(100, 0))
	if diff := cmp.Diff(map[string]bool{"m": true}, e.loaded); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}

func TestUndesiredModelIsUnloaded(t *testing.T) {
	e := &engine{checksTokens: true, loaded: map[string]bool{}}
	r := orders.New(1)
	r.SetDesired([]string{"a", "b"})
	now := reconcile(r, e, time.Unix(1, 0))
	r.SetDesired([]string{"b"})
	reconcile(r, e, now)
	if diff := cmp.Diff(map[string]bool{"a": false, "b": true}, e.loaded); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}
