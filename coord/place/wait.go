package place

import (
	"slices"
	"time"
)

// retryJitter is by how much the time until a caller's return is lengthened at most, as a part of it.
// The callers that were refused in a burst would otherwise come back in one.
const retryJitter = 0.5

// sortQueue puts the queue into the order of service, and reports whether several workspaces or classes
// of priority compete. Without competition it is the order by time.
func (s *Scheduler) sortQueue(now time.Time) (isShared bool) {
	compare := func(a, b waiting) int { return compareRequests(now, &a, &b) }
	for i := range s.queue {
		s.queue[i].excess = 0
	}
	slices.SortStableFunc(s.queue, compare)
	if !competes(s.queue) {
		return false
	}
	if s.accounts.rank(now, s.queue) {
		slices.SortStableFunc(s.queue, compare)
	}
	s.classes.promote(s.queue)
	return true
}

func (s *Scheduler) indexOf(id string) int {
	for i := range slices.Backward(s.queue) {
		if s.queue[i].ID == id {
			return i
		}
	}
	return -1
}

// expectedWait returns the time until a request is expected to fit. The parameter ahead is the
// number of requests that are queued before it.
func (s *Scheduler) expectedWait(p *plan, r Request, ahead int) time.Duration {
	c := s.candidate(p, r)
	if ahead == 0 && p.fits(c) {
		return 0
	}
	return time.Duration(p.stepsUntilFit(c, ahead)) * s.stepTime
}

// sharedWait is expectedWait where several workspaces compete. Each round of places that goes to requests
// ahead takes as long as a run.
func (s *Scheduler) sharedWait(p *plan, r Request, ahead int) time.Duration {
	n := len(p.expected)
	if n == 0 {
		return s.expectedWait(p, r, ahead)
	}
	return s.expectedWait(p, r, ahead%n) + time.Duration(ahead/n)*s.runTime(p)
}

// runTime returns how long the runs of a plan last on average, from their grants.
func (s *Scheduler) runTime(p *plan) time.Duration {
	return time.Duration(p.answerTokens/int64(len(p.expected))) * s.stepTime
}

// checkHopeless removes the request at an index of the sorted queue and returns its refusal if it isn't
// expected to get a place before it expires.
func (s *Scheduler) checkHopeless(now time.Time, p *plan, index int) (out Outcome, ok bool) {
	r := &s.queue[index]
	ahead, wait := index, time.Duration(0)
	if competes(s.queue) {
		ahead = aheadOf(s.queue, index)
		wait = s.sharedWait(p, r.Request, ahead)
		r.share.Ahead = ahead
	} else {
		wait = s.expectedWait(p, r.Request, ahead)
	}
	if !now.Add(wait).After(r.ExpiresAt) {
		return out, false
	}
	out = Outcome{RequestID: r.ID, Reason: ReasonNoPlace, RetryAt: s.retryAt(now, r, wait), ShareState: r.share}
	if r.excess > 0 {
		out.Reason = ReasonOverShare
	}
	s.queue = slices.Delete(s.queue, index, index+1)
	return out, true
}

// retryAt returns when a refused request may come again, after a wait until its turn.
func (s *Scheduler) retryAt(now time.Time, r *waiting, wait time.Duration) time.Time {
	if r.share.Shared {
		wait += time.Duration(retryJitter * s.jitter.Float64() * float64(wait))
	}
	return now.Add(wait)
}

// refuseDisplaced refuses the last requests of workspaces beyond their share that have become hopeless, now that
// the request id was placed before them.
func (s *Scheduler) refuseDisplaced(now time.Time, p *plan, id string) (out []Outcome) {
	for i := len(s.queue) - 1; i >= 0; i-- {
		if s.queue[i].excess == 0 || s.queue[i].ID == id {
			continue
		}
		o, ok := s.checkHopeless(now, p, i)
		if !ok {
			break
		}
		out = append(out, o)
	}
	return out
}

// refuseExpired refuses the requests that have expired.
func (s *Scheduler) refuseExpired(now time.Time) (out []Outcome) {
	isExpired := func(w waiting) bool { return !now.Before(w.ExpiresAt) }
	if !slices.ContainsFunc(s.queue, isExpired) {
		return nil
	}
	p := s.plan(now)
	isShared := s.sortQueue(now)
	for i := range s.queue {
		r := &s.queue[i]
		if !isExpired(*r) {
			continue
		}
		wait := time.Duration(0)
		if isShared && r.excess > 0 {
			wait = s.sharedWait(p, r.Request, aheadOf(s.queue, i))
		} else {
			wait = s.expectedWait(p, r.Request, 0)
		}
		out = append(out, Outcome{RequestID: r.ID, Reason: ReasonWaitExpired, RetryAt: s.retryAt(now, r, wait), ShareState: r.share})
	}
	s.queue = slices.DeleteFunc(s.queue, isExpired)
	return out
}
