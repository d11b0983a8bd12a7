// Package slots shares the slots of plain upstreams among workspaces while they are short.
//
// It answers upstreams that refuse requests since all their slots are taken, while one workspace sends many
// times its usual. Trying upstream after upstream costs them work, and serves whoever asks most often. A
// Gate holds requests instead, for a short time, in a fair queue, and lets one go each time that a slot
// comes free. Without refusals it holds nothing.
//
// An entry, a process that receives the requests of callers, sees only its own sends. It finds its part of the
// slots as congestion control does: a refusal limits its sends in flight to those that were not refused, and
// each answer raises the limit. A Gate does no I/O and is not safe for concurrent use; the caller passes
// the time.
package slots

import (
	"time"

	"cranberrypoint.example/coord/queue"
)

const (
	// calmTime is the time without a refusal and without a queue after which the limit ends.
	calmTime = time.Second
	// minPause and maxPause bound the time without sends after a refusal with nothing else in flight, whose
	// end would tell that a slot is free, and the time for which sends that hang hold up others.
	// In between it is pauseShare of the service time: an upstream has several slots.
	pauseShare = 0.125
	minPause   = 10 * time.Millisecond
	maxPause   = 100 * time.Millisecond
	// maxWaiting and maxWorkspaceWaiting bound the queue, whole and by workspace.
	maxWaiting          = 512
	maxWorkspaceWaiting = 64
	// certainty is the part of the expected wait that must exceed what is left for a request to be hopeless:
	// slots come free at random, and about half of the waits are shorter than expected.
	certainty = 0.5
	// ewmaWeight is the weight of a new sample in the average service time.
	ewmaWeight = 0.2
)

// Decision says what becomes of a request.
type Decision int

// Decisions on requests.
const (
	// Admitted requests may be sent. Each must be followed by Answered, Refused or Withdraw.
	Admitted Decision = iota
	// Queued requests wait until Next returns them.
	Queued
	// Hopeless requests can't be sent before they expire.
	Hopeless
)

// Request is a request that wants a slot.
type Request[T any] struct {
	Workspace string
	// Weight is the workspace's relative share; values below 1 count as 1.
	Weight int64
	// IsLessUrgent is true if requests of a more urgent class come first, until PromoteAt.
	IsLessUrgent bool
	PromoteAt    time.Time
	// ExpiresAt is when it is no longer worth waiting.
	ExpiresAt time.Time
	Value     T
}

// Gate holds the requests to one service. The zero value is ready for use.
type Gate[T comparable] struct {
	queue   queue.Queue[T]
	waiting map[string]int
	// inFlight is the number of sends that haven't ended.
	inFlight int
	// limit is the number of sends that may be in flight; 0 for no limit.
	limit       float64
	lastRefused time.Time
	pausedUntil time.Time
	// lastSent is when a request was last admitted.
	lastSent time.Time
	// serviceTime is the average time from a send to the end of its answer; 0 if none was seen.
	serviceTime time.Duration
}

// ServiceTime returns the average time that the upstreams take for a request; 0 if it isn't known.
func (g *Gate[T]) ServiceTime() time.Duration { return g.serviceTime }

// IsLimited reports whether slots are short.
func (g *Gate[T]) IsLimited() bool { return g.limit > 0 }

// InFlight returns the number of sends that haven't ended.
func (g *Gate[T]) InFlight() int { return g.inFlight }

// Limit returns the number of sends that may be in flight; 0 for no limit.
func (g *Gate[T]) Limit() float64 { return g.limit }

// Waiting returns the number of requests that wait.
func (g *Gate[T]) Waiting() int { return g.queue.Len() }

// Enter admits, queues or turns away a request.
func (g *Gate[T]) Enter(now time.Time, r Request[T]) Decision {
	g.endWhenCalm(now)
	if g.queue.Len() == 0 && g.mayHave(now) {
		g.inFlight++
		g.lastSent = now
		g.charge(now, r)
		return Admitted
	}
	isFull := g.queue.Len() >= maxWaiting || g.waiting[r.Workspace] >= maxWorkspaceWaiting
	if isFull || now.Add(time.Duration(certainty*float64(g.Wait(now, r)))).After(r.ExpiresAt) {
		return Hopeless
	}
	g.push(r)
	return Queued
}

// charge charges a request that is sent at once, so that its workspace's next ones wait for those of others.
func (g *Gate[T]) charge(now time.Time, r Request[T]) {
	if g.limit == 0 {
		return
	}
	g.queue.Push(item(r))
	g.queue.Pop(now)
}

