// Package fleet describes the VMs on which the processes of this project run, and ranks
// them by rendezvous hashing.
//
// The list of VMs comes from the platform, which in this project is the name of the external
// configuration service. It publishes the list and numbers the changes of it with revisions,
// which only grow.
//
// Each VM runs one of two programs, called its role. The entry receives the callers'
// requests; the agent runs beside one upstream, which is a model engine or a plain service.
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

// Role names the program that runs on a VM.
type Role string

// Roles of VMs, as described at the head of the package.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is the state of a VM in the platform's list.
type State string

// States of VMs. A leaving VM takes no new work.
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
	Ops string `json:"ops,omitempty"`
	// Service is the service of an agent's upstream.
	Service string `json:"service,omitempty"`
	// Stage is the stage of an agent's upstream: Prefill, Decode or Plain.
	Stage string `json:"stage,omitempty"`
	// Model is the model that an agent's engine serves. If Model is empty, the engine serves
	// all models.
	Model string `json:"model,omitempty"`
	// Version is that of the upstream's software. An answer doesn't go on at another one. It may be empty.
	Version string `json:"version,omitempty"`
	State   State  `json:"state"`
	// Evacuated is true for an agent whose data centre is evacuated: its upstream takes no new work.
	Evacuated bool `json:"-"`
	// CreatedRevision is the revision at which the platform added the VM to its list.
	CreatedRevision uint64 `json:"-"`
}

// RemovedVM is a VM that was removed from the platform's list.
type RemovedVM struct {
	VM
	// RemovedRevision is the revision at which the VM was removed.
	RemovedRevision uint64
}

// Stages of upstreams, as VM.Stage names them. An engine either reads prompts (prefill) or
// generates tokens (decode); a service that is no engine is plain.
const (
	Prefill = "prefill"
	Decode  = "decode"
	Plain   = "plain"
)

// Serves reports whether the VM is an agent of a service, stage and model. An empty
// model, as the argument or in the VM, matches all models.
func (v VM) Serves(service, stage, model string) bool {
	return v.Role == Agent && v.Service == service && v.Stage == stage &&
		(model == "" || v.Model == "" || v.Model == model)
}

// StageOf returns the protobuf value of a stage name, STAGE_UNKNOWN for other names.
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

// StageName returns the name of a protobuf stage value, "unknown" for other values.
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

// DecodeVM decodes a VM from the JSON that the platform publishes. The name, the data
// centre and the address are required.
func DecodeVM(b []byte) (v VM, err error) {
	defer fault.Annotate(&err, "decode VM")
	if err := json.Unmarshal(b, &v); err != nil {
		return VM{}, err
	}
	if v.Name == "" || v.DataCentre == "" || v.Address == "" {
		return VM{}, eris.Errorf("name is %q, data-centre is %q, address is %q; all three are required", v.Name, v.DataCentre, v.Address)
	}
	return v, nil
}

// List is the platform's list of VMs at one revision. It is immutable and safe for
// concurrent use.
type List struct {
	revision uint64
	vms      []VM
	removed  []RemovedVM
	byName   map[string]VM
	// evacuated are the data centres whose upstreams take no new work.
	evacuated []string
	// cache holds the results of LiveAgents and Agents by liveAgentsKey and agentsKey.
	cache *sync.Map
}

// NewList returns the list of vms at a revision, without removed VMs.
func NewList(revision uint64, vms []VM) *List {
	l := &List{revision: revision, vms: slices.Clone(vms), byName: make(map[string]VM, len(vms)), cache: &sync.Map{}}
	slices.SortFunc(l.vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range l.vms {
		l.byName[v.Name] = v
	}
	return l
}

// WithRemovedVMs returns a copy of the list in which the argument replaces the removed VMs.
func (l *List) WithRemovedVMs(removed []RemovedVM) *List {
	c := *l
	c.removed = slices.Clone(removed)
	c.cache = &sync.Map{}
	return &c
}

// RemovedVMs returns the VMs that were removed from a data centre. A removed VM
// whose data centre is not known belongs to every data centre.
func (l *List) RemovedVMs(dataCentre string) []RemovedVM {
	var r []RemovedVM
	for _, v := range l.removed {
		if v.DataCentre == dataCentre || v.DataCentre == "" {
			r = append(r, v)
		}
	}
	return r
}

// AllRemovedVMs returns the VMs that were removed from any data centre.
func (l *List) AllRemovedVMs() []RemovedVM { return l.removed }

// Members returns the listed VMs of a data centre, sorted by name.
func (l *List) Members(dataCentre string) []VM {
	return l.Filter(func(v VM) bool { return v.DataCentre == dataCentre })
}

// Epoch returns the epoch of a data centre: the revision at which a VM was last added to it
// or removed from it. Unlike Revision, it stays the same when listed VMs change, for example
// from live to leaving, so it identifies the set of VMs in the data centre.
func (l *List) Epoch(dataCentre string) uint64 {
	var e uint64
	for _, v := range l.vms {
		if v.DataCentre == dataCentre {
			e = max(e, v.CreatedRevision)
		}
	}
	for _, removed := range l.RemovedVMs(dataCentre) {
		e = max(e, removed.RemovedRevision)
	}
	return e
}

// Revision returns the revision of the newest change in the list.
func (l *List) Revision() uint64 { return l.revision }

// VM returns the VM with a name, and whether it is listed.
func (l *List) VM(name string) (VM, bool) {
	v, ok := l.byName[name]
	return v, ok
}

// Filter returns the VMs for which keep is true, sorted by name.
func (l *List) Filter(keep func(VM) bool) []VM {
	var r []VM
	for _, v := range l.vms {
		if keep(v) {
			r = append(r, v)
		}
	}
	return r
}

// cachedFilter returns the result that the cache holds under key. If there is none, it
// calls Filter and stores the result.
func (l *List) cachedFilter(key any, keep func(VM) bool) []VM {
	if r, ok := l.cache.Load(key); ok {
		return r.([]VM)
	}
	r := l.Filter(keep)
	l.cache.Store(key, r)
	return r
}

type liveAgentsKey struct{ service, stage, model string }

// LiveAgents returns the agents that take new work and serve a service, stage and model, in
// all data centres, sorted by name. An empty model matches all models. Callers must not
// change the slice.
func (l *List) LiveAgents(service, stage, model string) []VM {
	return l.cachedFilter(liveAgentsKey{service, stage, model}, func(v VM) bool {
		return v.TakesWork() && v.Serves(service, stage, model)
	})
}

type agentsKey struct{ dataCentre string }

// Agents returns the agents of a data centre, live or leaving, sorted by name. Callers
// must not change the slice.
func (l *List) Agents(dataCentre string) []VM {
	return l.cachedFilter(agentsKey{dataCentre}, func(v VM) bool {
		return v.Role == Agent && v.DataCentre == dataCentre
	})
}

// Score returns the score of a name for a key in rendezvous hashing (highest random
// weight): the XXH64 hash of name and key, separated by a zero byte.
func Score(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns a copy of vms in descending order of their rendezvous score for key.
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

// Top returns the VM with the highest rendezvous score for key; ok is false if vms is
// empty.
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
