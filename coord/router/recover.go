package router

import (
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// runFailed retries a failed run if that is safe, and fails the request otherwise.
func (r *Router) runFailed(f RunRef, err *fault.Error) {
	q, t := r.liveRun(f)
	if t == nil {
		return
	}
	t.live = false
	r.recordEnd(q, t, err)
	if err.Code == fault.OutcomeUnknown && !q.idempotent() {
		r.cancelAndQueryOutcome(q)
		return
	}
	if t == &q.main && (!q.usesModel && err.Ran != wire.Ran_RAN_NO) {
		q.ran = err.Ran
	}
	if t == &q.main && !q.usesModel && err.Ran == wire.Ran_RAN_NO {
		q.ran = wire.Ran_RAN_NO
	}
	if !retryable(err) || (!q.idempotent() && err.Ran != wire.Ran_RAN_NO) {
		r.fail(q, err.WithRan(q.ran))
		return
	}
	q.excluded[t.vm] = true
	if !r.poison.MayRepeat(r.now, q.call.PoisonKeys) {
		r.fail(q, err.WithRan(q.ran))
		return
	}
	r.retry(q, t, err)
}

// retryable reports whether the request may succeed at another agent.
func retryable(err *fault.Error) bool {
	switch err.Code {
	case fault.BadKey, fault.BadRequest, fault.Duplicate, fault.TooLarge, fault.OutcomeForgotten:
		return false
	}
	return true
}

// retry runs a request, or only its prefill, at another agent. It fails the request if its
// time or its number of failures is used up, or if the head of a plain answer was sent.
func (r *Router) retry(q *request, t *run, err *fault.Error) {
	q.lastErr = err
	if err.Code != fault.Unreachable {
		q.failures++
	}
	late := !r.now.Before(q.latestStart())
	spent := q.failures >= maxFailedRuns
	answered := q.headSent && !q.usesModel
	if late || spent || answered {
		r.fail(q, err.WithRan(q.ran))
		return
	}
	if t == &q.prefill && (q.main.live || !r.policy.ReserveDecode) {
		r.openPrefillRun(q)
		return
	}
	r.stopRun(&q.main)
	r.stopRun(&q.prefill)
	r.openNextRun(q)
}

// stopRun aborts a run that is live.
func (r *Router) stopRun(t *run) {
	if t.live {
		t.live = false
		r.emit(StopRun{t.ref})
	}
}

// runLost handles a lost stream. It keeps new work away from the VM for a while.
func (r *Router) runLost(e RunLost) {
	q, t := r.liveRun(e.Ref)
	if t == nil {
		return
	}
	r.unreachableUntil[t.vm] = r.now.Add(unreachableCooldown)
	r.trace(trace.Lost, q, t.vm, "")
	if !e.Sent && t.resumes == 0 {
		r.runNotSent(q, t)
		return
	}
	r.resumeOrRetry(q, t)
}

// runNotSent handles a run that can't have reached its agent. A deduplicated request is not
// retried at another agent: if that one executed it, a later retry by the caller through an
// entry that can reach this agent would execute it a second time.
func (r *Router) runNotSent(q *request, t *run) {
	err := fault.NotRun(fault.Unreachable, "the upstream's agent can't be reached")
	if !q.deduplicated() {
		r.runFailed(t.ref, err)
		return
	}
	t.live = false
	q.ran = wire.Ran_RAN_NO
	r.fail(q, err.WithRetryAt(r.now.Add(callerRetryDelay)))
}

// resumeOrRetry resumes a run on a new stream. After maxResumes it gives the run up and
// retries the request or, if it isn't idempotent, first asks whether it was executed.
func (r *Router) resumeOrRetry(q *request, t *run) {
	q.hadLostRun = true
	if t.resumes < maxResumes && r.now.Before(q.deadline) {
		t.resumes++
		r.emit(ResumeRun{t.ref, t.vm, &wire.Resume{
			Request: q.name(),
			Attempt: t.ref.Attempt,
			Stage:   t.ref.Stage,
			Offset:  q.offset,
		}})
		return
	}
	t.live = false
	if !q.idempotent() {
		r.cancelAndQueryOutcome(q)
		return
	}
	q.excluded[t.vm] = true
	r.sendCancel(q, t)
	r.retry(q, t, fault.NotRun(fault.Unreachable, "the upstream's agent fell silent"))
}

// cancelAndQueryOutcome asks the agent of a request that isn't idempotent to cancel it if it
// hasn't started, and to report whether it was executed. This is repeated every
// outcomeQueryDelay until it is answered.
func (r *Router) cancelAndQueryOutcome(q *request) {
	q.phase = outcomeUnknown
	q.recheckAt = r.now.Add(outcomeQueryDelay)
	r.sendCancel(q, &q.main)
}

// sendCancel asks the agent of a run to cancel it and to report whether it was executed.
func (r *Router) sendCancel(q *request, t *run) {
	r.emit(Cancel{ID: q.id, VM: t.vm, Name: q.name(), Attempt: t.ref.Attempt, Opened: t.openedAt})
}

// cancelAnswered retries a request that was not executed, and fails one that was or may
// have been.
func (r *Router) cancelAnswered(e CancelAnswered) {
	q := r.requests[e.ID]
	if q == nil || q.phase != outcomeUnknown || e.VM != q.main.vm || e.Err != nil {
		return
	}
	if e.Ran != wire.Ran_RAN_NO {
		q.ran = e.Ran
		r.fail(q, r.outcomeError(q))
		return
	}
	q.ran = wire.Ran_RAN_NO
	q.excluded[e.VM] = true
	r.retry(q, &q.main, fault.NotRun(fault.Unreachable, "the upstream's agent fell silent"))
}

// outcomeError returns the error for a request whose answer is lost, depending on whether
// it is known to have been executed.
func (r *Router) outcomeError(q *request) *fault.Error {
	if q.ran == wire.Ran_RAN_YES {
		return fault.NotRun(fault.OutcomeUnknown, "the request ran, but its answer was lost").WithRan(q.ran)
	}
	return fault.NotRun(fault.OutcomeUnknown, "whether the request ran is not known").WithRan(q.ran)
}
