package quota_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/quota"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	fake.FixRuns("20301", "25")
	os.Exit(m.Run())
}

const doc = `
root: {data-centres: [a, b, c]}
workspaces:
  large: {rate: 600, burst: 3000}
  small: {rate: 30, burst: 300}
  other: {rate: 90, burst: 900}
`

const (
	agents  = 3
	entries = 2
)

var centres = []string{"a", "b", "c"}

// arrival is one request for tokens at an entry.
type arrival struct {
	at     time.Time
	tokens int64
	// grantedAt is when the entry had all tokens; zero when the request was refused.
	grantedAt time.Time
}

// simulation is one randomised run of a fleet that enforces limits.
type simulation struct {
	*fake.Fleet
	policy   policy
	serial   int
	arrivals map[string][]*arrival
	// grants are the tokens that entries got, and when holders granted them.
	grants map[string][]grant
	// replacements counts the VMs that replaced others.
	replacements int
	localHolders map[string]*quota.Holder // by entry, under policySplit
	// entryPrefix restricts the load to entries whose name starts with it.
	entryPrefix string
	// owners are the holders of whole limits under policyOwner, by agent.
	owners map[string]*quota.Holder
	// reservers is keyed by entry and number of restarts.
	reservers map[string]*quota.Reserver
	byID      map[uint64]*arrival
	// holderGrants are the grants in the holders' replies, by reservation.
	holderGrants map[string]grant
	workspaceOf  map[*arrival]string
}

// grant is an amount of tokens and when a holder granted it.
type grant struct {
	at     time.Time
	tokens int64
}

// policy is a way to enforce a limit.
type policy string

const (
	policyShares policy = "shares"       // one share per data centre, as in the package
	policySplit  policy = "static split" // a fixed part of the limit per entry
	policyOwner  policy = "one owner"    // the whole limit at one agent
)

func newSimulation(seed uint64, p policy, f fake.Faults) *simulation {
	r := &simulation{
		Fleet:        fake.NewFleet(seed, f),
		policy:       p,
		arrivals:     map[string][]*arrival{},
		grants:       map[string][]grant{},
		localHolders: map[string]*quota.Holder{},
		owners:       map[string]*quota.Holder{},
		reservers:    map[string]*quota.Reserver{},
		byID:         map[uint64]*arrival{},
		holderGrants: map[string]grant{},
		workspaceOf:  map[*arrival]string{},
	}
	return r
}

func (r *simulation) startFleet(doc string) {
	if err := r.PutDoc(doc); err != nil {
		panic(err)
	}
	for _, c := range centres {
		for i := range agents {
			r.listAndStart(vm(c, fleet.Agent, i))
		}
		for i := range entries {
			r.listAndStart(vm(c, fleet.Entry, i))
		}
	}
}

func vm(centre string, role fleet.Role, i int) fleet.VM {
	n := fmt.Sprintf("%s-%s-%d", centre, role, i)
	return fleet.VM{Name: n, Role: role, DataCentre: centre, Address: n, State: fleet.Live}
}

func (r *simulation) listAndStart(v fleet.VM) {
	r.List(v)
	r.Start(v)
}

// replace lists a new VM in place of another, which goes on running unless dead is true.
func (r *simulation) replace(name string, dead bool) {
	old, ok := r.Processes[name]
	if !ok {
		return
	}
	r.replacements++
	v := old.VM
	v.Name = fmt.Sprintf("%s-%s-r%d", v.DataCentre, v.Role, r.replacements)
	v.Address = v.Name
	if dead {
		r.Kill(name)
	}
	r.Unlist(name)
	r.listAndStart(v)
}

// ask requests tokens at an entry, by the policy of the simulation.
func (r *simulation) ask(entry, workspace string, tokens int64) {
	p := r.Processes[entry]
	if p == nil || r.Frozen(entry) {
		return
	}
	r.serial++
	a := &arrival{at: r.Now(), tokens: tokens}
	r.arrivals[workspace] = append(r.arrivals[workspace], a)
	r.workspaceOf[a] = workspace
	switch r.policy {
	case policySplit:
		r.askLocal(entry, workspace, a)
	case policyOwner:
		top, ok := fleet.Top(p.List.Filter(func(v fleet.VM) bool { return v.Role == fleet.Agent }), workspace)
		if ok {
			r.askOwner(p, top.Name, workspace, a)
		}
	default:
		r.askHolders(p, workspace, a)
	}
}

