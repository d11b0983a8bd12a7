//go:build crowd

// Package crowd tests the real programs entry and agent beside callers that misbehave. Its tests run alone: they judge the
// memory and the descriptors of processes.
package crowd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/crowd"
	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
)

const (
	// memoryMB and maxFiles are the memory and the descriptors of a process in the tests' settings, of which fileReserve are
	// for files.
	memoryMB    = 64
	maxFiles    = 400
	fileReserve = 200
	// maxBody is the largest body of a request, in bytes.
	maxBody = 2 << 20
	// patience bounds every wait of a test; it says nothing about speed.
	patience = time.Minute
	// slots is the number of requests that an upstream processes at once.
	slots = "64"
	// workTime is how long the plain service takes for a request of a crowd, which is held meanwhile.
	workTime = 300 * time.Millisecond
)

// settings is a settings document with limits that no test meets, but for that of bodies.
var settings = fmt.Sprintf(`
root:
  data-centres: [east]
  timeout: 30s
  first-token: 10s
  between-tokens: 10s
  max-body: %d
services:
  assistant:
    kind: generate
    max-tokens: 64
  portal:
    kind: plain
    idempotent: false
    retry-window: 10s
workspaces:
  faculty:
    rate: 4000000000
    burst: 40000000000
    keys:
      - b3f78c5c5c4c016d1c8b3fd8ddc57a694ae06074b8480d55e5d7291e7696c312
  registry:
    rate: 4000000000
    burst: 40000000000
    keys:
      - 1368ea890c92bd365dc9a2e72f95ead3afaee4b2152d0269618da3120ffe9b24
routes:
  chat:
    service: assistant
    model: chat-1
  decisions:
    service: portal
    path: /decisions
`, maxBody)

var (
	// dir holds the programs, which TestMain builds.
	dir      string
	programs = []string{"entry", "agent"}
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	if dir, err = os.MkdirTemp("", "crowd"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, p := range programs {
		c := exec.Command("go", "build", "-o", filepath.Join(dir, p), ".")
		c.Dir = filepath.Join("..", "..", p)
		if out, err := c.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", p, err, out)
			return 1
		}
	}
	return m.Run()
}

// deployment is a platform, three upstreams with an agent each, and an entry.
type deployment struct {
	t        *testing.T
	logs     string
	platform *stand.Platform
	base     string
	scene    crowd.Scene
}

// start runs everything and waits until requests are served.
func start(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, logs: t.TempDir(), platform: stand.NewPlatform()}
	d.base = d.serve(d.platform.Handler())
	d.must(d.platform.PutDoc([]byte(settings)))
	p := stand.DefaultEngine
	p.PrefillRate, p.LinkRate, p.TokenPeriod = 1<<40, 1<<40, time.Millisecond
	d.addAgent(fleet.Prefill, world.EngineService, "engine", stand.NewEngine(p).Handler())
	d.addAgent(fleet.Decode, world.EngineService, "engine", stand.NewEngine(p).Handler())
	d.addAgent(fleet.Plain, world.PlainService, "plain", stand.NewService().Handler())
	d.scene = crowd.Scene{
		Address:   d.addEntry(),
		Processes: d.scene.Processes,
		Bounds:    crowd.Bounds{MemoryBytes: memoryMB * 1e6, Sockets: maxFiles - fileReserve},
		Ordinary:  map[string]func() crowd.Request{"plain request": plain, "completion": completion},
		Kept:      "plain request",
	}
	for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		if crowd.Ask(d.scene.Address, plain()) == nil && crowd.Ask(d.scene.Address, completion()) == nil {
			return d
		}
		if time.Now().After(end) {
			t.Fatalf("no request is served within %s", patience)
		}
	}
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) serve(h http.Handler) (base string) {
	base, stop, err := stand.Serve("127.0.0.1:0", h)
	d.must(err)
	d.t.Cleanup(stop)
	return base
}

func (d *deployment) address() string {
	a, err := fake.Address()
	d.must(err)
	return a
}

// run starts a program with the flags that all have, and lists its VM.
func (d *deployment) run(program string, v fleet.VM, flags ...string) {
	v.DataCentre, v.Address, v.Ops, v.State = "east", d.address(), d.address(), fleet.Live
	flags = append([]string{
		"serve", "-vm", v.Name, "-data-centre", v.DataCentre, "-listen", v.Address, "-ops-listen", v.Ops, "-platform", d.base, "-log-format", "json",
	}, flags...)
	env := []string{fmt.Sprintf("CRANBERRYPOINT_MEMORY_MB=%d", memoryMB), fmt.Sprintf("CRANBERRYPOINT_MAX_FILES=%d", maxFiles)}
	p, stop, err := crowd.Run(v.Name, filepath.Join(d.logs, v.Name+".log"), env, filepath.Join(dir, program), flags...)
	d.must(err)
	d.t.Cleanup(stop)
	d.scene.Processes = append(d.scene.Processes, p)
	d.must(d.platform.PutVM(v))
}

func (d *deployment) addAgent(stage, service, kind string, upstream http.Handler) {
	n := slots
	if stage == fleet.Prefill {
		n = "1"
	}
	d.run("agent", fleet.VM{Name: stage, Role: fleet.Agent, Service: service, Stage: stage}, "-upstream", d.serve(upstream), "-kind", kind, "-slots", n)
}

func (d *deployment) addEntry() (callers string) {
	callers = d.address()
	d.run("entry", fleet.VM{Name: "entry", Role: fleet.Entry}, "-callers-listen", callers)
	return callers
}

// fields are the header fields of ordinary requests, and crowdFields those of a crowd, which has a workspace of its own.
const (
	fields      = "Host: entry.example\r\nAuthorization: Bearer " + world.ExampleKey + "\r\n"
	crowdFields = "Host: entry.example\r\nAuthorization: Bearer cp-crowd-key\r\n"
)

// plain returns an ordinary request to the plain service.
func plain() crowd.Request {
	return crowd.Request{Line: "POST /decisions/x", Fields: fields, Body: crowd.Text("body")}
}

// completion returns an ordinary request for a completion.
func completion() crowd.Request {
	return crowd.Request{Line: "POST /v1/completions", Fields: fields, Body: crowd.Text(prompt("a prompt"))}
}

// prompt returns the body of a request for a completion.
func prompt(text string) string {
	b, err := json.Marshal(map[string]any{"model": "chat-1", "prompt": text, "max_tokens": 4})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// messages returns the body of a request for a chat completion whose messages fill a size.
func messages(message string, size int) string {
	const begin, end = `{"model":"chat-1","max_tokens":4,"messages":[`, `{"role":"user","content":"x"}]}`
	return begin + strings.Repeat(message+",", (size-len(begin)-len(end))/(len(message)+1)) + end
}
