// Package slots shares the slots of plain upstreams among workspaces while they are short.
//
// It answers upstreams that refuse requests since all their slots are taken, while one workspace sends many
// times its usual. Trying upstream after upstream costs them work, and serves whoever asks most often. A
// Limiter holds requests instead, for a short time, in a fair queue, and lets one go each time that a slot
// comes free. Without refusals it holds nothing.
//
// An entry, a process that receives the requests of callers, sees only its own sends. It finds its part of the
// slots as congestion control does: where a considerable part of the sends is refused, a refusal limits those
// in flight to what was not refused, and each answer raises the limit. A Limiter does no I/O and is not safe for concurrent use; the caller passes
// the time.
package slots

import (
	"time"

	"cranberrypoint.example/coord/queue"
)

const (
	// heldWeight is the weight of the sends in flight in the limit after a refusal. It is below 1 because
	// other entries' sends also cause refusals.
	heldWeight = 2.0 / 3
	// limitTTL is the time without a refusal and without a queue after which the limit ends.
	limitTTL = time.Second
	// recoverTime is the time without a refusal that lowers the limit after which it grows fast.
	recoverTime = limitTTL / 4
	// minPause and maxPause bound the time without sends after a refusal with nothing else in flight, whose
	// end would tell that a slot is free. In between it is pauseShare of the service time: an upstream has several slots.
	pauseShare = 0.125
	minPause   = 10 * time.Millisecond
	maxPause   = 100 * time.Millisecond
	// maxWaiting and maxWorkspaceWaiting bound the queue, whole and by workspace.
	maxWaiting          = 512
	maxWorkspaceWaiting = 64
	// certainty is the part of the expected wait that must exceed what is left for a request to be hopeless:
	// slots come free at random, and about half of the waits are shorter than expected.
	certainty = 0.5
	// shortShare is the part of the last sends that must have been refused for slots to be short. Below it
	// a few upstreams are full, and others take what these refuse.
	shortShare = 0.2
	// refusalWeight is the weight of a new result in the part of sends that are refused.
	refusalWeight = 0.1
	// ewmaWeight is the weight of a new sample in the average service time.
	ewmaWeight = 0.2
)

// Decision says what becomes of a request.
type Decision int

