// Package orders reconciles the models that an engine has loaded with those that the
// settings ask for.
//
// An engine is a model server, and an agent is the process beside it that alone sends it
// orders. An order loads or unloads one model. The desired models depend only on the
// settings (a tree.Tree), so the agent stores nothing on disk: after a restart it computes
// them again.
//
// Each order carries a fencing token, a number that lets an engine refuse an order that an
// earlier incarnation of the agent sent. An incarnation is one run of the agent's process;
// its number is the time of its start, in nanoseconds since 1970. Its first token is one
// larger than this number, and each further token is one larger than the one before, so
// tokens also grow from one incarnation to the next. If the clock went back between two
// starts, the engine may refuse the first order: its refusal carries the largest token that
// the engine has seen, and the agent's next token is one larger than that.
package orders

import (
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/tree"
)

// retryDelay is the time after a failed order before the next order is sent.
const retryDelay = time.Second

// DesiredModels returns the models that the engines of a service should have loaded,
// sorted by the name of the model. These are the models whose route leads to the service.
func DesiredModels(t *tree.Tree, service string) []string {
	var r []string
	for _, m := range t.Models() {
		routeName, _ := t.RouteOfModel(m)
		if route, ok := t.Route(routeName); ok && route.Service == service {
			r = append(r, m)
		}
	}
	return r
}

// Order tells the engine to load a model, or to unload it where Load is false.
type Order struct {
	// Fence is the fencing token of the order.
	Fence uint64
	Model string
	Load  bool
}

// Result is the outcome of an order.
type Result struct {
	Order Order
	// Done is true when the engine carried out the order.
	Done bool
	// LargestFence is the largest fencing token that the engine has seen, if the engine
	// refused the order as outdated; otherwise 0.
	LargestFence uint64
}

// Reconciler holds the desired and the loaded models of one engine, and decides on the
// next order. At most one order is in flight. It is not safe for concurrent use.
type Reconciler struct {
	lastFence uint64
	desired   map[string]bool
	loaded    map[string]bool
	inFlight  bool
	retryAt   time.Time
}

// New returns the reconciler of an agent that has just started. The incarnation should be
// larger than at the agent's previous start. If it is not, the engine may refuse the first
// order, and HandleResult continues from the token in the refusal.
func New(incarnation uint64) *Reconciler {
	return &Reconciler{lastFence: incarnation, desired: map[string]bool{}, loaded: map[string]bool{}}
}

// SetDesired sets the models that the engine should have loaded.
func (r *Reconciler) SetDesired(models []string) {
	clear(r.desired)
	for _, m := range models {
		r.desired[m] = true
	}
}

// Next returns the next order to send; ok is false if there is none at this time. The
// caller must pass the outcome of the order to HandleResult, also if the order failed.
// Models are loaded before others are unloaded.
func (r *Reconciler) Next(now time.Time) (o Order, ok bool) {
	if r.inFlight || now.Before(r.retryAt) {
		return Order{}, false
	}
	for _, m := range slices.Sorted(maps.Keys(r.desired)) {
		if !r.loaded[m] {
			return r.newOrder(m, true), true
		}
	}
	for _, m := range slices.Sorted(maps.Keys(r.loaded)) {
		if !r.desired[m] {
			return r.newOrder(m, false), true
		}
	}
	return Order{}, false
}

// newOrder returns an order with the next fencing token and marks it as in flight.
func (r *Reconciler) newOrder(model string, load bool) Order {
	r.lastFence++
	r.inFlight = true
	return Order{Fence: r.lastFence, Model: model, Load: load}
}

// HandleResult ends the order in flight. If the order failed, Next returns no order until
// retryDelay has passed. If the engine refused it, the next order's token is larger than
// x.LargestFence.
func (r *Reconciler) HandleResult(now time.Time, x Result) {
	r.inFlight = false
	if !x.Done {
		r.lastFence = max(r.lastFence, x.LargestFence)
		r.retryAt = now.Add(retryDelay)
		return
	}
	if x.Order.Load {
		r.loaded[x.Order.Model] = true
		return
	}
	delete(r.loaded, x.Order.Model)
}
