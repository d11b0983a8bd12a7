package place

import (
	"math"
	"time"
)

const (
	// accountMemory is the time constant with which what a workspace was granted decays. It spans
	// several runs, which hold their places that long, and is short enough for a workspace that is
	// back to its usual to be served like the others before its callers give up.
	accountMemory = 5 * time.Second
	// maxAccounts bounds the workspaces that have an account at one engine, which grants far fewer
	// requests within accountMemory.
	maxAccounts = 256
	// negligibleTokens is the balance at which an account is closed.
	negligibleTokens = 1.0
)

// ShareState is how a workspace's use of an engine compares with its fair share when its request was
// decided on. It is the zero value if no workspaces or classes compete.
type ShareState struct {
	// Shared is true if several workspaces or classes of priority competed.
	Shared bool
	// OverShare is true if the workspace was beyond the fair level.
	OverShare bool
	// UsedTokens is what the workspace was granted lately, its requests ahead included, in tokens for
	// each unit of its weight. FairTokens is the level that all would have at equal shares.
	UsedTokens, FairTokens float64
	// Ahead is the number of requests that were to be served before.
	Ahead int
}

// waiting is a queued request.
type waiting struct {
	Request
	share ShareState
	// excess orders the requests of workspaces beyond the fair level, the least served first. It is 0
	// for the others.
	excess float64
}

// account is what a workspace was granted lately.
type account struct {
	// tokens is a decayed sum that isn't divided by the weight.
	tokens float64
	// weight is 0 for the account of all anonymous requests.
	weight float64
}

// accounts hold what each workspace was granted at one engine.
//
// It answers one workspace that sends many times its usual while places are short. By time alone
// it would take the places of all others. Workspaces that have had no more than the fair level go
// before it; what they leave unused it gets at once.
type accounts struct {
	byWorkspace map[string]*account
	// total is the sum of the balances.
	total float64
	// at is the time up to which the accounts have decayed.
	at time.Time
}

// decay lets the accounts decay up to now.
func (a *accounts) decay(now time.Time) {
	if !now.After(a.at) {
		return
	}
	f := math.Exp(-float64(now.Sub(a.at)) / float64(accountMemory))
	a.at = now
	a.total *= f
	for w, c := range a.byWorkspace {
		c.tokens *= f
		if c.tokens < negligibleTokens {
			a.close(w)
		}
	}
}

func (a *accounts) close(workspace string) {
	a.total = max(0, a.total-a.byWorkspace[workspace].tokens)
	delete(a.byWorkspace, workspace)
}

// charge adds a granted request to the account of its workspace.
func (a *accounts) charge(now time.Time, r Request) {
	a.decay(now)
	c := a.byWorkspace[r.Workspace]
	if c == nil {
		if len(a.byWorkspace) >= maxAccounts {
			a.closeLeast()
		}
		c = &account{}
		a.byWorkspace[r.Workspace] = c
	}
	c.weight = r.weight()
	c.tokens += r.cost()
	a.total += r.cost()
}

// closeLeast closes the account with the lowest balance.
func (a *accounts) closeLeast() {
	least, tokens := "", math.Inf(1)
	for w, c := range a.byWorkspace {
		if c.tokens < tokens || c.tokens == tokens && w < least {
			least, tokens = w, c.tokens
		}
	}
	a.close(least)
}

// totalWeight returns the sum of the weights of the workspaces that have an account or a request in
// the queue, and the weight of all anonymous requests. These come from entries of an earlier release and
// stand for all workspaces, so together they weigh as much as all others.
func (a *accounts) totalWeight(q []waiting) (total, anonymous float64) {
	hasAnonymous := false
	for _, c := range a.byWorkspace {
		total += c.weight
		hasAnonymous = hasAnonymous || c.weight == 0
	}
	seen := map[string]bool{}
	for i := range q {
		w := q[i].Workspace
		if q[i].isAnonymous() {
			hasAnonymous = true
		} else if a.byWorkspace[w] == nil && !seen[w] {
			total += q[i].weight()
		}
		seen[w] = true
	}
	total = max(1, total)
	if hasAnonymous {
		return 2 * total, total
	}
	return total, total
}

// rank sets the ShareState of the requests of a queue, which is in the order of service without
// sharing. A workspace's later requests count those before them as granted. It reports whether any are
// beyond their share.
func (a *accounts) rank(now time.Time, q []waiting) (isOver bool) {
	a.decay(now)
	total, anonymous := a.totalWeight(q)
	level := a.total / total
	had := make(map[string]float64, len(q))
	for i := range q {
		r := &q[i]
		tokens, ok := had[r.Workspace]
		if c := a.byWorkspace[r.Workspace]; !ok && c != nil {
			tokens = c.tokens
		}
		weight := r.weight()
		if r.isAnonymous() {
			weight = anonymous
		}
		r.share = ShareState{Shared: true, UsedTokens: tokens / weight, FairTokens: level, Ahead: r.share.Ahead}
		r.excess = 0
		// A request that only crosses the level is within it, since work comes in whole requests.
		if tokens-level*weight >= r.cost() {
			r.excess, r.share.OverShare = tokens/weight, true
			isOver = true
		}
		had[r.Workspace] = tokens + r.cost()
	}
	return isOver
}

// competes reports whether requests of several workspaces or classes of priority are queued.
func competes(q []waiting) bool {
	for i := range q {
		if q[i].Workspace != q[0].Workspace || q[i].Priority != q[0].Priority {
			return true
		}
	}
	return false
}
