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

func (r *Router) arrived(e Arrived) {
	q := &request{id: e.ID, call: e.Call, ran: wire.Ran_RAN_NO, avoid: map[string]bool{}}
	r.requests[e.ID] = q
	if err := r.admit(q); err != nil {
		r.finish(q, err)
		return
	}
	r.trace(trace.Arrived, q, "", q.call.Route)
	r.emit(Accepted{q.id, q.name()})
	if q.workspace == "" {
		r.place(q)
		return
	}
	q.phase = reserving
	r.reserve(r.reserver.Begin(r.now, quota.Want{
		ID:        uint64(q.id),
		Name:      fmt.Sprintf("%s/%x/%d", r.vm, r.seed, q.id),
		Workspace: q.workspace,
		Tokens:    q.cost(),
		Until:     q.startBy,
	}))
}

// admit resolves the key, the route and the values of a request.
func (r *Router) admit(q *request) *fault.Error {
	if !r.Ready() {
		return fault.NotRun(fault.NotReady, "this entry takes no requests now").WithAgain(r.now.Add(againDelay))
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
	return r.fill(q, route)
}

func (r *Router) fill(q *request, route tree.Route) *fault.Error {
	q.service = route.Service
	q.values, _ = r.tree.OfRoute(q.call.Route)
	q.generated = r.tree.ServiceKind(route.Service) == tree.Generate
	q.weight = 1
	if v, ok := r.tree.OfWorkspace(q.workspace); ok {
		q.weight = v.Weight
	}
	q.startBy = r.now.Add(q.values.Patience)
	if r.policy.AdmissionControl && q.generated && q.values.Class == tree.Interactive {
		q.startBy = r.now.Add(min(q.values.Patience, r.slack(q)))
	}
	q.deadline = r.now.Add(q.values.Timeout)
	if q.keyed() {
		q.call.Name = keyedName(q.workspace, q.call.Route, q.call.IdempotencyKey)
	}
	if q.generated {
		q.call.Path = route.Model
		if q.call.MaxTokens == 0 || q.call.MaxTokens > q.values.MaxTokens {
			q.call.MaxTokens = q.values.MaxTokens
		}
	}
	if v, ok := r.tree.OfWorkspace(q.workspace); ok && q.cost() > v.Burst {
		return fault.NotRun(fault.TooLarge, "the request needs %d tokens; the workspace's burst is %d", q.cost(), v.Burst)
	}
	return nil
}

// Bounds of how long an interactive request may wait for its slots.
const (
	// decodeStart covers the transfer of a KV cache and the first token.
	decodeStart = 60 * time.Millisecond
	// minSlack is granted also to prompts whose prefill takes longer than the target.
	minSlack = 50 * time.Millisecond
)

// slack returns how long a request may wait for its slots and still have its first token
// in time, by the mean time that prefills took for a token.
func (r *Router) slack(q *request) time.Duration {
	prefill := time.Duration(float64(q.call.PromptTokens) * r.perToken)
	return max(q.values.FirstToken-prefill-decodeStart, minSlack)
}

// perTokenParts is one over the weight of the newest prefill in the mean.
const perTokenParts = 16

// learnPrefill takes in how long a prefill took.
func (r *Router) learnPrefill(q *request) {
	if q.prefill.granted.IsZero() || q.call.PromptTokens == 0 {
		return
	}
	took := float64(r.now.Sub(q.prefill.granted)) / float64(q.call.PromptTokens)
	r.perToken += (took - r.perToken) / perTokenParts
}

// keyedName returns the name that all requests with an idempotency key share.
func keyedName(workspace, route, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + route + "\x00" + key))
	return "k-" + hex.EncodeToString(h[:12])
}

// reserve carries out what the reserver wants.
func (r *Router) reserve(effects []quota.Effect) {
	for _, x := range effects {
		switch x := x.(type) {
		case quota.Ask:
			r.emit(Reserve{ID: RequestID(x.ID), VM: x.VM, Name: x.Name, Workspace: x.Workspace, Tokens: x.Tokens})
		case quota.GiveBack:
			r.emit(Settle{VM: x.VM, Name: x.Name, Workspace: x.Workspace})
		case quota.Ready:
			q := r.requests[RequestID(x.ID)]
			q.parts = x.Parts
			r.trace(trace.Reserved, q, "", fmt.Sprint(q.cost()))
			r.place(q)
		case quota.Refuse:
			r.overLimit(r.requests[RequestID(x.ID)], x)
		}
	}
}

func (r *Router) tokensAnswered(e ReserveAnswered) {
	var a *quota.Answer
	if e.Err == nil {
		a = &quota.Answer{
			Granted: e.Reply.GetGranted(),
			Balance: e.Reply.GetBalance(),
			Holder:  e.Reply.GetHolder(),
		}
	}
	r.reserve(r.reserver.Answered(r.now, uint64(e.ID), e.VM, a))
}

func (r *Router) overLimit(q *request, x quota.Refuse) {
	if !x.Reached {
		r.finish(q, fault.NotRun(fault.NotReady, "no holder of the workspace's limit could be reached").WithAgain(x.Again))
		return
	}
	v, _ := r.tree.OfWorkspace(q.workspace)
	r.finish(q, fault.NotRun(fault.OverLimit, "the workspace's rate of %d tokens a second is used up", v.Rate).WithAgain(x.Again))
}
