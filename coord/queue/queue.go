// Package queue provides a weighted fair queue over workspaces.
//
// It implements start-time fair queueing (Goyal, Vin and Cheng, 1996) with one
// difference: a workspace is charged when an item is served, not when it is queued, so
// that dropped items cost it nothing. Interactive items are served before batch items;
// from its PromoteAt time on, a batch item is scheduled as an interactive one.
package queue

import (
	"cmp"
	"time"
)

// Item is a queued value with what its scheduling depends on.
type Item[T any] struct {
	Workspace string
	// Cost is the work that the item causes, in tokens.
	Cost int64
	// Weight is the workspace's relative share of the service; values below 1 count as 1.
	Weight int64
	// Batch marks an item as batch instead of interactive. Before PromoteAt, a batch item is
	// served only when no interactive item is queued.
	Batch bool
	// PromoteAt is the time from which a batch item is scheduled as interactive.
	PromoteAt time.Time
	Value     T
}

// isBatch reports whether the item is still scheduled as batch at now.
func (i *Item[T]) isBatch(now time.Time) bool {
	return i.Batch && now.Before(i.PromoteAt)
}

// normalizedCost returns the cost divided by the weight, the virtual time that the item
// takes.
func (i *Item[T]) normalizedCost() float64 {
	return float64(i.Cost) / float64(max(i.Weight, 1))
}

// Queue is a weighted fair queue. The zero value is ready for use. It is not safe for
// concurrent use.
type Queue[T any] struct {
	// items are in order of arrival.
	items []Item[T]
	// finishTags holds, by workspace, the virtual time at which its item served last finishes.
	// Workspaces for which that time is not later than virtualTime have no tag.
	finishTags map[string]float64
	// virtualTime is the start tag of the item served last.
	virtualTime float64
	// cost is the sum of the costs of items.
	cost int64
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost returns the total cost of the queued items, in tokens.
func (q *Queue[T]) Cost() int64 { return q.cost }

// Push adds an item to the queue.
func (q *Queue[T]) Push(i Item[T]) {
	q.cost += i.Cost
	q.items = append(q.items, i)
}

// startTag returns the virtual time at which the next item of a workspace would start.
func (q *Queue[T]) startTag(workspace string) float64 {
	return max(q.virtualTime, q.finishTags[workspace])
}

// CountAhead returns the number of queued items that would be served before a new item
// of the workspace.
func (q *Queue[T]) CountAhead(workspace string, batch bool, now time.Time) int {
	// queuedCost is the total normalized cost of each workspace's items counted so far.
	queuedCost := map[string]float64{}
	tags := make([]float64, len(q.items))
	for i := range q.items {
		w := q.items[i].Workspace
		tags[i] = q.startTag(w) + queuedCost[w]
		queuedCost[w] += q.items[i].normalizedCost()
	}
	tag := q.startTag(workspace) + queuedCost[workspace]
	ahead := 0
	for i := range q.items {
		isBatch := q.items[i].isBatch(now)
		if isBatch == batch && tags[i] <= tag || batch && !isBatch {
			ahead++
		}
	}
	return ahead
}

// Pop removes the item that is served next and returns its value; ok is false if the
// queue is empty.
func (q *Queue[T]) Pop(now time.Time) (v T, ok bool) {
	_, v, ok = q.PopFrom(now)
	return v, ok
}

// PopFrom is Pop and returns the workspace of the item as well.
func (q *Queue[T]) PopFrom(now time.Time) (workspace string, v T, ok bool) {
	best := -1
	for i := range q.items {
		if best < 0 || q.precedes(&q.items[i], &q.items[best], now) {
			best = i
		}
	}
	if best < 0 {
		return "", v, false
	}
	i := q.items[best]
	q.advance(&i)
	q.remove(best)
	return i.Workspace, i.Value, true
}

// precedes reports whether a is served before b. The item a must have arrived after b: if both
// have the same start tag, b is served first.
func (q *Queue[T]) precedes(a, b *Item[T], now time.Time) bool {
	aBatch, bBatch := a.isBatch(now), b.isBatch(now)
	if aBatch != bBatch {
		return bBatch
	}
	return cmp.Less(q.startTag(a.Workspace), q.startTag(b.Workspace))
}

// advance charges the workspace of an item that is served: it moves the virtual time to the
// item's start tag and sets the finish tag of the workspace. Finish tags that the virtual
// time has reached no longer matter and are deleted.
func (q *Queue[T]) advance(i *Item[T]) {
	if q.finishTags == nil {
		q.finishTags = map[string]float64{}
	}
	start := q.startTag(i.Workspace)
	q.virtualTime = max(q.virtualTime, start)
	q.finishTags[i.Workspace] = start + i.normalizedCost()
	for w, finish := range q.finishTags {
		if finish <= q.virtualTime {
			delete(q.finishTags, w)
		}
	}
}

// Refund takes back the charge for an item that was popped but could not be served.
func (q *Queue[T]) Refund(i Item[T]) {
	if f, ok := q.finishTags[i.Workspace]; ok {
		q.finishTags[i.Workspace] = f - i.normalizedCost()
	}
}

// Drop removes the items for which drop returns true and returns their values, the
// newest first.
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
