package router

import (
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

func (r *Router) runFailed(f RunRef, err *fault.Error) {
	q, t := r.current(f)
	if t == nil {
		return
	}
	t.live = false
	if err.Code == fault.Unclear && !q.idempotent() {
		r.askOutcome(q)
		return
	}
	if t == &q.main && (!q.generated && err.Ran != wire.Ran_RAN_NO) {
		q.ran = err.Ran
	}
	if t == &q.main && !q.generated && err.Ran == wire.Ran_RAN_NO {
		q.ran = wire.Ran_RAN_NO
	}
	if !retryable(err) || (!q.idempotent() && err.Ran != wire.Ran_RAN_NO) {
		r.finish(q, err.WithRan(q.ran))
		return
	}
	q.avoid[t.vm] = true
	r.retry(q, t, err)
}

// retryable reports whether another agent may do better.
func retryable(err *fault.Error) bool {
	switch err.Code {
	case fault.BadKey, fault.BadRequest, fault.Duplicate, fault.TooLarge, fault.Forgotten:
		return false
	}
	return true
}

// retry runs a request, or only its prefill, at another agent.
func (r *Router) retry(q *request, t *target, err *fault.Error) {
	q.last = err
	if err.Code != fault.Unreachable {
		q.failures++
	}
	late := !r.now.Before(q.startLimit())
	spent := q.failures >= maxFailures
	answered := q.headSent && !q.generated
	if late || spent || answered {
		r.finish(q, err.WithRan(q.ran))
		return
	}
	if t == &q.prefill && (q.main.live || !r.policy.ReserveDecode) {
		r.openPrefill(q)
		return
	}
	r.stop(&q.main)
	r.stop(&q.prefill)
	r.place(q)
}

func (r *Router) stop(t *target) {
	if t.live {
		t.live = false
		r.emit(StopRun{t.ref})
	}
}

func (r *Router) runLost(e RunLost) {
	q, t := r.current(e.Ref)
	if t == nil {
		return
	}
	r.unreached[t.vm] = r.now.Add(avoidTerm)
	r.trace(trace.Lost, q, t.vm, "")
	if !e.Sent && t.resumes == 0 {
		r.unreachable(q, t)
		return
	}
	r.lost(q, t)
}

// unreachable handles a run that can't have reached its agent. A keyed request goes to
// no other agent, since another entry may reach this one.
func (r *Router) unreachable(q *request, t *target) {
	err := fault.NotRun(fault.Unreachable, "the upstream's agent can't be reached")
	if !q.keyed() {
		r.runFailed(t.ref, err)
		return
	}
	t.live = false
	q.ran = wire.Ran_RAN_NO
	r.finish(q, err.WithAgain(r.now.Add(againDelay)))
}

// lost resumes a run on a new stream, or gives it up.
func (r *Router) lost(q *request, t *target) {
	q.faulted = true
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
		r.askOutcome(q)
		return
	}
	q.avoid[t.vm] = true
	r.ask(q, t)
	r.retry(q, t, fault.NotRun(fault.Unreachable, "the upstream's agent fell silent"))
}

// askOutcome asks the agent of a request that isn't idempotent whether it ran.
func (r *Router) askOutcome(q *request) {
	q.phase = unclear
	q.again = r.now.Add(askDelay)
	r.ask(q, &q.main)
}

func (r *Router) ask(q *request, t *target) {
	r.emit(Cancel{ID: q.id, VM: t.vm, Name: q.name(), Attempt: t.ref.Attempt, Opened: t.opened})
}

func (r *Router) cancelAnswered(e CancelAnswered) {
	q := r.requests[e.ID]
	if q == nil || q.phase != unclear || e.VM != q.main.vm || e.Err != nil {
		return
	}
	if e.Ran != wire.Ran_RAN_NO {
		q.ran = e.Ran
		r.finish(q, r.unknown(q))
		return
	}
	q.ran = wire.Ran_RAN_NO
	q.avoid[e.VM] = true
	r.retry(q, &q.main, fault.NotRun(fault.Unreachable, "the upstream's agent fell silent"))
}

func (r *Router) unknown(q *request) *fault.Error {
	if q.ran == wire.Ran_RAN_YES {
		return fault.NotRun(fault.Unclear, "the request ran, but its answer was lost").WithRan(q.ran)
	}
	return fault.NotRun(fault.Unclear, "whether the request ran is not known").WithRan(q.ran)
}
