package queue_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/queue"
	"github.com/google/go-cmp/cmp"
)

var now = time.Unix(1000, 0)

func item(workspace string, cost, weight int64) queue.Item[string] {
	return queue.Item[string]{Workspace: workspace, Cost: cost, Weight: weight, Value: workspace}
}

// serve pops n items and returns the number of items served for each workspace.
func serve(q *queue.Queue[string], n int) map[string]int {
	r := map[string]int{}
	for range n {
		if v, ok := q.Pop(now); ok {
			r[v]++
		}
	}
	return r
}

func TestSharesFollowWeights(t *testing.T) {
	var q queue.Queue[string]
	for range 100 {
		q.Push(item("a", 10, 3))
		q.Push(item("b", 10, 1))
	}
	if diff := cmp.Diff(map[string]int{"a": 30, "b": 10}, serve(&q, 40)); diff != "" {
		t.Errorf("served (-want +got):\n%s", diff)
	}
}

func TestBacklogOfOneWorkspaceDoesNotDelayOthers(t *testing.T) {
	var q queue.Queue[string]
	for range 1000 {
		q.Push(item("greedy", 10, 1))
	}
	q.Push(item("small", 10, 1))
	if a := q.CountAhead("other", false, now); a > 2 {
		t.Errorf("CountAhead = %d for workspace other, which has no items, want at most 2", a)
	}
	if got := serve(&q, 2); got["small"] != 1 {
		t.Errorf("served %v, want one item of workspace small among the first two", got)
	}
}

func TestDroppedItemsCostNothing(t *testing.T) {
	var q queue.Queue[string]
	for range 50 {
		q.Push(item("a", 10, 1))
	}
	q.Drop(func(string) bool { return true })
	for range 10 {
		q.Push(item("a", 10, 1))
		q.Push(item("b", 10, 1))
	}
	if diff := cmp.Diff(map[string]int{"a": 5, "b": 5}, serve(&q, 10)); diff != "" {
		t.Errorf("served (-want +got):\n%s", diff)
	}
}

func TestBatchItemWaitsUntilPromoted(t *testing.T) {
	var q queue.Queue[string]
	b := item("b", 1, 1)
	b.Batch, b.PromoteAt = true, now.Add(time.Minute)
	q.Push(b)
	q.Push(item("a", 1, 1))
	if v, _ := q.Pop(now); v != "a" {
		t.Errorf("item of workspace %s served first, want the interactive one of a", v)
	}
	q.Push(item("a", 1, 1))
	if v, _ := q.Pop(now.Add(2 * time.Minute)); v != "b" {
		t.Errorf("item of workspace %s served first, want the promoted batch item of b", v)
	}
}
