package router

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// arrived admits a new request and starts the reservation of its tokens. Anonymous
// requests, which have no workspace to charge, reserve none.
func (r *Router) arrived(e Arrived) {
	q := &request{id: e.ID, call: e.Call, ran: wire.Ran_RAN_NO, excluded: map[string]bool{}}
	r.requests[e.ID] = q
	if err := r.admit(q); err != nil {
		r.fail(q, err)
		return
	}
	r.trace(trace.Arrived, q, "", q.call.Route)
	r.emit(Accepted{q.id, q.name()})
	if q.workspace == "" {
		r.openNextRun(q)
		return
	}
	q.phase = reserving
	r.applyQuotaEffects(r.reserver.Begin(r.now, quota.Request{
		ID:        uint64(q.id),
		Name:      fmt.Sprintf("%s/%x/%d", r.vm, r.seed, q.id),
		Workspace: q.workspace,
		Tokens:    q.maxCost(),
		Deadline:  q.startBy,
	}))
}

// admit authenticates a request, resolves its route and applies the route's settings. It
// returns nil if the request may go on.
func (r *Router) admit(q *request) *fault.Error {
	if !r.Ready() {
		return fault.NotRun(fault.NotReady, "this entry takes no requests now").WithRetryAt(r.now.Add(callerRetryDelay))
	}
	route, found := r.tree.Route(q.call.Route)
	w, id, ok := r.tree.Authenticate(q.call.KeyHash)
	if !ok && !(found && route.Open) {
		return fault.NotRun(fault.BadKey, "the key is missing, wrong or withdrawn")
	}
	q.workspace, q.keyID = w, id
	if !found {
		return fault.NotRun(fault.NoRoute, "no route serves this model or path")
	}
	if owner, owned := r.tree.RouteWorkspace(q.call.Route); owned && owner != w && !route.Open {
		return fault.NotRun(fault.BadKey, "the route belongs to another workspace")
	}
	return r.applyRoute(q, route)
}

// applyRoute copies the settings of the route and of the workspace into the request and
// bounds its output length. It refuses a request whose cost exceeds the workspace's burst,
// since the rate limit could never grant it.
func (r *Router) applyRoute(q *request, route tree.Route) *fault.Error {
	q.service = route.Service
	q.settings, _ = r.tree.RouteValues(q.call.Route)
	q.usesModel = r.tree.ServiceKind(route.Service) == tree.Generate
	q.weight = 1
	if v, ok := r.tree.WorkspaceValues(q.workspace); ok {
		q.weight = v.Weight
	}
	q.startBy = r.now.Add(q.settings.Patience)
	if r.policy.AdmissionControl && q.usesModel && q.settings.Class == tree.Interactive {
		q.startBy = r.now.Add(min(q.settings.Patience, r.maxSlotWait(q)))
	}
	q.deadline = r.now.Add(q.settings.Timeout)
	if q.deduplicated() {
		q.call.Name = sharedName(q.workspace, q.call.Route, q.call.IdempotencyKey)
	}
	if q.usesModel {
		q.call.Path = route.Model
		if q.call.MaxTokens == 0 || q.call.MaxTokens > q.settings.MaxTokens {
			q.call.MaxTokens = q.settings.MaxTokens
		}
	}
	if v, ok := r.tree.WorkspaceValues(q.workspace); ok && q.maxCost() > v.Burst {
		return fault.NotRun(fault.TooLarge, "the request needs %d tokens; the workspace's burst is %d", q.maxCost(), v.Burst)
	}
	return nil
}

// Bounds of the time that an interactive request may wait for slots. A slot is the capacity
// for one run at an upstream.
const (
	// decodeStartDuration is the time allowed for the transfer of the KV cache and the
	// first decode step.
	decodeStartDuration = 60 * time.Millisecond
	// minSlotWait is granted even if the prefill alone is expected to exceed the
	// first-token target.
	minSlotWait = 50 * time.Millisecond
)

// maxSlotWait returns how long a request may wait for its slots and still produce its
// first token within the target, given the mean prefill time per prompt token.
func (r *Router) maxSlotWait(q *request) time.Duration {
	prefill := time.Duration(float64(q.call.PromptTokens) * r.prefillNanosPerToken)
	return max(q.settings.FirstToken-prefill-decodeStartDuration, minSlotWait)
}

// prefillMeanDivisor is the inverse of the weight that the newest prefill has in the
// exponential moving average.
const prefillMeanDivisor = 16

// recordPrefillTime adds the duration of the finished prefill, divided by the number of
// prompt tokens, to the moving average.
func (r *Router) recordPrefillTime(q *request) {
	if q.prefill.grantedAt.IsZero() || q.call.PromptTokens == 0 {
		return
	}
	nanosPerToken := float64(r.now.Sub(q.prefill.grantedAt)) / float64(q.call.PromptTokens)
	r.prefillNanosPerToken += (nanosPerToken - r.prefillNanosPerToken) / prefillMeanDivisor
}

// sharedName returns the request name that all requests with the same workspace, route
// and idempotency key share.
func sharedName(workspace, route, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + route + "\x00" + key))
	return "k-" + hex.EncodeToString(h[:12])
}

// applyQuotaEffects turns the effects of the quota reserver into effects of the router,
// and continues or fails the requests whose reservation is decided.
func (r *Router) applyQuotaEffects(effects []quota.Effect) {
	for _, x := range effects {
		switch x := x.(type) {
		case quota.Reserve:
			r.emit(Reserve{ID: RequestID(x.ID), VM: x.VM, Name: x.Name, Workspace: x.Workspace, Tokens: x.Tokens})
		case quota.Release:
			r.emit(Settle{VM: x.VM, Name: x.Name, Workspace: x.Workspace})
		case quota.Ready:
			q := r.requests[RequestID(x.ID)]
			q.parts = x.Grants
			r.trace(trace.Reserved, q, "", fmt.Sprint(q.maxCost()))
			r.openNextRun(q)
		case quota.Refuse:
			r.refuseReservation(r.requests[RequestID(x.ID)], x)
		}
	}
}

func (r *Router) reserveAnswered(e ReserveAnswered) {
	var a *quota.ReserveReply
	if e.Err == nil {
		a = &quota.ReserveReply{
			Granted:  e.Reply.GetGranted(),
			Balance:  e.Reply.GetBalance(),
			IsHolder: e.Reply.GetHolder(),
		}
	}
	r.applyQuotaEffects(r.reserver.HandleReply(r.now, uint64(e.ID), e.VM, a))
}

// refuseReservation fails a request whose tokens can't be reserved in time, or for which
// no holder answered. A holder is a process that keeps a share of a workspace's rate limit.
func (r *Router) refuseReservation(q *request, x quota.Refuse) {
	if !x.Reached {
		r.fail(q, fault.NotRun(fault.NotReady, "no holder of the workspace's limit could be reached").WithRetryAt(x.RetryAt))
		return
	}
	v, _ := r.tree.WorkspaceValues(q.workspace)
	r.fail(q, fault.NotRun(fault.OverLimit, "the workspace's rate of %d tokens a second is used up", v.Rate).WithRetryAt(x.RetryAt))
}