func (r *simulation) askLocal(entry, workspace string, a *arrival) {
	h := r.localHolders[entry]
	if h == nil {
		h = quota.NewHolder()
		h.Authorize(r.Now(), r.Now().Add(time.Hour))
		r.localHolders[entry] = h
		for _, w := range r.Processes[entry].Tree.WorkspaceNames() {
			v, _ := r.Processes[entry].Tree.WorkspaceValues(w)
			h.SetShare(r.Now(), w, quota.ShareLimit(v.Rate, v.Burst, len(centres)*entries), 0)
		}
	}
	if x := h.Reserve(r.Now(), fmt.Sprint(r.serial), workspace, a.tokens, false); x.Granted == a.tokens {
		r.record(workspace, a, []grant{{r.Now(), a.tokens}})
	}
}

// askOwner asks the agent that owns the whole limit under the entry's list. The owner's
// bucket was empty at the start of the simulation, and the owner needs no authority.
func (r *simulation) askOwner(p *fake.Process, name, workspace string, a *arrival) {
	r.Calls++
	id := fmt.Sprint(r.serial)
	r.Send(p.VM.Name, name, func() {
		h := r.owners[name]
		if h == nil {
			h = quota.NewHolder()
			h.Authorize(r.Now(), r.Now().Add(time.Hour))
			r.owners[name] = h
			for _, w := range p.Tree.WorkspaceNames() {
				v, _ := p.Tree.WorkspaceValues(w)
				h.SetShare(fake.Epoch, w, quota.ShareLimit(v.Rate, v.Burst, 1), 0)
			}
		}
		x := h.Reserve(r.Now(), id, workspace, a.tokens, false)
		at := r.Now()
		if x.Granted == a.tokens {
			r.Send(name, p.VM.Name, func() { r.record(workspace, a, []grant{{at, a.tokens}}) })
		}
	})
}

// requestTimeout is how long a request waits for tokens.
const requestTimeout = time.Second

// reserver returns the reserver of an entry since its last start.
func (r *simulation) reserver(p *fake.Process) *quota.Reserver {
	key := fmt.Sprintf("%s/%d", p.VM.Name, r.Restarts(p.VM.Name))
	if x := r.reservers[key]; x != nil {
		return x
	}
	x := quota.NewReserver(p.VM.DataCentre)
	r.reservers[key] = x
	life := r.Restarts(p.VM.Name)
	var tick func()
	tick = func() {
		if r.Restarts(p.VM.Name) != life {
			return
		}
		r.Do(p.VM.Name, life, func() { r.carryOut(p, x, x.Tick(r.Now())) })
		r.After(10*time.Millisecond, tick)
	}
	r.After(0, tick)
	return x
}

// askHolders asks the holders of the workspace's shares through the entry's reserver.
func (r *simulation) askHolders(p *fake.Process, workspace string, a *arrival) {
	x := r.reserver(p)
	x.Configure(p.Tree, p.List)
	id := uint64(r.serial)
	r.byID[id] = a
	r.carryOut(p, x, x.Begin(r.Now(), quota.Request{
		ID:        id,
		Name:      fmt.Sprintf("%s/%d", p.VM.Name, id),
		Workspace: workspace,
		Tokens:    a.tokens,
		Deadline:  r.Now().Add(requestTimeout),
	}))
}

func (r *simulation) carryOut(p *fake.Process, x *quota.Reserver, effects []quota.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case quota.Reserve:
			r.Reserve(p.VM.Name, e.VM, e.Name, e.Workspace, e.Tokens, func(a *quota.ReserveReply, at time.Time) {
				if a != nil {
					r.holderGrants[e.Name] = grant{at, a.Granted}
				}
				r.carryOut(p, x, x.HandleReply(r.Now(), e.ID, e.VM, a))
			})
		case quota.Release:
			r.Settle(p.VM.Name, e.VM, e.Name, e.Workspace, 0)
		case quota.Ready:
			var grants []grant
			for _, y := range e.Grants {
				grants = append(grants, r.holderGrants[y.Name])
			}
			a := r.byID[e.ID]
			r.record(r.workspaceOf[a], a, grants)
		}
	}
}

// record marks a request as granted, with what holders granted for it.
func (r *simulation) record(workspace string, a *arrival, grants []grant) {
	a.grantedAt = r.Now()
	r.grants[workspace] = append(r.grants[workspace], grants...)
}

