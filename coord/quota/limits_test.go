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

// arrival is one request for tokens.
type arrival struct {
	at     time.Time
	tokens int64
	// granted is when the last holder granted; zero when the request was refused.
	granted time.Time
}

// run is one randomised run of limits.
type run struct {
	*fake.Fleet
	policy   policy
	serial   int
	arrivals map[string][]*arrival
	// grants are the times and amounts that entries took.
	grants map[string][]grant
	// replaced counts VMs that came in place of others.
	replaced int
	local    map[string]*quota.Holder
	// only restricts the load to entries whose name starts with it.
	only string
	// whole are the holders of whole limits under the policy of one owner.
	whole map[string]*quota.Holder
	// reservers are those of the entries.
	reservers map[string]*quota.Reserver
	asked     map[uint64]*arrival
	// granted are the answers of holders by reservation.
	granted    map[string]grant
	workspaces map[*arrival]string
}

type grant struct {
	at     time.Time
	tokens int64
}

// policy is a way to keep a limit.
type policy string

const (
	shares policy = "shares"
	split  policy = "static split"
	owner  policy = "one owner"
)

func newRun(seed uint64, p policy, f fake.Faults) *run {
	r := &run{
		Fleet:      fake.NewFleet(seed, f),
		policy:     p,
		arrivals:   map[string][]*arrival{},
		grants:     map[string][]grant{},
		local:      map[string]*quota.Holder{},
		whole:      map[string]*quota.Holder{},
		reservers:  map[string]*quota.Reserver{},
		asked:      map[uint64]*arrival{},
		granted:    map[string]grant{},
		workspaces: map[*arrival]string{},
	}
	return r
}

func (r *run) boot(doc string) {
	if err := r.PutDoc(doc); err != nil {
		panic(err)
	}
	for _, c := range centres {
		for i := range agents {
			r.add(vm(c, fleet.Agent, i))
		}
		for i := range entries {
			r.add(vm(c, fleet.Entry, i))
		}
	}
}

func vm(centre string, role fleet.Role, i int) fleet.VM {
	n := fmt.Sprintf("%s-%s-%d", centre, role, i)
	return fleet.VM{Name: n, Role: role, DataCentre: centre, Address: n, State: fleet.Live}
}

func (r *run) add(v fleet.VM) {
	r.List(v)
	r.Start(v)
}

// replace removes a VM and lists a new one in its place. The old one may go on running,
// cut off from all but a few.
func (r *run) replace(name string, dead bool) {
	old, ok := r.Processes[name]
	if !ok {
		return
	}
	r.replaced++
	v := old.VM
	v.Name = fmt.Sprintf("%s-%s-r%d", v.DataCentre, v.Role, r.replaced)
	v.Address = v.Name
	if dead {
		r.Kill(name)
	}
	r.Unlist(name)
	r.add(v)
}

// ask makes one request at an entry.
func (r *run) ask(entry, workspace string, tokens int64) {
	p := r.Processes[entry]
	if p == nil || r.Frozen(entry) {
		return
	}
	r.serial++
	a := &arrival{at: r.Now(), tokens: tokens}
	r.arrivals[workspace] = append(r.arrivals[workspace], a)
	r.workspaces[a] = workspace
	switch r.policy {
	case split:
		r.askLocal(entry, workspace, a)
	case owner:
		top, ok := fleet.Top(p.List.All(func(v fleet.VM) bool { return v.Role == fleet.Agent }), workspace)
		if ok {
			r.askOwner(p, top.Name, workspace, a)
		}
	default:
		r.askHolders(p, workspace, a)
	}
}

func (r *run) askLocal(entry, workspace string, a *arrival) {
	h := r.local[entry]
	if h == nil {
		h = quota.NewHolder()
		h.Authorize(r.Now(), r.Now().Add(time.Hour))
		r.local[entry] = h
		for _, w := range r.Processes[entry].Tree.WorkspaceNames() {
			v, _ := r.Processes[entry].Tree.OfWorkspace(w)
			h.SetShare(r.Now(), w, quota.ShareLimit(v.Rate, v.Burst, len(centres)*entries), 0)
		}
	}
	if x := h.Reserve(r.Now(), fmt.Sprint(r.serial), workspace, a.tokens, false); x.Granted == a.tokens {
		r.take(workspace, a, []grant{{r.Now(), a.tokens}})
	}
}

// askOwner asks the agent that owns a whole limit under the entry's list. The owner
// starts empty, like a new holder of a share, and asks nobody.
func (r *run) askOwner(p *fake.Process, name, workspace string, a *arrival) {
	r.Calls++
	id := fmt.Sprint(r.serial)
	r.Send(p.VM.Name, name, func() {
		h := r.whole[name]
		if h == nil {
			h = quota.NewHolder()
			h.Authorize(r.Now(), r.Now().Add(time.Hour))
			r.whole[name] = h
			for _, w := range p.Tree.WorkspaceNames() {
				v, _ := p.Tree.OfWorkspace(w)
				h.SetShare(fake.Epoch, w, quota.ShareLimit(v.Rate, v.Burst, 1), 0)
			}
		}
		x := h.Reserve(r.Now(), id, workspace, a.tokens, false)
		at := r.Now()
		if x.Granted == a.tokens {
			r.Send(name, p.VM.Name, func() { r.take(workspace, a, []grant{{at, a.tokens}}) })
		}
	})
}

// patience is how long a request waits for tokens.
const patience = time.Second

