// Package fleet describes the VMs that the platform lists, and ranks them.
package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Role is the program that runs on a VM.
type Role string

// Roles of VMs.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is the platform's view of a VM.
type State string

// States of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one machine in the platform's list.
type VM struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data-centre"`
	// Address is the host and port of the process's drpc server.
	Address string `json:"address"`
	// Ops is the host and port of the operators' HTTP server.
	Ops     string `json:"ops,omitempty"`
	Service string `json:"service,omitempty"`
	Stage   string `json:"stage,omitempty"`
	Model   string `json:"model,omitempty"`
	State   State  `json:"state"`
	// CreatedRevision is the revision at which the platform first listed the VM.
	CreatedRevision uint64 `json:"-"`
}

// RemovedVM is a VM that the platform no longer lists.
type RemovedVM struct {
	VM
	// RemovedRevision is the revision of its removal.
	RemovedRevision uint64
}

// Stages of upstreams in the list.
const (
	Prefill = "prefill"
	Decode  = "decode"
	Plain   = "plain"
)

// Serves reports whether the VM is an agent of a service, stage and model. An empty
// model accepts all.
func (v VM) Serves(service, stage, model string) bool {
	return v.Role == Agent && v.Service == service && v.Stage == stage &&
		(model == "" || v.Model == "" || v.Model == model)
}

// StageOf returns the wire form of a stage name.
func StageOf(s string) wire.Stage {
	switch s {
	case Prefill:
		return wire.Stage_STAGE_PREFILL
	case Decode:
		return wire.Stage_STAGE_DECODE
	case Plain:
		return wire.Stage_STAGE_PLAIN
	default:
		return wire.Stage_STAGE_UNKNOWN
	}
}

// StageName returns the name of a stage.
func StageName(s wire.Stage) string {
	switch s {
	case wire.Stage_STAGE_PREFILL:
		return Prefill
	case wire.Stage_STAGE_DECODE:
		return Decode
	case wire.Stage_STAGE_PLAIN:
		return Plain
	default:
		return "unknown"
	}
}

// DecodeVM reads a VM from the JSON that the platform publishes.
func DecodeVM(b []byte) (v VM, err error) {
	defer fault.Annotate(&err, "decode VM")
	if err := json.Unmarshal(b, &v); err != nil {
		return VM{}, err
	}
	if v.Name == "" || v.DataCentre == "" || v.Address == "" {
		return VM{}, eris.New("name, data-centre and address are required")
	}
	return v, nil
}

// List is the platform's list at one revision. It is immutable.
type List struct {
	revision uint64
	vms      []VM
	gone     []RemovedVM
	byName   map[string]VM
	// memo keeps the answers to repeated questions.
	memo *sync.Map
}

// NewList returns a list of vms at a revision.
func NewList(revision uint64, vms []VM) *List {
	l := &List{revision: revision, vms: slices.Clone(vms), byName: make(map[string]VM, len(vms)), memo: &sync.Map{}}
	slices.SortFunc(l.vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range l.vms {
		l.byName[v.Name] = v
	}
	return l
}

// WithRemovedVMs returns a copy of the list that also knows VMs of the past.
func (l *List) WithRemovedVMs(gone []RemovedVM) *List {
	c := *l
	c.gone = slices.Clone(gone)
	c.memo = &sync.Map{}
	return &c
}

// RemovedVMs returns the VMs of a data centre that are no longer listed. One whose data
// centre is not known counts for all.
func (l *List) RemovedVMs(dataCentre string) []RemovedVM {
	var r []RemovedVM
	for _, g := range l.gone {
		if g.DataCentre == dataCentre || g.DataCentre == "" {
			r = append(r, g)
		}
	}
	return r
}

// AllRemovedVMs returns all VMs that are no longer listed.
func (l *List) AllRemovedVMs() []RemovedVM { return l.gone }

// Members returns the VMs of a data centre.
func (l *List) Members(dataCentre string) []VM {
	return l.All(func(v VM) bool { return v.DataCentre == dataCentre })
}

// Epoch returns the revision at which a data centre last gained or lost a VM.
func (l *List) Epoch(dataCentre string) uint64 {
	var e uint64
	for _, v := range l.vms {
		if v.DataCentre == dataCentre {
			e = max(e, v.CreatedRevision)
		}
	}
	for _, g := range l.RemovedVMs(dataCentre) {
		e = max(e, g.RemovedRevision)
	}
	return e
}

// Revision returns the revision of the newest change in the list.
func (l *List) Revision() uint64 { return l.revision }

// VM returns the VM of a name.
func (l *List) VM(name string) (VM, bool) {
	v, ok := l.byName[name]
	return v, ok
}

// All returns the VMs for which keep is true, in the order of their names.
func (l *List) All(keep func(VM) bool) []VM {
	var r []VM
	for _, v := range l.vms {
		if keep(v) {
			r = append(r, v)
		}
	}
	return r
}

// memoized returns the VMs for which keep is true and remembers them under a key.
func (l *List) memoized(key any, keep func(VM) bool) []VM {
	if r, ok := l.memo.Load(key); ok {
		return r.([]VM)
	}
	r := l.All(keep)
	l.memo.Store(key, r)
	return r
}

type upstreamsKey struct{ service, stage, model string }

// Upstreams returns the agents that take new work of a service, stage and model.
// An empty model accepts all. Callers must not change the slice.
func (l *List) Upstreams(service, stage, model string) []VM {
	return l.memoized(upstreamsKey{service, stage, model}, func(v VM) bool {
		return v.State == Live && v.Serves(service, stage, model)
	})
}

type agentsKey struct{ dataCentre string }

// Agents returns the agents of a data centre. Callers must not change the slice.
func (l *List) Agents(dataCentre string) []VM {
	return l.memoized(agentsKey{dataCentre}, func(v VM) bool {
		return v.Role == Agent && v.DataCentre == dataCentre
	})
}

// Score returns the weight of a name for a key in rendezvous hashing.
func Score(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns vms in descending order of their rendezvous score for key.
func Rank(vms []VM, key string) []VM {
	r := slices.Clone(vms)
	slices.SortFunc(r, func(a, b VM) int {
		if c := cmp.Compare(Score(b.Name, key), Score(a.Name, key)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return r
}

// Top returns the VM with the highest rendezvous score for key.
func Top(vms []VM, key string) (top VM, ok bool) {
	var best uint64
	for _, v := range vms {
		s := Score(v.Name, key)
		if !ok || s > best {
			top, best, ok = v, s, true
		}
	}
	return top, ok
}
