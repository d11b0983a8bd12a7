package quota

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
)

const (
	// minRoundDelay is the least time between two rounds of one request. A round asks
	// each holder once.
	minRoundDelay = 10 * time.Millisecond
	// unreachableRoundDelay is the time between two rounds when no holder replied.
	unreachableRoundDelay = 100 * time.Millisecond
	// silentPeriod is how long after a missing reply a holder stays last in the order in
	// which holders are asked.
	silentPeriod = 3 * time.Second
	// estimateMaxAge is how long a reply is used to estimate a holder's balance.
	estimateMaxAge = time.Minute
)

// Request is a request for tokens.
type Request struct {
	ID        uint64
	Name      string
	Workspace string
	Tokens    int64
	// Deadline is the time at which waiting for tokens ends.
	Deadline time.Time
}

// Grant is what one holder granted for a request. Name is that of the reservation at the
// holder.
type Grant struct {
	VM     string
	Name   string
	Tokens int64
}

// Effect is an output of a Reserver, which its caller carries out.
type Effect interface{ effect() }

// Reserve asks a holder for tokens. The caller passes the reply to HandleReply.
type Reserve struct {
	ID        uint64
	VM        string
	Name      string
	Workspace string
	Tokens    int64
}

// Release settles a reservation of which no token was used.
type Release struct {
	VM        string
	Name      string
	Workspace string
}

// Ready reports that a request has all its tokens.
type Ready struct {
	ID     uint64
	Grants []Grant
}

// Refuse reports that a request can't have its tokens before its deadline.
type Refuse struct {
	ID uint64
	// RetryAt is when the tokens may have been refilled.
	RetryAt time.Time
	// Reached is false when no agent that can grant from a share replied in the request's
	// last round. It is true for a request that is refused without a round.
	Reached bool
}

func (Reserve) effect() {}
func (Release) effect() {}
func (Ready) effect()   {}
func (Refuse) effect()  {}

// estimate is the balance that a holder last reported, in tokens.
type estimate struct {
	tokens int64
	at     time.Time
}

// pendingRequest is a request that does not have all its tokens yet.
type pendingRequest struct {
	Request
	missing int64
	// grants also lists holders that granted nothing or did not reply.
	grants []Grant
	round  int
	// holders are asked in this order; next is the index of the next one.
	holders []fleet.VM
	next    int
	// awaited is the reservation that a holder has yet to reply to; empty when there is none.
	awaited Grant
	// reached is true once a holder with IsHolder set has replied in this round.
	reached bool
	// waiting is true while the request is in no round. Its next round starts at retryAt, or
	// when the request becomes the first of its queue.
	waiting bool
	retryAt time.Time
}

// Reserver combines reservations from the holders of a workspace's shares: the agents, one
// in each data centre, that each hold a part of the workspace's token bucket. It belongs
// to one entry, a process that takes callers' requests. When tokens are short but will be
// refilled in time, the requests of a workspace wait in a FIFO queue.
type Reserver struct {
	dataCentre string
	tree       *tree.Tree
	list       *fleet.List
	pending    map[uint64]*pendingRequest
	// queues holds the FIFO queue of each workspace. Its first request may be in a round.
	queues map[string][]*pendingRequest
	// estimates is keyed by workspace and VM.
	estimates map[string]map[string]estimate
	// silentUntil is the time until which a VM that did not reply is asked last.
	silentUntil map[string]time.Time
	effects     []Effect
}

// NewReserver returns the reserver of an entry in a data centre.
func NewReserver(dataCentre string) *Reserver {
	return &Reserver{
		dataCentre:  dataCentre,
		tree:        tree.Empty(),
		list:        fleet.NewList(0, nil),
		pending:     map[uint64]*pendingRequest{},
		queues:      map[string][]*pendingRequest{},
		estimates:   map[string]map[string]estimate{},
		silentUntil: map[string]time.Time{},
	}
}

// Configure replaces the settings and the list.
func (r *Reserver) Configure(t *tree.Tree, l *fleet.List) {
	r.tree, r.list = t, l
}

