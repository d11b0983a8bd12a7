// Package queue provides a weighted fair queue over workspaces.
//
// It is start-time fair queueing (Goyal, Vin and Cheng, 1996): each workspace's
// items start at virtual times that advance by cost over weight, and the item with
// the smallest start time goes first. Interactive items go before batch items that
// haven't waited past their age deadline.
package queue

import (
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
	// Aged is the time from which a batch item counts as interactive.
	Aged  time.Time
	Value T

	start float64
	seq   uint64
}

// Queue is a weighted fair queue. The zero value is ready for use.
type Queue[T any] struct {
	items   []Item[T]
	finish  map[string]float64
	virtual float64
	seq     uint64
	cost    int64
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost returns the sum of the costs of queued items, in tokens.
func (q *Queue[T]) Cost() int64 { return q.cost }

// Push queues an item.
func (q *Queue[T]) Push(i Item[T]) {
	if q.finish == nil {
		q.finish = map[string]float64{}
	}
	i.Weight = max(i.Weight, 1)
	i.start = max(q.virtual, q.finish[i.Workspace])
	i.seq = q.seq
	q.seq++
	q.cost += i.Cost
	q.finish[i.Workspace] = i.start + float64(i.Cost)/float64(i.Weight)
	q.items = append(q.items, i)
}

// Ahead returns how many queued items would be served before a new one of a workspace.
func (q *Queue[T]) Ahead(workspace string, batch bool, now time.Time) int {
	n := Item[T]{Batch: batch, Aged: now.Add(1), start: max(q.virtual, q.finish[workspace]), seq: q.seq}
	ahead := 0
	for i := range q.items {
		if before(&q.items[i], &n, now) {
			ahead++
		}
	}
	return ahead
}

// Pop removes and returns the item to be served next.
func (q *Queue[T]) Pop(now time.Time) (v T, ok bool) {
	best := -1
	for i := range q.items {
		if best < 0 || before(&q.items[i], &q.items[best], now) {
			best = i
		}
	}
	if best < 0 {
		return v, false
	}
	q.virtual = max(q.virtual, q.items[best].start)
	v = q.items[best].Value
	q.remove(best)
	return v, true
}

func before[T any](a, b *Item[T], now time.Time) bool {
	al, bl := a.later(now), b.later(now)
	if al != bl {
		return !al
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

func (i *Item[T]) later(now time.Time) bool {
	return i.Batch && now.Before(i.Aged)
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
	if len(q.items) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}
