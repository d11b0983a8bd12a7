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

// platformName is the network node of the platform, the configuration service.
const platformName = "platform"

// tick is the period of the Ticked events of a Fleet's processes.
const tick = 100 * time.Millisecond

// CallTimeout is the time limit of a call between processes. A read of the platform has
// twice that.
const CallTimeout = time.Second

// Platform is a simulated configuration service: a store of keys with a revision that
// each write increases.
type Platform struct {
	// Down drops every read, so that it times out. Stale answers reads from the copy that
	// Freeze made.
	Down, Stale bool
	// SlowBy is added to the duration of each read.
	SlowBy time.Duration
	// Reads counts the answered reads.
	Reads int

	revision uint64
	items    map[string]*wire.Change
	// snapshot and snapshotRevision are the copies of items and revision that Freeze made.
	snapshot         map[string]*wire.Change
	snapshotRevision uint64
}

// Freeze copies the current state, from which reads are answered while Stale is set. Unlike
// Net.Freeze it pauses nothing.
func (p *Platform) Freeze() {
	p.snapshotRevision = p.revision
	p.snapshot = map[string]*wire.Change{}
	for k, c := range p.items {
		p.snapshot[k] = c
	}
}

// Put writes a value as a new revision; a nil value deletes the key. A key that is written
// again after its deletion gets a new creation revision.
func (p *Platform) Put(key string, value []byte) {
	p.revision++
	c := &wire.Change{Key: key, Value: value, Revision: p.revision, Created: p.revision, Deleted: value == nil}
	if old := p.items[key]; old != nil && (!old.Deleted || c.Deleted) {
		c.Created = old.Created
	}
	p.items[key] = c
}

// Revision returns the revision of the latest write.
func (p *Platform) Revision() uint64 { return p.revision }

// answer returns the changes with a revision above after.
func (p *Platform) answer(after uint64) spread.ReadAnswered {
	p.Reads++
	items, revision := p.items, p.revision
	if p.Stale {
		items, revision = p.snapshot, p.snapshotRevision
	}
	a := spread.ReadAnswered{Revision: revision}
	for _, c := range items {
		if c.Revision > after {
			a.Changes = append(a.Changes, c)
		}
	}
	return a
}

// Process is a simulated process: the Syncer that replicates the configuration, the
// configuration itself and the Holder of its shares of the token limits of workspaces
// (customers). Only agents get shares.
type Process struct {
	VM     fleet.VM
	Spread *spread.Syncer
	Holder *quota.Holder
	Tree   *tree.Tree
	List   *fleet.List
	// Adopted is the time at which the process adopted each revision.
	Adopted map[uint64]time.Time
}

// Fleet simulates processes that replicate the configuration of a Platform.
type Fleet struct {
	*Net
	Platform  *Platform
	Processes map[string]*Process
	// Names lists all processes ever started, in the order of their first start.
	Names []string
	// Term and Margin are the duration and the safety margin of the lease that lets a
	// process hold shares.
	Term, Margin time.Duration
	// AlwaysAuthorized gives holders authority without a lease from their start, for 24
	// hours. It injects a fault that tests must detect.
	AlwaysAuthorized bool
	// SkipSealing makes holders treat the epoch of an adopted list of VMs as sealed at once,
	// although other VMs may still act on an earlier list. Holders then refill new shares
	// too early. It injects a fault that tests must detect.
	SkipSealing bool
	// Calls counts the Reserve and Settle calls to holders, with retries.
	Calls int
	// Exchanged, if set, is called for each digest that is sent.
	Exchanged func(from, to string, d *wire.Digest)
	// Check, if set, is called after each step of a process.
	Check func(*Process)
}

// NewFleet returns a fleet without processes, with an empty platform.
func NewFleet(seed uint64, f Faults) *Fleet {
	return &Fleet{
		Net:       New(seed, f),
		Platform:  &Platform{items: map[string]*wire.Change{}},
		Processes: map[string]*Process{},
		Term:      10 * time.Second,
		Margin:    quota.DefaultLeaseMargin,
	}
}

