package fake

import (
	"encoding/json"
	"fmt"
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/spread"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// platformName is the node that stands for the platform.
const platformName = "platform"

// tick is the period of the processes' Ticked events.
const tick = 100 * time.Millisecond

// CallTimeout is how long a process waits for an answer.
const CallTimeout = time.Second

// Platform is a configuration service inside a Net.
type Platform struct {
	// Down fails every read; Stale answers from the state at Freeze.
	Down, Stale bool
	// SlowBy is how much longer a read takes.
	SlowBy time.Duration
	// Reads counts calls.
	Reads int

	revision uint64
	items    map[string]*wire.Change
	frozen   map[string]*wire.Change
	frozenAt uint64
}

// Freeze keeps a copy of the state for stale answers.
func (p *Platform) Freeze() {
	p.frozenAt = p.revision
	p.frozen = map[string]*wire.Change{}
	for k, c := range p.items {
		p.frozen[k] = c
	}
}

// Put writes a value; a nil value removes the key.
func (p *Platform) Put(key string, value []byte) {
	p.revision++
	c := &wire.Change{Key: key, Value: value, Revision: p.revision, Created: p.revision, Deleted: value == nil}
	if old := p.items[key]; old != nil && (!old.Deleted || c.Deleted) {
		c.Created = old.Created
	}
	p.items[key] = c
}

// Revision returns the newest revision.
func (p *Platform) Revision() uint64 { return p.revision }

func (p *Platform) answer(after uint64) spread.ReadAnswered {
	p.Reads++
	items, revision := p.items, p.revision
	if p.Stale {
		items, revision = p.frozen, p.frozenAt
	}
	a := spread.ReadAnswered{Revision: revision}
	for _, c := range items {
		if c.Revision > after {
			a.Changes = append(a.Changes, c)
		}
	}
	return a
}

// Process is one process of the system: its configuration and, on agents, its shares.
type Process struct {
	VM     fleet.VM
	Spread *spread.Syncer
	Holder *quota.Holder
	Tree   *tree.Tree
	List   *fleet.List
	// Adopted is when the process adopted each revision.
	Adopted map[uint64]time.Time
}

// Fleet is a set of processes around a platform.
type Fleet struct {
	*Net
	Platform  *Platform
	Processes map[string]*Process
	// Names keeps the processes in the order of their start.
	Names []string
	// Term and Margin are those of the authority to hold shares.
	Term, Margin time.Duration
	// AlwaysAuthorized gives holders authority at once and for ever: a planted fault.
	AlwaysAuthorized bool
	// SkipSealing lets holders earn before their epoch is sealed: a planted fault.
	SkipSealing bool
	// Calls counts questions to holders.
	Calls int
	// Exchanged is called for each digest that is sent.
	Exchanged func(from, to string, d *wire.Digest)
	// Check is called after each step of a process.
	Check func(*Process)
}

// NewFleet returns a fleet without processes.
func NewFleet(seed uint64, f Faults) *Fleet {
	return &Fleet{
		Net:       New(seed, f),
		Platform:  &Platform{items: map[string]*wire.Change{}},
		Processes: map[string]*Process{},
		Term:      10 * time.Second,
		Margin:    quota.DefaultLeaseMargin,
	}
}

// PutDoc publishes a settings document.
func (f *Fleet) PutDoc(doc string) error {
	changes, err := tree.Split([]byte(doc))
	if err != nil {
		return err
	}
	for _, c := range changes {
		f.Platform.Put(c.Key, c.Value)
	}
	return nil
}

// PutAll publishes VMs as one change.
func (f *Fleet) PutAll(vms []fleet.VM) {
	f.Platform.revision++
	for _, v := range vms {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		r := f.Platform.revision
		k := spread.VMPrefix + v.Name
		f.Platform.items[k] = &wire.Change{Key: k, Value: b, Revision: r, Created: r}
	}
}

// List publishes a VM.
func (f *Fleet) List(v fleet.VM) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	f.Platform.Put(spread.VMPrefix+v.Name, b)
}

// Unlist removes a VM from the platform's list.
func (f *Fleet) Unlist(name string) { f.Platform.Put(spread.VMPrefix+name, nil) }

// Start starts a process, or starts it again with nothing kept.
func (f *Fleet) Start(v fleet.VM) *Process {
	if f.Processes[v.Name] == nil {
		f.Names = append(f.Names, v.Name)
	}
	f.Restart(v.Name)
	life := f.Restarts(v.Name)
	p := &Process{
		VM:      v,
		Spread:  spread.New(f.Now(), v.Name, v.DataCentre, life, f.seeds(v.Name), spread.WithTerm(f.Term, f.Margin)),
		Holder:  quota.NewHolder(),
		Tree:    tree.Empty(),
		List:    fleet.NewList(0, nil),
		Adopted: map[uint64]time.Time{},
	}
	if f.AlwaysAuthorized {
		p.Holder.Authorize(f.Now(), f.Now().Add(24*time.Hour))
	}
	f.Processes[v.Name] = p
	f.ticking(p, life)
	return p
}

// Kill ends a process for good.
func (f *Fleet) Kill(name string) {
	f.Restart(name)
	delete(f.Processes, name)
}