// Begin starts a request for tokens. If others of the workspace are waiting, it queues
// behind them, or is refused when it would not get its tokens before its deadline.
func (r *Reserver) Begin(now time.Time, q Request) []Effect {
	r.effects = nil
	x := &pendingRequest{Request: q, missing: q.Tokens}
	queue := r.queues[q.Workspace]
	if len(queue) > 0 {
		needed := q.Tokens
		for _, o := range queue {
			needed += o.missing
		}
		if retryAt := now.Add(r.refillTime(q.Workspace, needed)); retryAt.After(q.Deadline) {
			r.emit(Refuse{ID: q.ID, RetryAt: retryAt, Reached: true})
			return r.effects
		}
	}
	r.pending[q.ID] = x
	if len(queue) > 0 {
		x.waiting = true
		r.queues[q.Workspace] = append(queue, x)
		return r.effects
	}
	r.startRound(now, x)
	return r.effects
}

// refillTime returns how long the shares of a workspace together need to refill tokens.
func (r *Reserver) refillTime(workspace string, tokens int64) time.Duration {
	v, ok := r.tree.WorkspaceValues(workspace)
	if !ok || v.Rate <= 0 {
		return ReservationTimeout
	}
	return time.Duration(float64(tokens) / float64(v.Rate) * float64(time.Second))
}

func (r *Reserver) emit(e Effect) { r.effects = append(r.effects, e) }

// startRound asks the holders one after another for what is missing, the likeliest first.
func (r *Reserver) startRound(now time.Time, x *pendingRequest) {
	x.round++
	x.waiting = false
	x.reached = false
	x.holders = r.rankHolders(now, x)
	x.next = 0
	r.askNext(now, x)
}

// rankHolders returns the holders of a workspace in the order in which they are asked:
// the one in this data centre if it has enough and at least half as much as the fullest,
// then by estimated balance, fullest first.
func (r *Reserver) rankHolders(now time.Time, x *pendingRequest) []fleet.VM {
	vms := Holders(r.tree, r.list, r.dataCentre, x.Workspace)
	balances := map[string]int64{}
	most := int64(0)
	for _, v := range vms {
		e := r.estimate(now, x.Workspace, v.Name, len(vms))
		balances[v.Name] = e
		most = max(most, e)
	}
	if len(vms) > 0 {
		home := vms[0]
		if home.DataCentre == r.dataCentre && balances[home.Name] >= x.missing && 2*balances[home.Name] >= most {
			balances[home.Name] = most + 1
		}
	}
	slices.SortStableFunc(vms, func(a, b fleet.VM) int {
		return cmp.Compare(balances[b.Name], balances[a.Name])
	})
	return vms
}

// estimate returns how many tokens a holder may have now: its last reported balance and
// the refill since, a full share if it reported none lately, or -1 if it is silent.
func (r *Reserver) estimate(now time.Time, workspace, vm string, holders int) int64 {
	v, _ := r.tree.WorkspaceValues(workspace)
	burst := v.Burst / int64(holders)
	if now.Before(r.silentUntil[vm]) {
		return -1
	}
	e, ok := r.estimates[workspace][vm]
	if !ok || now.Sub(e.at) > estimateMaxAge {
		return burst
	}
	refilled := int64(now.Sub(e.at).Seconds() * float64(v.Rate) / float64(holders))
	return min(burst, e.tokens+refilled)
}

// askNext asks the next holder of the round, or ends the round when no tokens are missing
// or no holder is left.
func (r *Reserver) askNext(now time.Time, x *pendingRequest) {
	if x.missing <= 0 {
		r.complete(now, x)
		return
	}
	if x.next == len(x.holders) {
		r.waitOrRefuse(now, x)
		return
	}
	v := x.holders[x.next]
	x.next++
	x.awaited = Grant{VM: v.Name, Name: fmt.Sprintf("%s/%d@%s", x.Name, x.round, v.Name)}
	r.emit(Reserve{ID: x.ID, VM: v.Name, Name: x.awaited.Name, Workspace: x.Workspace, Tokens: x.missing})
}