// reserver returns the reserver of an entry's present life.
func (r *run) reserver(p *fake.Process) *quota.Reserver {
	key := fmt.Sprintf("%s/%d", p.VM.Name, r.Life(p.VM.Name))
	if x := r.reservers[key]; x != nil {
		return x
	}
	x := quota.NewReserver(p.VM.DataCentre)
	r.reservers[key] = x
	life := r.Life(p.VM.Name)
	var tick func()
	tick = func() {
		if r.Life(p.VM.Name) != life {
			return
		}
		r.Do(p.VM.Name, life, func() { r.effects(p, x, x.Tick(r.Now())) })
		r.After(10*time.Millisecond, tick)
	}
	r.After(0, tick)
	return x
}

// askHolders asks the holders of a workspace's shares.
func (r *run) askHolders(p *fake.Process, workspace string, a *arrival) {
	x := r.reserver(p)
	x.Configure(p.Tree, p.List)
	id := uint64(r.serial)
	r.asked[id] = a
	r.effects(p, x, x.Begin(r.Now(), quota.Request{
		ID:        id,
		Name:      fmt.Sprintf("%s/%d", p.VM.Name, id),
		Workspace: workspace,
		Tokens:    a.tokens,
		Deadline:     r.Now().Add(patience),
	}))
}

func (r *run) effects(p *fake.Process, x *quota.Reserver, effects []quota.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case quota.Reserve:
			r.Reserve(p.VM.Name, e.VM, e.Name, e.Workspace, e.Tokens, func(a *quota.ReserveReply, at time.Time) {
				if a != nil {
					r.granted[e.Name] = grant{at, a.Granted}
				}
				r.effects(p, x, x.HandleReply(r.Now(), e.ID, e.VM, a))
			})
		case quota.Release:
			r.Settle(p.VM.Name, e.VM, e.Name, e.Workspace, 0)
		case quota.Ready:
			var took []grant
			for _, y := range e.Grants {
				took = append(took, r.granted[y.Name])
			}
			a := r.asked[e.ID]
			r.take(r.workspaces[a], a, took)
		}
	}
}

func (r *run) take(workspace string, a *arrival, took []grant) {
	a.granted = r.Now()
	r.grants[workspace] = append(r.grants[workspace], took...)
}

// over returns by how many tokens at most a workspace got more than rate and burst
// allow in any interval.
func (r *run) over(workspace string, rate, burst int64) float64 {
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

// wrongful returns how many requests were refused although a single exact bucket had the
// tokens, and how many were granted. All that was granted is taken from the bucket when
// its request arrived, so a request that waits keeps its place before later ones.
func (r *run) wrongful(workspace string, rate, burst int64) (refused, granted int) {
	type step struct {
		at    time.Time
		take  int64
		asked *arrival
	}
	var steps []step
	for _, a := range r.arrivals[workspace] {
		if !a.granted.IsZero() {
			granted++
			steps = append(steps, step{at: a.at, take: a.tokens})
			continue
		}
		steps = append(steps, step{at: a.at, asked: a})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.at.Compare(b.at) })
	level := float64(burst)
	last := fake.Epoch
	for _, x := range steps {
		level = min(float64(burst), level+x.at.Sub(last).Seconds()*float64(rate)) - float64(x.take)
		last = x.at
		if x.asked != nil && level >= float64(x.asked.tokens) {
			refused++
		}
	}
	return refused, granted
}

// slack covers rounding to millionths of a token.
const slack = 0.01

func (r *run) violations() string {
	s := ""
	for _, w := range []struct {
		name        string
		rate, burst int64
	}{{"large", 600, 3000}, {"small", 30, 300}, {"other", 90, 900}} {
		if o := r.over(w.name, w.rate, w.burst); o > slack {
			s += fmt.Sprintf("%s got %.2f tokens more than rate and burst; ", w.name, o)
		}
	}
	return s
}

// load makes requests for a while, at a factor of the rates.
func (r *run) load(d time.Duration, factor float64) {
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

func (r *run) pickEntry() string {
	var names []string
	for _, n := range r.Names {
		if p := r.Processes[n]; p != nil && p.VM.Role == fleet.Entry && strings.HasPrefix(n, r.only) {
			names = append(names, n)
		}
	}
	return names[r.Rand.IntN(len(names))]
}

var faulty = fake.Faults{Loss: 0.02, Duplicate: 0.02, MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond, Late: 0.01, LateBy: 4 * time.Second}

func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRun(rapid.Uint64().Draw(t, "seed"), shares, faulty)
		faultRun(t, r)
		if v := r.violations(); v != "" {
			t.Fatal(v)
		}
	})
}

// caught reports whether some of a number of randomised runs with a planted fault
// break the limits.
func caught(plant func(*run)) bool {
	for seed := range 60 {
		r := newRun(uint64(seed), shares, faulty)
		plant(r)
		g := rapid.Custom(func(t *rapid.T) string {
			faultRun(t, r)
			return r.violations()
		})
		if g.Example(seed) != "" {
			return true
		}
	}
	return false
}

// TestNewHolderWithoutSealIsCaught plants the fault of holders that don't wait for the
// seal. The other fault, of holders that need no authority, is planted in
// TestHolderCutOffWithAnEntryLapses.
func TestNewHolderWithoutSealIsCaught(t *testing.T) {
	if !caught(func(r *run) { r.Unsealed = true }) {
		t.Error("no run broke the limits")
	}
}