func (f *Fleet) seeds(name string) []string {
	var r []string
	for _, n := range f.Names {
		if n != name && len(r) < 3 {
			r = append(r, n)
		}
	}
	return r
}

func (f *Fleet) ticking(p *Process, life uint64) {
	name := p.VM.Name
	var next func()
	next = func() {
		if f.Restarts(name) != life {
			return
		}
		if !f.Frozen(name) {
			f.step(p, spread.Ticked{})
		}
		f.After(tick, next)
	}
	f.After(time.Duration(f.Rand.Int64N(int64(tick))), next)
}

func (f *Fleet) step(p *Process, e spread.Event) *wire.Digest {
	var answer *wire.Digest
	for _, x := range p.Spread.Step(f.Now(), e) {
		switch x := x.(type) {
		case spread.Read:
			f.read(p, x)
		case spread.Exchange:
			f.exchange(p, x)
		case spread.AnswerExchange:
			answer = x.Digest
		case spread.Adopt:
			f.adopt(p, x)
		case spread.Authorization:
			p.Holder.Authorize(f.Now(), x.Until)
			p.Holder.Seal(f.Now(), x.SealedEpoch)
		}
	}
	if f.Check != nil {
		f.Check(p)
	}
	return answer
}

func (f *Fleet) adopt(p *Process, x spread.Adopt) {
	p.Tree, p.List = x.Tree, x.List
	p.Adopted[p.Spread.Revision()] = f.Now()
	if p.VM.Role == fleet.Agent {
		p.Holder.UpdateShares(f.Now(), x.Tree, x.List, p.VM.Name, p.VM.DataCentre)
	}
	if f.SkipSealing {
		p.Holder.Seal(f.Now(), x.List.Epoch(p.VM.DataCentre))
	}
}

// read asks the platform. A watch comes back after its wait; changes within it are
// seen at its end.
func (f *Fleet) read(p *Process, x spread.Read) {
	name, life := p.VM.Name, f.Restarts(p.VM.Name)
	answered := false
	done := func(a spread.ReadAnswered) {
		f.Do(name, life, func() {
			if !answered {
				answered = true
				f.step(p, a)
			}
		})
	}
	f.Send(name, platformName, func() {
		wait := time.Duration(0)
		if x.Watch && f.Platform.revision <= x.After {
			wait = spread.WatchWait / 4
		}
		f.After(wait+f.Platform.SlowBy, func() {
			if f.Platform.Down {
				return
			}
			a := f.Platform.answer(x.After)
			f.Send(platformName, name, func() { done(a) })
		})
	})
	f.After(2*CallTimeout, func() { done(spread.ReadAnswered{Err: errTimeout}) })
}

func (f *Fleet) note(from, to string, d *wire.Digest) {
	if f.Exchanged != nil {
		f.Exchanged(from, to, d)
	}
}

var errTimeout = fmt.Errorf("no answer in time")

func (f *Fleet) exchange(p *Process, x spread.Exchange) {
	name, life := p.VM.Name, f.Restarts(p.VM.Name)
	answered := false
	done := func(d *wire.Digest) {
		f.Do(name, life, func() {
			if !answered {
				answered = true
				f.step(p, spread.ExchangeAnswered{Address: x.Address, Digest: d, SentAt: x.SentAt})
			}
		})
	}
	f.note(name, x.Address, x.Digest)
	f.Send(name, x.Address, func() {
		if q := f.Processes[x.Address]; q != nil {
			a := f.step(q, spread.ExchangeRequested{ExchangeID: 1, Digest: x.Digest})
			f.note(x.Address, name, a)
			f.Send(x.Address, name, func() { done(a) })
		}
	})
	f.After(CallTimeout, func() { done(nil) })
}

// Reserve asks a holder for tokens as an entry does. Done is called once, with no
// answer after CallTimeout.
func (f *Fleet) Reserve(from, holder, name, workspace string, tokens int64, done func(*quota.ReserveReply, time.Time)) {
	f.Calls++
	life := f.Restarts(from)
	answered := false
	once := func(a *quota.ReserveReply, at time.Time) {
		f.Do(from, life, func() {
			if !answered {
				answered = true
				done(a, at)
			}
		})
	}
	f.Send(from, holder, func() {
		if q := f.Processes[holder]; q != nil {
			a := q.Holder.Reserve(f.Now(), name, workspace, tokens, true)
			at := f.Now()
			f.Send(holder, from, func() { once(&a, at) })
		}
	})
	f.After(CallTimeout, func() { once(nil, f.Now()) })
}

// settleTries bounds how often a Settle is repeated.
const settleTries = 20

// Settle gives tokens back and repeats it until it is confirmed.
func (f *Fleet) Settle(from, holder, name, workspace string, used int64) {
	confirmed := false
	var try func(left int)
	try = func(left int) {
		if confirmed || left == 0 {
			return
		}
		f.Calls++
		f.Send(from, holder, func() {
			if q := f.Processes[holder]; q != nil {
				q.Holder.Settle(f.Now(), name, workspace, used)
				f.Send(holder, from, func() { confirmed = true })
			}
		})
		f.After(CallTimeout, func() { try(left - 1) })
	}
	try(settleTries)
}