// HandleReply handles a holder's reply to a Reserve effect; reply is nil when there was
// none.
func (r *Reserver) HandleReply(now time.Time, id uint64, vm string, reply *ReserveReply) []Effect {
	r.effects = nil
	x := r.pending[id]
	if x == nil || x.awaited.VM != vm {
		return nil
	}
	g := x.awaited
	x.awaited = Grant{}
	r.updateEstimate(now, x.Workspace, vm, reply)
	if reply != nil {
		g.Tokens = reply.Granted
		x.missing -= reply.Granted
		x.reached = x.reached || reply.IsHolder
	}
	// A holder that did not reply may have granted tokens all the same, so its
	// reservation is recorded to be released later.
	x.grants = append(x.grants, g)
	r.askNext(now, x)
	return r.effects
}

// updateEstimate records the balance in a holder's reply, or that the holder is silent.
func (r *Reserver) updateEstimate(now time.Time, workspace, vm string, reply *ReserveReply) {
	if reply == nil {
		r.silentUntil[vm] = now.Add(silentPeriod)
		return
	}
	delete(r.silentUntil, vm)
	m := r.estimates[workspace]
	if m == nil {
		m = map[string]estimate{}
		r.estimates[workspace] = m
	}
	m[vm] = estimate{reply.Balance, now}
}

// waitOrRefuse queues a request until the missing tokens may have been refilled, or
// refuses it if that is after its deadline.
func (r *Reserver) waitOrRefuse(now time.Time, x *pendingRequest) {
	wait := unreachableRoundDelay
	if x.reached {
		wait = max(r.refillTime(x.Workspace, x.missing), minRoundDelay)
	}
	x.retryAt = now.Add(wait)
	if x.retryAt.After(x.Deadline) {
		r.emit(Refuse{ID: x.ID, RetryAt: x.retryAt, Reached: x.reached})
		r.abort(now, x)
		return
	}
	x.waiting = true
	if queue := r.queues[x.Workspace]; !slices.Contains(queue, x) {
		r.queues[x.Workspace] = append(queue, x)
	}
}

// complete reports a request as ready and releases its reservations that have no tokens.
func (r *Reserver) complete(now time.Time, x *pendingRequest) {
	var grants []Grant
	for _, g := range x.grants {
		if g.Tokens > 0 {
			grants = append(grants, g)
			continue
		}
		r.emit(Release{g.VM, g.Name, x.Workspace})
	}
	r.emit(Ready{x.ID, grants})
	delete(r.pending, x.ID)
	r.dequeue(now, x)
}

// Cancel ends a request that no longer needs its tokens.
func (r *Reserver) Cancel(now time.Time, id uint64) []Effect {
	r.effects = nil
	if x := r.pending[id]; x != nil {
		r.abort(now, x)
	}
	return r.effects
}

// abort ends a request and releases all its reservations.
func (r *Reserver) abort(now time.Time, x *pendingRequest) {
	if x.awaited.VM != "" {
		x.grants = append(x.grants, x.awaited)
	}
	for _, g := range x.grants {
		r.emit(Release{g.VM, g.Name, x.Workspace})
	}
	delete(r.pending, x.ID)
	r.dequeue(now, x)
}

// dequeue removes a request from its queue. If it was the first, the next one starts a
// round.
func (r *Reserver) dequeue(now time.Time, x *pendingRequest) {
	queue := r.queues[x.Workspace]
	i := slices.Index(queue, x)
	if i < 0 {
		return
	}
	queue = slices.Delete(queue, i, i+1)
	r.queues[x.Workspace] = queue
	if len(queue) == 0 {
		delete(r.queues, x.Workspace)
		return
	}
	if i == 0 && queue[0].waiting {
		r.startRound(now, queue[0])
	}
}

// Tick starts the next round of each queue's first request once it is due.
func (r *Reserver) Tick(now time.Time) []Effect {
	r.effects = nil
	for _, w := range slices.Sorted(maps.Keys(r.queues)) {
		queue := r.queues[w]
		if len(queue) == 0 {
			continue
		}
		if x := queue[0]; x.waiting && !now.Before(x.retryAt) {
			r.startRound(now, x)
		}
	}
	for n, until := range r.silentUntil {
		if !now.Before(until) {
			delete(r.silentUntil, n)
		}
	}
	return r.effects
}