// overIssue returns the worst excess over rate and burst in any interval, in tokens.
func (r *simulation) overIssue(workspace string, rate, burst int64) float64 {
	g := slices.Clone(r.grants[workspace])
	slices.SortFunc(g, func(a, b grant) int { return a.at.Compare(b.at) })
	level, worst := float64(burst), 0.0
	last := fake.Epoch
	for _, x := range g {
		level = min(float64(burst), level+x.at.Sub(last).Seconds()*float64(rate)) - float64(x.tokens)
		last = x.at
		worst = max(worst, -level)
	}
	return worst
}

// wrongRefusals returns how many requests were refused although a single token bucket
// would have had the tokens, and how many were granted. A granted request takes its tokens
// from that bucket when it arrives, even if it was granted later.
func (r *simulation) wrongRefusals(workspace string, rate, burst int64) (refused, granted int) {
	type step struct {
		at      time.Time
		tokens  int64 // granted; 0 if refused
		refused *arrival
	}
	var steps []step
	for _, a := range r.arrivals[workspace] {
		if !a.grantedAt.IsZero() {
			granted++
			steps = append(steps, step{at: a.at, tokens: a.tokens})
			continue
		}
		steps = append(steps, step{at: a.at, refused: a})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.at.Compare(b.at) })
	level := float64(burst)
	last := fake.Epoch
	for _, x := range steps {
		level = min(float64(burst), level+x.at.Sub(last).Seconds()*float64(rate)) - float64(x.tokens)
		last = x.at
		if x.refused != nil && level >= float64(x.refused.tokens) {
			refused++
		}
	}
	return refused, granted
}

// tolerance, in tokens, covers rounding to millionths of a token.
const tolerance = 0.01

// violations describes the workspaces that exceeded their limits; empty if none did.
func (r *simulation) violations() string {
	s := ""
	for _, w := range []struct {
		name        string
		rate, burst int64
	}{{"large", 600, 3000}, {"small", 30, 300}, {"other", 90, 900}} {
		if o := r.overIssue(w.name, w.rate, w.burst); o > tolerance {
			s += fmt.Sprintf("%s exceeded its rate and burst by %.2f tokens; ", w.name, o)
		}
	}
	return s
}

// load makes requests for d, at factor times the rates of the workspaces.
func (r *simulation) load(d time.Duration, factor float64) {
	for _, w := range []struct {
		name   string
		rate   float64
		tokens int64
	}{{"large", 600, 100}, {"small", 30, 20}, {"other", 90, 60}} {
		end := r.Now().Add(d)
		var next func()
		next = func() {
			if r.Now().After(end) {
				return
			}
			r.ask(r.pickEntry(), w.name, 1+r.Rand.Int64N(2*w.tokens))
			gap := float64(w.tokens) / (w.rate * factor) * r.Rand.ExpFloat64()
			r.After(time.Duration(gap*float64(time.Second)), next)
		}
		r.After(0, next)
	}
}

func (r *simulation) pickEntry() string {
	var names []string
	for _, n := range r.Names {
		if p := r.Processes[n]; p != nil && p.VM.Role == fleet.Entry && strings.HasPrefix(n, r.entryPrefix) {
			names = append(names, n)
		}
	}
	return names[r.Rand.IntN(len(names))]
}

var lossyNetwork = fake.Faults{Loss: 0.02, Duplicate: 0.02, MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond, Late: 0.01, LateBy: 4 * time.Second}

func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimulation(rapid.Uint64().Draw(t, "seed"), policyShares, lossyNetwork)
		runWithFaults(t, r)
		if v := r.violations(); v != "" {
			t.Fatal(v)
		}
	})
}

// anyViolation reports whether a limit is exceeded in any of 60 random simulations in which
// disable has switched off a protection.
func anyViolation(disable func(*simulation)) bool {
	for seed := range 60 {
		r := newSimulation(uint64(seed), policyShares, lossyNetwork)
		disable(r)
		g := rapid.Custom(func(t *rapid.T) string {
			runWithFaults(t, r)
			return r.violations()
		})
		if g.Example(seed) != "" {
			return true
		}
	}
	return false
}

// TestUnsealedHoldersExceedLimits checks that the simulation detects holders that refill
// new shares before their epoch is sealed.
func TestUnsealedHoldersExceedLimits(t *testing.T) {
	if !anyViolation(func(r *simulation) { r.SkipSealing = true }) {
		t.Error("no simulation without sealing exceeded a limit")
	}
}
