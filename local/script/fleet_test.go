package script

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
)

// patience bounds every wait of a script; it is no claim about speed.
const patience = time.Minute

const poll = 20 * time.Millisecond

type fleetKey struct{}

// process is one real process of a scenario.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// procs are the processes of one scenario.
type procs struct {
	dir      string
	platform string
	weights  string
	all      map[string]*process
	order    []string
	vms      map[string]fleet.VM
	callers  map[string]string
	upstream map[string]string
	answers  map[string]*reply
	drive    *drive
}

func newFleet(dir string) *procs {
	return &procs{
		dir:      dir,
		all:      map[string]*process{},
		vms:      map[string]fleet.VM{},
		callers:  map[string]string{},
		upstream: map[string]string{},
		answers:  map[string]*reply{},
	}
}

func ports(n int) (r []string, err error) {
	for range n {
		p, err := fake.Address()
		if err != nil {
			return nil, err
		}
		r = append(r, p)
	}
	return r, nil
}

// launch starts a process, or starts it again with the arguments of its first life.
func (f *procs) launch(name string, args ...string) error {
	if old := f.all[name]; old != nil && len(args) == 0 {
		args = old.args
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := &process{name: name, args: args, done: make(chan struct{})}
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	if f.all[name] == nil {
		f.order = append(f.order, name)
	}
	f.all[name] = p
	return nil
}

// stop kills all processes of the scenario.
func (f *procs) stop() {
	for _, n := range f.order {
		p := f.all[n]
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// boot starts the platform and a small fleet of one data centre, or of two.
func (f *procs) boot(centres []string) error {
	a, err := fake.Address()
	if err != nil {
		return err
	}
	f.platform = "http://" + a
	if err := f.launch("platform", "local", "platform", "-listen", a, "-settings", filepath.Join(f.dir, "settings.yaml")); err != nil {
		return err
	}
	if err := f.reachable(f.platform + "/control/reads"); err != nil {
		return err
	}
	if err := f.bootWeights(); err != nil {
		return err
	}
	for _, c := range centres {
		if err := f.bootCentre(c); err != nil {
			return err
		}
	}
	return f.ready()
}

func (f *procs) bootWeights() error {
	a, err := fake.Address()
	if err != nil {
		return err
	}
	f.weights = "http://" + a
	return f.launch("weights", "local", "weights", "-listen", a)
}

func (f *procs) bootCentre(centre string) error {
	for _, stage := range []string{fleet.Prefill, fleet.Decode, fleet.Plain} {
		if err := f.bootUpstream(centre, stage, centre+"-"+stage); err != nil {
			return err
		}
	}
	return f.bootEntry(centre, centre+"-entry")
}

func (f *procs) bootUpstream(centre, stage, name string) error {
	p, err := ports(3)
	if err != nil {
		return err
	}
	kind, service, slots := "engine", "assistant", "20"
	switch stage {
	case fleet.Plain:
		kind, service = "plain", "portal"
	case fleet.Prefill:
		slots = "1"
	}
	f.upstream[name] = "http://" + p[0]
	args := []string{"local", kind, "-listen", p[0]}
	if kind == "engine" {
		args = append(args, "-weights", f.weights)
	}
	if err := f.launch("upstream-"+name, args...); err != nil {
		return err
	}
	v := fleet.VM{
		Name: name, Role: fleet.Agent, DataCentre: centre, Address: p[1], Ops: p[2],
		Service: service, Stage: stage, State: fleet.Live,
	}
	if err := f.launch(name, append(f.daemon("agent", v), "-upstream", f.upstream[name], "-kind", kind, "-slots", slots)...); err != nil {
		return err
	}
	return f.list(v)
}

func (f *procs) bootEntry(centre, name string) error {
	p, err := ports(3)
	if err != nil {
		return err
	}
	v := fleet.VM{Name: name, Role: fleet.Entry, DataCentre: centre, Address: p[1], Ops: p[2], State: fleet.Live}
	f.callers[name] = p[0]
	if err := f.launch(name, append(f.daemon("entry", v), "-callers-listen", p[0], "-drain-notice", "200ms")...); err != nil {
		return err
	}
	return f.list(v)
}

func (f *procs) daemon(program string, v fleet.VM) []string {
	var peers []string
	for _, o := range f.vms {
		peers = append(peers, o.Address)
	}
	return []string{
		program, "serve", "-vm", v.Name, "-data-centre", v.DataCentre, "-listen", v.Address,
		"-ops-listen", v.Ops, "-platform", f.platform, "-log-format", "json", "-peers", strings.Join(peers, ","),
	}
}

// list publishes a VM in the platform's list.
func (f *procs) list(v fleet.VM) error {
	f.vms[v.Name] = v
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return f.control(http.MethodPut, "/control/kv/vms/"+v.Name, b)
}

func (f *procs) control(method, path string, body []byte) error {
	q, err := http.NewRequest(method, f.platform+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	b, _ := io.ReadAll(a.Body)
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("the platform answered %s: %s", a.Status, b)
	}
	return nil
}

func (f *procs) reachable(url string) error {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		a, err := http.Get(url)
		if err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(poll)
	}
	return fmt.Errorf("%s does not answer", url)
}

// ready waits until all listed processes are ready.
func (f *procs) ready() error {
	for _, v := range f.vms {
		if err := f.reachable("http://" + v.Ops + "/readyz"); err != nil {
			return err
		}
	}
	return f.warm()
}

// warm waits until the limits have earned some tokens.
func (f *procs) warm() error {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		r := f.request(question{entry: f.firstEntry(), key: exampleKey, method: "GET", path: "/decisions/warm"})
		if r.status == http.StatusOK {
			return nil
		}
		time.Sleep(poll)
	}
	return fmt.Errorf("no call is served")
}

func (f *procs) firstEntry() string {
	for _, n := range f.order {
		if f.callers[n] != "" {
			return n
		}
	}
	return ""
}
