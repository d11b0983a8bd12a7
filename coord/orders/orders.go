// Package orders is the reducer that tells an engine which models to load.
//
// What an engine should have is a pure function of the settings. The agent beside the
// engine is the only one that gives it orders. Each order carries a fencing number that
// grows over the agent's lives without a disk: it begins at the incarnation, which is the
// time of the start, and an engine that has seen a larger one tells it.
package orders

import (
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/tree"
)

// retryDelay is the time before an order that failed is given again.
const retryDelay = time.Second

// DesiredModels returns the models that the engines of a service should have, in order.
func DesiredModels(t *tree.Tree, service string) []string {
	var r []string
	for _, m := range t.Models() {
		name, _ := t.RouteOfModel(m)
		if route, ok := t.Route(name); ok && route.Service == service {
			r = append(r, m)
		}
	}
	return r
}

// Order is an effect: it tells the engine to load or unload a model.
type Order struct {
	Fence uint64
	Model string
	Load  bool
}

// Result is the engine's answer to an order.
type Result struct {
	Order Order
	// Done is true when the order was carried out.
	Done bool
	// NewestFence is the largest fencing number that the engine has seen, where it refused
	// the order as old.
	NewestFence uint64
}

// Reconciler is the state of one agent. At most one order is under way.
type Reconciler struct {
	fence    uint64
	wanted   map[string]bool
	loaded   map[string]bool
	underWay bool
	again    time.Time
}

// New returns the state of an agent's life. The incarnation grows from life to life.
func New(incarnation uint64) *Reconciler {
	return &Reconciler{fence: incarnation, wanted: map[string]bool{}, loaded: map[string]bool{}}
}

// SetDesired sets the models that the engine should have.
func (o *Reconciler) SetDesired(models []string) {
	clear(o.wanted)
	for _, m := range models {
		o.wanted[m] = true
	}
}

// Next returns the next order, if there is one to be given now.
func (o *Reconciler) Next(now time.Time) (x Order, ok bool) {
	if o.underWay || now.Before(o.again) {
		return Order{}, false
	}
	for _, m := range slices.Sorted(maps.Keys(o.wanted)) {
		if !o.loaded[m] {
			return o.give(m, true), true
		}
	}
	for _, m := range slices.Sorted(maps.Keys(o.loaded)) {
		if !o.wanted[m] {
			return o.give(m, false), true
		}
	}
	return Order{}, false
}

func (o *Reconciler) give(model string, load bool) Order {
	o.fence++
	o.underWay = true
	return Order{Fence: o.fence, Model: model, Load: load}
}

// HandleResult takes the engine's answer.
func (o *Reconciler) HandleResult(now time.Time, a Result) {
	o.underWay = false
	if !a.Done {
		o.fence = max(o.fence, a.NewestFence)
		o.again = now.Add(retryDelay)
		return
	}
	if a.Order.Load {
		o.loaded[a.Order.Model] = true
		return
	}
	delete(o.loaded, a.Order.Model)
}
