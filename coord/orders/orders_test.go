package orders_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/orders"
	"cranberrypoint.example/coord/tree"
	"github.com/google/go-cmp/cmp"
)

// engine carries out orders, and refuses old ones if it fences.
type engine struct {
	fences bool
	newest uint64
	models map[string]bool
}

func (e *engine) take(x orders.Order) orders.Result {
	if e.fences && x.Fence < e.newest {
		return orders.Result{Order: x, NewestFence: e.newest}
	}
	e.newest = max(e.newest, x.Fence)
	e.models[x.Model] = x.Load
	return orders.Result{Order: x, Done: true}
}

// settle lets an agent give all its orders.
func settle(o *orders.Reconciler, e *engine, now time.Time) time.Time {
	for range 20 {
		if x, ok := o.Next(now); ok {
			o.HandleResult(now, e.take(x))
		}
		now = now.Add(time.Second)
	}
	return now
}

func TestWantedFollowsFromSettings(t *testing.T) {
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

func TestLateOrderOfAnEarlierLife(t *testing.T) {
	for _, fences := range []bool{true, false} {
		e := &engine{fences: fences, models: map[string]bool{}}
		now := time.Unix(100, 0)
		old := orders.New(100)
		old.SetDesired([]string{"old"})
		late, _ := old.Next(now)
		life := orders.New(200)
		life.SetDesired([]string{"new"})
		now = settle(life, e, now)
		e.take(late)
		// On an engine that doesn't fence, the agent's process is what protects: its port
		// is bound by one life at a time, and a life that wakes has lost its connection.
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

func TestLifeAfterTheClockWentBack(t *testing.T) {
	e := &engine{fences: true, newest: 500, models: map[string]bool{}}
	o := orders.New(100)
	o.SetDesired([]string{"m"})
	settle(o, e, time.Unix(100, 0))
	if diff := cmp.Diff(map[string]bool{"m": true}, e.models); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}

func TestModelThatIsNoLongerWantedIsUnloaded(t *testing.T) {
	e := &engine{fences: true, models: map[string]bool{}}
	o := orders.New(1)
	o.SetDesired([]string{"a", "b"})
	now := settle(o, e, time.Unix(1, 0))
	o.SetDesired([]string{"b"})
	settle(o, e, now)
	if diff := cmp.Diff(map[string]bool{"a": false, "b": true}, e.models); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}
