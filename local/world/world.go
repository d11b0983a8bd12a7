// Package world runs the whole path in one process over loopback: stand-ins, agents and
// entries.
package world

import (
	"fmt"
	"io"
	"net/http"

	"cranberrypoint.example/agent/host"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/entry/edge"
	"cranberrypoint.example/local/stand"
	"github.com/sirupsen/logrus"
)

const anyPort = "127.0.0.1:0"

// DataCentre counts the VMs of one data centre.
type DataCentre struct {
	Name    string
	Entries int
	Prefill int
	Decode  int
	Plain   int
}

// Profile describes a deployment.
type Profile struct {
	DataCentres []DataCentre
	Engine      stand.EngineProfile
	PlainSlots  int
	// Settings is a settings document.
	Settings []byte
	// Policy replaces the routers' default policy where it is not nil.
	Policy *router.Policy
	// TLSCert, TLSKey and TLSCA are files for connections between processes; empty for
	// plain ones.
	TLSCert, TLSKey, TLSCA string
	// Callers is the address of the first entry; the others take any port.
	Callers string
}

// World is a running deployment.
type World struct {
	Platform *stand.Platform
	// Base is the URL of the platform.
	Base     string
	Engines  map[string]*stand.Engine
	Services map[string]*stand.Service
	Agents   map[string]*host.Host
	Entries  map[string]*edge.Edge
	// Order lists the names of the entries as they were started.
	Order []string

	profile Profile
	log     logrus.FieldLogger
	stops   map[string]func()
	seq     []string
}

// Start runs a deployment and returns it with a function that stops it.
func Start(p Profile, l logrus.FieldLogger) (w *World, stop func(), err error) {
	defer fault.Annotate(&err, "start deployment")
	w = &World{
		Platform: stand.NewPlatform(),
		Engines:  map[string]*stand.Engine{},
		Services: map[string]*stand.Service{},
		Agents:   map[string]*host.Host{},
		Entries:  map[string]*edge.Edge{},
		profile:  p,
		log:      l,
		stops:    map[string]func(){},
	}
	defer func() {
		if err != nil {
			w.stop()
		}
	}()
	if w.Base, err = w.serve("platform", w.Platform.Handler()); err != nil {
		return nil, nil, err
	}
	if err := w.Platform.PutDoc(p.Settings); err != nil {
		return nil, nil, err
	}
	for _, d := range p.DataCentres {
		if err := w.startDataCentre(d); err != nil {
			return nil, nil, err
		}
	}
	return w, w.stop, nil
}

// Quiet returns a log that goes nowhere.
func Quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (w *World) startDataCentre(d DataCentre) error {
	stages := []struct {
		stage string
		n     int
	}{{fleet.Prefill, d.Prefill}, {fleet.Decode, d.Decode}, {fleet.Plain, d.Plain}}
	for _, s := range stages {
		for i := range s.n {
			if err := w.startUpstream(d.Name, s.stage, fmt.Sprintf("%s-%s-%d", d.Name, s.stage, i)); err != nil {
				return err
			}
		}
	}
	for i := range d.Entries {
		if err := w.startEntry(d.Name, fmt.Sprintf("%s-entry-%d", d.Name, i)); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) serve(name string, h http.Handler) (string, error) {
	base, stop, err := stand.Serve(anyPort, h)
	if err != nil {
		return "", err
	}
	w.add(name, stop)
	return base, nil
}

func (w *World) add(name string, stop func()) {
	w.stops[name] = stop
	w.seq = append(w.seq, name)
}

// Stop stops one process or stand-in at once, as a crash would.
func (w *World) Stop(name string) {
	if f := w.stops[name]; f != nil {
		delete(w.stops, name)
		f()
	}
}

func (w *World) stop() {
	for i := len(w.seq) - 1; i >= 0; i-- {
		w.Stop(w.seq[i])
	}
}

// Names of the services of a deployment.
const (
	EngineService = "assistant"
	PlainService  = "portal"
)

func (w *World) startUpstream(dataCentre, stage, name string) (err error) {
	s := host.Settings{Common: w.common(dataCentre, name), Kind: host.KindEngine, Slots: w.profile.Engine.Slots}
	v := fleet.VM{Name: name, Role: fleet.Agent, DataCentre: dataCentre, Service: EngineService, Stage: stage, State: fleet.Live}
	switch stage {
	case fleet.Plain:
		s.Kind = host.KindPlain
		s.Slots = w.profile.PlainSlots
		v.Service = PlainService
		w.Services[name] = stand.NewService()
		s.Upstream, err = w.serve("upstream-"+name, w.Services[name].Handler())
	default:
		if stage == fleet.Prefill {
			s.Slots = 1
		}
		w.Engines[name] = stand.NewEngine(w.profile.Engine)
		s.Upstream, err = w.serve("upstream-"+name, w.Engines[name].Handler())
	}
	if err != nil {
		return err
	}
	h, stop, err := host.Start(s, w.log)
	if err != nil {
		return err
	}
	w.Agents[name] = h
	w.add(name, stop)
	v.Address, v.Ops = h.Address(), h.OpsAddress()
	return w.Platform.PutVM(v)
}

func (w *World) startEntry(dataCentre, name string) error {
	s := edge.Settings{Common: w.common(dataCentre, name), CallersListen: anyPort, Policy: w.profile.Policy}
	if len(w.Order) == 0 && w.profile.Callers != "" {
		s.CallersListen = w.profile.Callers
	}
	e, stop, err := edge.Start(s, w.log)
	if err != nil {
		return err
	}
	w.Entries[name] = e
	w.Order = append(w.Order, name)
	w.add(name, stop)
	return w.Platform.PutVM(fleet.VM{
		Name:       name,
		Role:       fleet.Entry,
		DataCentre: dataCentre,
		Address:    e.PeerAddress(),
		Ops:        e.OpsAddress(),
		State:      fleet.Live,
	})
}

func (w *World) common(dataCentre, name string) conf.Common {
	return conf.Common{
		VM:         name,
		DataCentre: dataCentre,
		Listen:     anyPort,
		Ops:        anyPort,
		Platform:   w.Base,
		TraceSize:  conf.DefaultTraceSize,
		TLSCert:    w.profile.TLSCert,
		TLSKey:     w.profile.TLSKey,
		TLSCA:      w.profile.TLSCA,
	}
}

// Ready reports whether all processes have the newest configuration in force.
func (w *World) Ready() bool {
	for _, e := range w.Entries {
		if !e.Status().Ready || e.Status().Revision < w.Platform.Revision() {
			return false
		}
	}
	for _, a := range w.Agents {
		if !a.Status().Ready || a.Status().Revision < w.Platform.Revision() {
			return false
		}
	}
	return true
}
