// Package queue provides a weighted fair queue over workspaces.
//
// It is start-time fair queueing (Goyal, Vin and Cheng, 1996) with one difference:
// a workspace is charged when an item is served, not when it is queued, so that items
// that are dropped cost it nothing. Interactive items go before batch items that haven't
// waited past their age deadline.
package queue

import (
	"cmp"
	"time"
)

// Item is one queued value.
type Item[T any] struct {
	Workspace string
	// Cost is in tokens of work.
	Cost int64
	// Weight is the workspace's share; values below 1 count as 1.
	Weight int64
	// Batch items wait for interactive ones until Aged.
	Batch bool
	// PromoteAt is the time from which a batch item counts as interactive.
	PromoteAt  time.Time
	Value T
}

// later reports whether an item waits for interactive ones.
func (i *Item[T]) later(now time.Time) bool {
	return i.Batch && now.Before(i.PromoteAt)
}

// work is the item's cost over its weight.
func (i *Item[T]) work() float64 {
	return float64(i.Cost) / float64(max(i.Weight, 1))
}

// Queue is a weighted fair queue. The zero value is ready for use.
type Queue[T any] struct {
	// items are in the order of their arrival.
	items []Item[T]
	// served is the virtual time up to which each workspace was served.
	served  map[string]float64
	virtual float64
	cost    int64
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost returns the sum of the costs of queued items, in tokens.
func (q *Queue[T]) Cost() int64 { return q.cost }

// Push queues an item.
func (q *Queue[T]) Push(i Item[T]) {
	q.cost += i.Cost
	q.items = append(q.items, i)
}

// tag returns the virtual time at which a workspace's next item starts.
func (q *Queue[T]) tag(workspace string) float64 {
	return max(q.virtual, q.served[workspace])
}

// CountAhead returns how many queued items would be served before a new one of a workspace.
func (q *Queue[T]) CountAhead(workspace string, batch bool, now time.Time) int {
	queued := map[string]float64{}
	tags := make([]float64, len(q.items))
	for i := range q.items {
		w := q.items[i].Workspace
		tags[i] = q.tag(w) + queued[w]
		queued[w] += q.items[i].work()
	}
	own := q.tag(workspace) + queued[workspace]
	ahead := 0
	for i := range q.items {
		later := q.items[i].later(now)
		if later == batch && tags[i] <= own || batch && !later {
			ahead++
		}
	}
	return ahead
}

// Pop removes and returns the item to be served next.
func (q *Queue[T]) Pop(now time.Time) (v T, ok bool) {
	best := -1
	for i := range q.items {
		if best < 0 || q.before(&q.items[i], &q.items[best], now) {
			best = i
		}
	}
	if best < 0 {
		return v, false
	}
	i := q.items[best]
	q.charge(&i)
	q.remove(best)
	return i.Value, true
}

// before reports whether a goes before b, which arrived earlier.
func (q *Queue[T]) before(a, b *Item[T], now time.Time) bool {
	al, bl := a.later(now), b.later(now)
	if al != bl {
		return bl
	}
	return cmp.Less(q.tag(a.Workspace), q.tag(b.Workspace))
}

// charge moves the virtual time to an item's start and its workspace past it.
func (q *Queue[T]) charge(i *Item[T]) {
	if q.served == nil {
		q.served = map[string]float64{}
	}
	start := q.tag(i.Workspace)
	q.virtual = max(q.virtual, start)
	q.served[i.Workspace] = start + i.work()
	for w, s := range q.served {
		if s <= q.virtual {
			delete(q.served, w)
		}
	}
}

// Drop removes the items for which drop is true and returns their values.
func (q *Queue[T]) Drop(drop func(T) bool) (dropped []T) {
	for i := len(q.items) - 1; i >= 0; i-- {
		if drop(q.items[i].Value) {
			dropped = append(dropped, q.items[i].Value)
			q.remove(i)
		}
	}
	return dropped
}

func (q *Queue[T]) remove(i int) {
	q.cost -= q.items[i].Cost
	q.items = append(q.items[:i], q.items[i+1:]...)
}