// PutDoc splits a settings document into keys and publishes each. It returns an error if
// the document can't be split.
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

// PutAll publishes VMs under a single revision.
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

// Start starts a process, or restarts it without its earlier state.
func (f *Fleet) Start(v fleet.VM) *Process {
	if f.Processes[v.Name] == nil {
		f.Names = append(f.Names, v.Name)
	}
	f.Restart(v.Name)
	restarts := f.Restarts(v.Name)
	p := &Process{
		VM:      v,
		Spread:  spread.New(f.Now(), v.Name, v.DataCentre, restarts, f.seeds(v.Name), spread.WithTerm(f.Term, f.Margin)),
		Holder:  quota.NewHolder(),
		Tree:    tree.Empty(),
		List:    fleet.NewList(0, nil),
		Adopted: map[uint64]time.Time{},
	}
	if f.AlwaysAuthorized {
		p.Holder.Authorize(f.Now(), f.Now().Add(24*time.Hour))
	}
	f.Processes[v.Name] = p
	f.startTicking(p, restarts)
	return p
}

// Kill stops a process and removes it; it stays in Names.
func (f *Fleet) Kill(name string) {
	f.Restart(name)
	delete(f.Processes, name)
}

// seeds returns up to three other processes, through which a process joins the others.
func (f *Fleet) seeds(name string) []string {
	var r []string
	for _, n := range f.Names {
		if n != name && len(r) < 3 {
			r = append(r, n)
		}
	}
	return r
}

func (f *Fleet) startTicking(p *Process, restarts uint64) {
	name := p.VM.Name
	var next func()
	next = func() {
		if f.Restarts(name) != restarts {
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

// read sends a read to the platform. A watch without newer changes is answered after a
// quarter of spread.WatchWait, with the changes that were made meanwhile. A read that is not
// answered within 2*CallTimeout fails.
func (f *Fleet) read(p *Process, x spread.Read) {
	name, restarts := p.VM.Name, f.Restarts(p.VM.Name)
	answered := false
	done := func(a spread.ReadAnswered) {
		f.Do(name, restarts, func() {
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

func (f *Fleet) notifyExchanged(from, to string, d *wire.Digest) {
	if f.Exchanged != nil {
		f.Exchanged(from, to, d)
	}
}

// errTimeout is the error of a read of the platform or a Cancel call that was not answered
// within its time limit.
var errTimeout = fmt.Errorf("no answer in time")

func (f *Fleet) exchange(p *Process, x spread.Exchange) {
	name, restarts := p.VM.Name, f.Restarts(p.VM.Name)
	answered := false
	done := func(d *wire.Digest) {
		f.Do(name, restarts, func() {
			if !answered {
				answered = true
				f.step(p, spread.ExchangeAnswered{Address: x.Address, Digest: d, SentAt: x.SentAt})
			}
		})
	}
	f.notifyExchanged(name, x.Address, x.Digest)
	f.Send(name, x.Address, func() {
		if q := f.Processes[x.Address]; q != nil {
			a := f.step(q, spread.ExchangeRequested{ExchangeID: 1, Digest: x.Digest})
			f.notifyExchanged(x.Address, name, a)
			f.Send(x.Address, name, func() { done(a) })
		}
	})
	f.After(CallTimeout, func() { done(nil) })
}

// Reserve requests tokens from a holder as an entry does. It calls done at most once: with
// the reply and the holder's time, or with a nil reply after CallTimeout.
func (f *Fleet) Reserve(from, holder, name, workspace string, tokens int64, done func(*quota.ReserveReply, time.Time)) {
	f.Calls++
	restarts := f.Restarts(from)
	answered := false
	once := func(a *quota.ReserveReply, at time.Time) {
		f.Do(from, restarts, func() {
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

// settleTries is the maximum number of attempts of a Settle.
const settleTries = 20

// Settle reports the used tokens of a reservation to its holder. It retries every
// CallTimeout until the holder confirms or settleTries attempts were made.
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
