package orders_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/orders"
	"cranberrypoint.example/coord/tree"
	"github.com/google/go-cmp/cmp"
)

// engine is a fake that carries out orders. If fences is true, it refuses an order whose
// fencing token is smaller than one that it has seen.
type engine struct {
	fences bool
	newest uint64
	models map[string]bool
}

func (e *engine) execute(x orders.Order) orders.Result {
	if e.fences && x.Fence < e.newest {
		return orders.Result{Order: x, LargestFence: e.newest}
	}
	e.newest = max(e.newest, x.Fence)
	e.models[x.Model] = x.Load
	return orders.Result{Order: x, Done: true}
}

// reconcile sends orders for 20 seconds, one each second at most, and returns the time
// at the end.
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
	for _, fences := range []bool{true, false} {
		e := &engine{fences: fences, models: map[string]bool{}}
		now := time.Unix(100, 0)
		previous := orders.New(100)
		previous.SetDesired([]string{"old"})
		late, _ := previous.Next(now)
		current := orders.New(200)
		current.SetDesired([]string{"new"})
		now = reconcile(current, e, now)
		e.execute(late)
		// An engine that ignores fencing tokens carries out the late order. There, only
		// the agent's process protects: one incarnation at a time can bind the agent's
		// port, and an incarnation that was suspended has lost its connection to the
		// engine when it resumes.
		want := map[string]bool{"new": true}
		if !fences {
			want["old"] = true
		}
		if diff := cmp.Diff(want, e.models); diff != "" {
			t.Errorf("fences %t: models (-want +got):\n%s", fences, diff)
		}
		_ = now
	}
}

// TestIncarnationSmallerThanNewestFence starts an agent after its clock went back, so
// that its first token is smaller than one that the engine has seen.
func TestIncarnationSmallerThanNewestFence(t *testing.T) {
	e := &engine{fences: true, newest: 500, models: map[string]bool{}}
	r := orders.New(100)
	r.SetDesired([]string{"m"})
	reconcile(r, e, time.Unix(100, 0))
	if diff := cmp.Diff(map[string]bool{"m": true}, e.models); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}

func TestUndesiredModelIsUnloaded(t *testing.T) {
	e := &engine{fences: true, models: map[string]bool{}}
	r := orders.New(1)
	r.SetDesired([]string{"a", "b"})
	now := reconcile(r, e, time.Unix(1, 0))
	r.SetDesired([]string{"b"})
	reconcile(r, e, now)
	if diff := cmp.Diff(map[string]bool{"a": false, "b": true}, e.models); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}