func (g *Gate[T]) push(r Request[T]) {
	if g.waiting == nil {
		g.waiting = map[string]int{}
	}
	g.waiting[r.Workspace]++
	g.queue.Push(item(r))
}

func item[T any](r Request[T]) queue.Item[T] {
	return queue.Item[T]{Workspace: r.Workspace, Cost: 1, Weight: r.Weight, Batch: r.IsLessUrgent, PromoteAt: r.PromoteAt, Value: r.Value}
}

// Wait returns the time until a slot is expected to be free for a request, from the queue before its
// workspace and the rate at which this process's slots come free.
func (g *Gate[T]) Wait(now time.Time, r Request[T]) time.Duration {
	if g.limit == 0 {
		return 0
	}
	ahead := g.queue.CountAhead(r.Workspace, r.IsLessUrgent && now.Before(r.PromoteAt), now)
	wait := time.Duration(float64(ahead+1) / g.limit * float64(g.serviceTime))
	return max(wait, g.pausedUntil.Sub(now))
}

// mayHave reports whether another request may be in flight. Where none was sent for as long as a request usually
// takes, one may: those in flight may hang at an upstream that doesn't answer.
func (g *Gate[T]) mayHave(now time.Time) bool {
	if g.limit == 0 {
		return true
	}
	hasRoom := float64(g.inFlight+1) <= max(1, g.limit)
	return !now.Before(g.pausedUntil) && (hasRoom || !now.Before(g.stalledAt()))
}

// stalledAt returns when the sends in flight no longer hold up others.
func (g *Gate[T]) stalledAt() time.Time { return g.lastSent.Add(bounded(g.serviceTime)) }

// bounded returns a time between minPause and maxPause.
func bounded(d time.Duration) time.Duration { return min(maxPause, max(minPause, d)) }

// Next returns a queued request that may be sent now; ok is false if there is none.
func (g *Gate[T]) Next(now time.Time) (v T, ok bool) {
	if !g.mayHave(now) {
		return v, false
	}
	w, v, ok := g.queue.PopFrom(now)
	if !ok {
		return v, false
	}
	g.forget(w)
	g.inFlight++
	g.lastSent = now
	return v, true
}

func (g *Gate[T]) forget(workspace string) {
	g.waiting[workspace]--
	if g.waiting[workspace] <= 0 {
		delete(g.waiting, workspace)
	}
}

// NextAt returns when Next returns a request although nothing in flight ends; ok is false if none waits.
func (g *Gate[T]) NextAt() (at time.Time, ok bool) {
	at = g.stalledAt()
	if at.Before(g.pausedUntil) {
		at = g.pausedUntil
	}
	return at, g.queue.Len() > 0
}

// Drop removes a request of a workspace from the queue and reports whether it was there.
func (g *Gate[T]) Drop(workspace string, v T) bool {
	if len(g.queue.Drop(func(x T) bool { return x == v })) == 0 {
		return false
	}
	g.forget(workspace)
	return true
}

// Answered records that an upstream has answered a send in the given time.
func (g *Gate[T]) Answered(now time.Time, took time.Duration) {
	g.inFlight--
	if g.serviceTime == 0 {
		g.serviceTime = took
	}
	g.serviceTime += time.Duration(ewmaWeight * float64(took-g.serviceTime))
	if g.limit > 0 {
		g.limit += 1 / g.limit
	}
	g.endWhenCalm(now)
}

// Withdraw records that a request was not sent after all, or that its send failed for another reason than
// want of room.
func (g *Gate[T]) Withdraw() { g.inFlight-- }

// Refused records that an upstream refused the send of a request since its slots were taken. The request's
// workspace isn't charged for it.
func (g *Gate[T]) Refused(now time.Time, r Request[T]) {
	g.inFlight--
	if g.limit > 0 {
		g.queue.Refund(item(r))
	}
	g.lastRefused = now
	// Other entries' sends change the slots that are left, so the limit only moves towards what was held.
	held := max(1, float64(g.inFlight))
	if g.limit == 0 || held >= g.limit {
		g.limit = held
	}
	g.limit = (g.limit + 2*held) / 3
	if g.inFlight == 0 {
		g.pausedUntil = now.Add(bounded(time.Duration(pauseShare * float64(g.serviceTime))))
	}
}

// endWhenCalm ends the limit once slots aren't short any more.
func (g *Gate[T]) endWhenCalm(now time.Time) {
	if g.queue.Len() == 0 && now.Sub(g.lastRefused) >= calmTime {
		g.limit = 0
	}
}
