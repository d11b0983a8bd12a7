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
	// minWait is the least time between two rounds of questions for one request.
	minWait = 10 * time.Millisecond
	// unreachedWait is the time between two rounds when no holder answered.
	unreachedWait = 100 * time.Millisecond
	// silentTerm is how long a holder that did not answer is asked last.
	silentTerm = 3 * time.Second
	// estimateTerm is how long an answer says something about a holder's balance.
	estimateTerm = time.Minute
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

// Grant is what one holder granted for a request. Name is that of the reservation.
type Grant struct {
	VM     string
	Name   string
	Tokens int64
}

// Effect is an output of a Reserver.
type Effect interface{ effect() }

// Reserve asks a holder for tokens. Its answer goes to Answered.
type Reserve struct {
	ID        uint64
	VM        string
	Name      string
	Workspace string
	Tokens    int64
}

// Release settles a part of which nothing was used.
type Release struct {
	VM        string
	Name      string
	Workspace string
}

// Ready says that a request has its tokens.
type Ready struct {
	ID    uint64
	Grants []Grant
}

// Refuse says that a request can't have its tokens in time.
type Refuse struct {
	ID uint64
	// RetryAt is when the tokens may have refilled.
	RetryAt time.Time
	// Reached is false when no holder answered.
	Reached bool
}

func (Reserve) effect()      {}
func (Release) effect() {}
func (Ready) effect()    {}
func (Refuse) effect()   {}

type estimate struct {
	tokens int64
	at     time.Time
}

// wanting is a request that does not have all its tokens yet.
type wanting struct {
	Request
	missing int64
	parts   []Grant
	round   int
	order   []fleet.VM
	next    int
	asking  Grant
	reached bool
	// short is true between two rounds; the next begins at again.
	short bool
	again time.Time
}

// Reserver puts reservations together from the holders of a workspace's shares. It
// belongs to one entry. When tokens are short but will refill in time, requests of a
// workspace wait in the order of their arrival.
type Reserver struct {
	dataCentre string
	tree       *tree.Tree
	list       *fleet.List
	wants      map[uint64]*wanting
	lines      map[string][]*wanting
	estimates  map[string]map[string]estimate
	silent     map[string]time.Time
	effects    []Effect
}

// NewReserver returns the state of an entry in a data centre.
func NewReserver(dataCentre string) *Reserver {
	return &Reserver{
		dataCentre: dataCentre,
		tree:       tree.Empty(),
		list:       fleet.NewList(0, nil),
		wants:      map[uint64]*wanting{},
		lines:      map[string][]*wanting{},
		estimates:  map[string]map[string]estimate{},
		silent:     map[string]time.Time{},
	}
}

// Configure takes a new tree and list.
func (r *Reserver) Configure(t *tree.Tree, l *fleet.List) {
	r.tree, r.list = t, l
}

// Begin starts a request for tokens.
func (r *Reserver) Begin(now time.Time, w Request) []Effect {
	r.effects = nil
	x := &wanting{Request: w, missing: w.Tokens}
	line := r.lines[w.Workspace]
	if len(line) > 0 {
		ahead := w.Tokens
		for _, o := range line {
			ahead += o.missing
		}
		if again := now.Add(r.refill(w.Workspace, ahead)); again.After(w.Deadline) {
			r.emit(Refuse{ID: w.ID, RetryAt: again, Reached: true})
			return r.effects
		}
	}
	r.wants[w.ID] = x
	if len(line) > 0 {
		x.short = true
		r.lines[w.Workspace] = append(line, x)
		return r.effects
	}
	r.startRound(now, x)
	return r.effects
}

// refill returns how long the fleet needs to earn tokens for a workspace.
func (r *Reserver) refill(workspace string, tokens int64) time.Duration {
	v, ok := r.tree.OfWorkspace(workspace)
	if !ok || v.Rate <= 0 {
		return ReservationTimeout
	}
	return time.Duration(float64(tokens) / float64(v.Rate) * float64(time.Second))
}

func (r *Reserver) emit(e Effect) { r.effects = append(r.effects, e) }

// startRound asks the holders for what is missing, the likeliest first.
func (r *Reserver) startRound(now time.Time, x *wanting) {
	x.round++
	x.short = false
	x.reached = false
	x.order = r.order(now, x)
	x.next = 0
	r.askNext(now, x)
}

// order returns the holders of a workspace in the order in which they are asked: the one
// in this data centre if it has enough and isn't much emptier than the others, then the
// fullest first.
func (r *Reserver) order(now time.Time, x *wanting) []fleet.VM {
	vms := Holders(r.tree, r.list, r.dataCentre, x.Workspace)
	full := map[string]int64{}
	most := int64(0)
	for _, v := range vms {
		e := r.estimate(now, x.Workspace, v.Name, len(vms))
		full[v.Name] = e
		most = max(most, e)
	}
	if len(vms) > 0 {
		home := vms[0]
		if home.DataCentre == r.dataCentre && full[home.Name] >= x.missing && 2*full[home.Name] >= most {
			full[home.Name] = most + 1
		}
	}
	slices.SortStableFunc(vms, func(a, b fleet.VM) int {
		return cmp.Compare(full[b.Name], full[a.Name])
	})
	return vms
}