// Decisions on requests.
const (
	// Admitted requests may be sent. Each must be followed by Answered, Refused or Cancel.
	Admitted Decision = iota
	// Queued requests wait until Next returns them.
	Queued
	// Rejected requests can't be sent before they expire.
	Rejected
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

// Limiter limits the sends to the upstreams of one service that are in flight, and queues the requests
// beyond that. The zero value is ready for use.
type Limiter[T comparable] struct {
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
	// refusedShare is the part of the last sends that were refused.
	refusedShare float64
}

// ServiceTime returns the average time that the upstreams take for a request; 0 if it isn't known.
func (l *Limiter[T]) ServiceTime() time.Duration { return l.serviceTime }

// IsLimited reports whether slots are short.
func (l *Limiter[T]) IsLimited() bool { return l.limit > 0 }

// InFlight returns the number of sends that haven't ended.
func (l *Limiter[T]) InFlight() int { return l.inFlight }

// Limit returns the number of sends that may be in flight; 0 for no limit.
func (l *Limiter[T]) Limit() float64 { return l.limit }

// Waiting returns the number of requests that wait.
func (l *Limiter[T]) Waiting() int { return l.queue.Len() }

// Enter admits, queues or turns away a request.
func (l *Limiter[T]) Enter(now time.Time, r Request[T]) Decision {
	l.expireLimit(now)
	if l.queue.Len() == 0 && l.mayAdmit(now) {
		l.send(now)
		l.charge(now, r)
		return Admitted
	}
	isFull := l.queue.Len() >= maxWaiting || l.waiting[r.Workspace] >= maxWorkspaceWaiting
	if isFull || now.Add(time.Duration(certainty*float64(l.ExpectedWait(now, r)))).After(r.ExpiresAt) {
		return Rejected
	}
	l.push(r)
	return Queued
}

// send counts a send that begins.
func (l *Limiter[T]) send(now time.Time) {
	l.inFlight++
	l.lastSent = now
	l.refusedShare -= refusalWeight * l.refusedShare
}

// charge charges a request that is sent at once, so that its workspace's next ones wait for those of others.
func (l *Limiter[T]) charge(now time.Time, r Request[T]) {
	if l.limit == 0 {
		return
	}
	l.queue.Push(item(r))
	l.queue.Pop(now)
}

func (l *Limiter[T]) push(r Request[T]) {
	if l.waiting == nil {
		l.waiting = map[string]int{}
	}
	l.waiting[r.Workspace]++
	l.queue.Push(item(r))
}

func item[T any](r Request[T]) queue.Item[T] {
	return queue.Item[T]{Workspace: r.Workspace, Cost: 1, Weight: r.Weight, Batch: r.IsLessUrgent, PromoteAt: r.PromoteAt, Value: r.Value}
}

// ExpectedWait returns the time until a slot is expected to be free for a request, from the queue before its
// workspace and the rate at which this process's slots come free.
func (l *Limiter[T]) ExpectedWait(now time.Time, r Request[T]) time.Duration {
	if l.limit == 0 {
		return 0
	}
	ahead := l.queue.CountAhead(r.Workspace, r.IsLessUrgent && now.Before(r.PromoteAt), now)
	wait := time.Duration(float64(ahead+1) / l.limit * float64(l.serviceTime))
	return max(wait, l.pausedUntil.Sub(now))
}

// mayAdmit reports whether another request may be in flight. Where none was sent for as long as a request usually
// takes, one may: those in flight may hang at an upstream that doesn't answer.
func (l *Limiter[T]) mayAdmit(now time.Time) bool {
	if l.limit == 0 {
		return true
	}
	hasRoom := float64(l.inFlight+1) <= max(1, l.limit)
	return !now.Before(l.pausedUntil) && (hasRoom || !now.Before(l.stalledAt()))
}

// stalledAt returns when the sends in flight no longer hold up others.
func (l *Limiter[T]) stalledAt() time.Time { return l.lastSent.Add(max(minPause, l.serviceTime)) }

// bounded returns a time between minPause and maxPause.
func bounded(d time.Duration) time.Duration { return min(maxPause, max(minPause, d)) }

// Next returns a queued request that may be sent now; ok is false if there is none.
func (l *Limiter[T]) Next(now time.Time) (v T, ok bool) {
	if !l.mayAdmit(now) {
		return v, false
	}
	w, v, ok := l.queue.PopFrom(now)
	if !ok {
		return v, false
	}
	l.forget(w)
	l.send(now)
	return v, true
}

func (l *Limiter[T]) forget(workspace string) {
	l.waiting[workspace]--
	if l.waiting[workspace] <= 0 {
		delete(l.waiting, workspace)
	}
}

// NextAt returns when Next returns a request although nothing in flight ends; ok is false if none waits.
func (l *Limiter[T]) NextAt() (at time.Time, ok bool) {
	at = l.stalledAt()
	if hasRoom := float64(l.inFlight+1) <= max(1, l.limit); hasRoom || at.Before(l.pausedUntil) {
		at = l.pausedUntil
	}
	return at, l.queue.Len() > 0
}

// Drop removes a request of a workspace from the queue and reports whether it was there.
func (l *Limiter[T]) Drop(workspace string, v T) bool {
	if len(l.queue.Drop(func(x T) bool { return x == v })) == 0 {
		return false
	}
	l.forget(workspace)
	return true
}

// Answered records that an upstream has answered a send in the given time.
func (l *Limiter[T]) Answered(now time.Time, took time.Duration) {
	l.inFlight--
	if l.serviceTime == 0 {
		l.serviceTime = took
	}
	l.serviceTime += time.Duration(ewmaWeight * float64(took-l.serviceTime))
	if l.limit > 0 {
		l.limit += l.growth(now)
	}
	l.expireLimit(now)
}

// growth returns by how much an answer raises the limit: by one for all that are in flight, or for each once
// slots haven't been short for recoverTime.
func (l *Limiter[T]) growth(now time.Time) float64 {
	if now.Sub(l.lastRefused) >= recoverTime {
		return 1
	}
	return 1 / l.limit
}

// Cancel records that a request was not sent after all, or that its send failed for another reason than
// want of room. Its workspace isn't charged for it.
func (l *Limiter[T]) Cancel(r Request[T]) {
	l.inFlight--
	if l.limit > 0 {
		l.queue.Refund(item(r))
	}
}

// Refused records that an upstream refused the send of a request since its slots were taken. The request's
// workspace isn't charged for it.
func (l *Limiter[T]) Refused(now time.Time, r Request[T]) {
	l.Cancel(r)
	l.refusedShare += refusalWeight
	if l.refusedShare < shortShare {
		return
	}
	l.lastRefused = now
	held := max(1, float64(l.inFlight))
	if l.limit == 0 || held >= l.limit {
		l.limit = held
	}
	l.limit += heldWeight * (held - l.limit)
	if l.inFlight == 0 {
		l.pausedUntil = now.Add(bounded(time.Duration(pauseShare * float64(l.serviceTime))))
	}
}

// expireLimit ends the limit once slots aren't short any more.
func (l *Limiter[T]) expireLimit(now time.Time) {
	if l.queue.Len() == 0 && now.Sub(l.lastRefused) >= limitTTL {
		l.limit = 0
	}
}