// estimate returns what a holder may have now, in tokens.
func (r *Reserver) estimate(now time.Time, workspace, vm string, holders int) int64 {
	v, _ := r.tree.OfWorkspace(workspace)
	burst := v.Burst / int64(holders)
	if now.Before(r.silent[vm]) {
		return -1
	}
	e, ok := r.estimates[workspace][vm]
	if !ok || now.Sub(e.at) > estimateTerm {
		return burst
	}
	earned := int64(now.Sub(e.at).Seconds() * float64(v.Rate) / float64(holders))
	return min(burst, e.tokens+earned)
}

func (r *Reserver) askNext(now time.Time, x *wanting) {
	if x.missing <= 0 {
		r.ready(now, x)
		return
	}
	if x.next == len(x.order) {
		r.shortage(now, x)
		return
	}
	v := x.order[x.next]
	x.next++
	x.asking = Grant{VM: v.Name, Name: fmt.Sprintf("%s/%d@%s", x.Name, x.round, v.Name)}
	r.emit(Reserve{ID: x.ID, VM: v.Name, Name: x.asking.Name, Workspace: x.Workspace, Tokens: x.missing})
}

// HandleReply takes a holder's answer, or its lack when a is nil.
func (r *Reserver) HandleReply(now time.Time, id uint64, vm string, a *ReserveReply) []Effect {
	r.effects = nil
	x := r.wants[id]
	if x == nil || x.asking.VM != vm {
		return nil
	}
	p := x.asking
	x.asking = Grant{}
	r.learn(now, x.Workspace, vm, a)
	if a != nil {
		p.Tokens = a.Granted
		x.missing -= a.Granted
		x.reached = x.reached || a.IsHolder
	}
	// A holder that didn't answer may have granted all the same.
	x.parts = append(x.parts, p)
	r.askNext(now, x)
	return r.effects
}

func (r *Reserver) learn(now time.Time, workspace, vm string, a *ReserveReply) {
	if a == nil {
		r.silent[vm] = now.Add(silentTerm)
		return
	}
	delete(r.silent, vm)
	m := r.estimates[workspace]
	if m == nil {
		m = map[string]estimate{}
		r.estimates[workspace] = m
	}
	m[vm] = estimate{a.Balance, now}
}

// shortage waits for the missing tokens if they can be there in time.
func (r *Reserver) shortage(now time.Time, x *wanting) {
	wait := unreachedWait
	if x.reached {
		wait = max(r.refill(x.Workspace, x.missing), minWait)
	}
	x.again = now.Add(wait)
	if x.again.After(x.Deadline) {
		r.emit(Refuse{ID: x.ID, RetryAt: x.again, Reached: x.reached})
		r.drop(now, x)
		return
	}
	x.short = true
	if line := r.lines[x.Workspace]; !slices.Contains(line, x) {
		r.lines[x.Workspace] = append(line, x)
	}
}

func (r *Reserver) ready(now time.Time, x *wanting) {
	var parts []Grant
	for _, p := range x.parts {
		if p.Tokens > 0 {
			parts = append(parts, p)
			continue
		}
		r.emit(Release{p.VM, p.Name, x.Workspace})
	}
	r.emit(Ready{x.ID, parts})
	delete(r.wants, x.ID)
	r.leave(now, x)
}

// Cancel ends a request that does not need its tokens any more.
func (r *Reserver) Cancel(now time.Time, id uint64) []Effect {
	r.effects = nil
	if x := r.wants[id]; x != nil {
		r.drop(now, x)
	}
	return r.effects
}

// drop gives back what a request has.
func (r *Reserver) drop(now time.Time, x *wanting) {
	if x.asking.VM != "" {
		x.parts = append(x.parts, x.asking)
	}
	for _, p := range x.parts {
		r.emit(Release{p.VM, p.Name, x.Workspace})
	}
	delete(r.wants, x.ID)
	r.leave(now, x)
}

// leave takes a request out of its line and lets the next one begin.
func (r *Reserver) leave(now time.Time, x *wanting) {
	line := r.lines[x.Workspace]
	i := slices.Index(line, x)
	if i < 0 {
		return
	}
	line = slices.Delete(line, i, i+1)
	r.lines[x.Workspace] = line
	if len(line) == 0 {
		delete(r.lines, x.Workspace)
		return
	}
	if i == 0 && line[0].short {
		r.startRound(now, line[0])
	}
}

// Tick lets waiting requests ask again.
func (r *Reserver) Tick(now time.Time) []Effect {
	r.effects = nil
	for _, w := range slices.Sorted(maps.Keys(r.lines)) {
		line := r.lines[w]
		if len(line) == 0 {
			continue
		}
		if x := line[0]; x.short && !now.Before(x.again) {
			r.startRound(now, x)
		}
	}
	for n, until := range r.silent {
		if !now.Before(until) {
			delete(r.silent, n)
		}
	}
	return r.effects
}
