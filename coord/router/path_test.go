package router_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// The seed and the number of test cases of each rapid.Check.
	fake.FixRuns("20302", "100")
	os.Exit(m.Run())
}

const apiKey = "k"

var settingsDoc = `
root: {data-centres: [a], timeout: 20s, patience: 5s, retry-window: 15s}
services:
  gen: {kind: generate}
  svc: {kind: plain}
workspaces:
  w: {rate: 1000000, burst: 10000000, keys: [` + tree.HashKey(apiKey) + `]}
routes:
  m: {service: gen, model: m}
  once: {service: svc, path: /once, idempotent: false}
  often: {service: svc, path: /often, idempotent: true}
`

var entries = []string{"e0", "e1"}

// newAgents returns two agents for each stage: prefill, decode and plain.
func newAgents() []fleet.VM {
	var r []fleet.VM
	add := func(service, stage string, n int) {
		for i := range n {
			name := fmt.Sprintf("%s%d", stage, i)
			r = append(r, fleet.VM{
				Name: name, Role: fleet.Agent, DataCentre: "a", Address: name,
				Service: service, Stage: stage, State: fleet.Live,
			})
		}
	}
	add("gen", fleet.Prefill, 2)
	add("gen", fleet.Decode, 2)
	add("svc", fleet.Plain, 2)
	return r
}

// newSimulation returns a simulation of the agents and entries under faults f.
func newSimulation(seed uint64, f fake.Faults) *fake.Simulation {
	t, err := tree.FromDoc(1, []byte(settingsDoc))
	if err != nil {
		panic(err)
	}
	p := fake.NewSimulation(seed, f, t)
	p.AddAgents(newAgents(), 4)
	for _, e := range entries {
		p.StartEntry(e)
	}
	// An agent that has just started doesn't know which requests it executed before a
	// restart. Wait until the retry window of such requests has passed.
	p.Run(16 * time.Second)
	return p
}

// maxTokens is the number of output tokens of every call to a model.
const maxTokens = 40

// generatedCall returns a call to a model.
func generatedCall(name string) router.Call {
	return router.Call{
		KeyHash: tree.HashKey(apiKey), Route: "m", Name: name, Prompt: []byte(name), PromptTokens: 1, MaxTokens: maxTokens,
	}
}

// plainCall returns a call to a plain service; idempotency is its idempotency key or empty.
func plainCall(name, route, idempotency string) router.Call {
	return router.Call{
		KeyHash: tree.HashKey(apiKey), Route: route, Name: name, Method: "POST", Path: "/" + name,
		IdempotencyKey: idempotency, Digest: idempotency,
	}
}

// wantBody returns the complete answer to a call.
func wantBody(c *fake.Caller) string {
	if c.Call.Route == "m" {
		var b strings.Builder
		for i := range int64(maxTokens) {
			b.WriteString(fake.Text(string(c.Call.Prompt), i))
		}
		return b.String()
	}
	return fake.Text(c.Call.Path, 0) + fake.Text(c.Call.Path, 1)
}

// violations returns the guarantees that a finished simulation violated, one a line, or an
// empty string: every caller gets one correct answer or an error, a request that isn't
// idempotent is executed at most once, a request reported as not run was not executed, and
// no reservation, engine memory or run is leaked.
func violations(p *fake.Simulation) string {
	var b strings.Builder
	addf := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	refused := map[string]int{}
	asked := map[string]int{}
	for _, c := range p.Callers {
		asked[c.Name]++
		checkCaller(c, addf)
		if c.Err != nil && c.Err.Ran == wire.Ran_RAN_NO {
			refused[c.Name]++
		}
	}
	for _, n := range slices.Sorted(maps.Keys(asked)) {
		callers := asked[n]
		executions := p.Executions(n)
		if executions > 1 && strings.HasPrefix(n, "k-") || executions > 1 && strings.HasPrefix(n, "once") {
			addf("request %s was executed %d times, want at most 1", n, executions)
		}
		if executions > 0 && refused[n] == callers {
			addf("request %s was executed %d times but all its callers were told that it did not run", n, executions)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(p.Reserved)) {
		if _, ok := p.Settled[n]; !ok {
			addf("reservation %s is not settled", n)
		}
	}
	if h := p.Held(); len(h) > 0 {
		addf("engine memory is still held by %v", h)
	}
	if n := p.Active(); n > 0 {
		addf("%d requests or runs are still active", n)
	}
	return b.String()
}

// checkCaller reports an answer that is wrong, or that did not end exactly once.
func checkCaller(c *fake.Caller, addf func(string, ...any)) {
	want := wantBody(c)
	if c.Lost {
		return
	}
	if !c.Disconnected && c.Finishes != 1 {
		addf("caller of %s got %d ends of its answer, want 1", c.Name, c.Finishes)
	}
	if !strings.HasPrefix(want, string(c.Body)) {
		addf("caller of %s got %q, want a prefix of %q", c.Name, c.Body, want)
	}
	if c.Finishes == 1 && c.Err == nil && string(c.Body) != want {
		addf("caller of %s got %q as a complete answer, want %q", c.Name, c.Body, want)
	}
}

// generateLoad sends random requests at random intervals for a duration of simulated time.
func generateLoad(p *fake.Simulation, d time.Duration) {
	end := p.Now().Add(d)
	n := 0
	var next func()
	next = func() {
		if p.Now().After(end) {
			return
		}
		n++
		e := entries[p.Rand.IntN(len(entries))]
		sendRandomRequest(p, e, n)
		p.After(time.Duration(p.Rand.Int64N(int64(100*time.Millisecond))), next)
	}
	p.After(0, next)
}

// sendRandomRequest sends a request of a random kind. A tenth of the callers of requests
// without an idempotency key disconnect early.
func sendRandomRequest(p *fake.Simulation, entry string, n int) {
	var c *fake.Caller
	switch p.Rand.IntN(5) {
	case 0, 1:
		c = p.Ask(entry, generatedCall(fmt.Sprintf("gen%d", n)))
	case 2:
		c = p.Ask(entry, plainCall(fmt.Sprintf("often%d", n), "often", ""))
	case 3:
		c = p.Ask(entry, plainCall(fmt.Sprintf("once%d", n), "once", ""))
	default:
		sendKeyedRequest(p, entry, n)
	}
	if c != nil && p.Rand.IntN(10) == 0 {
		p.After(time.Duration(p.Rand.Int64N(int64(400*time.Millisecond))), func() { p.Disconnect(c) })
	}
}

// sendKeyedRequest sends a request with an idempotency key and retries it up to twice,
// through a random entry, until it succeeds.
func sendKeyedRequest(p *fake.Simulation, entry string, n int) {
	call := plainCall(fmt.Sprintf("key%d", n), "once", fmt.Sprintf("i%d", n))
	var send func(left int)
	send = func(left int) {
		c := p.Ask(entry, call)
		entry = entries[p.Rand.IntN(len(entries))]
		p.After(time.Duration(1+p.Rand.IntN(4))*time.Second, func() {
			if left > 0 && (c.Finishes == 0 || c.Err != nil) {
				send(left - 1)
			}
		})
	}
	send(2)
}

// injectFault starts one random fault and returns a function that ends it.
func injectFault(t *rapid.T, p *fake.Simulation) func() {
	var names []string
	for _, v := range newAgents() {
		names = append(names, v.Name)
	}
	agent := rapid.SampledFrom(names).Draw(t, "agent")
	entry := rapid.SampledFrom(entries).Draw(t, "entry")
	switch rapid.SampledFrom([]string{
		"restart agent", "restart entry", "freeze agent", "freeze entry", "cut", "dead upstream", "lossy",
	}).Draw(t, "fault") {
	case "restart agent":
		p.StartAgent(agent)
	case "restart entry":
		p.StartEntry(entry)
	case "freeze agent":
		p.Freeze(agent)
		return func() { p.Thaw(agent) }
	case "freeze entry":
		p.Freeze(entry)
		return func() { p.Thaw(entry) }
	case "cut":
		p.Partitioned = func(from, to string) bool {
			return from == agent && to == entry || from == entry && to == agent
		}
		return func() { p.Partitioned = func(string, string) bool { return false } }
	case "dead upstream":
		p.Upstreams[agent].Dead = true
		return func() { p.Upstreams[agent].Dead = false }
	case "lossy":
		p.Faults.Loss = 0.03
		return func() { p.Faults.Loss = 0 }
	}
	return func() {}
}

var networkDelays = fake.Faults{MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}

// runUnderFaults sends requests under random faults, then runs the simulation until all
// requests must have ended.
func runUnderFaults(t *rapid.T, p *fake.Simulation) {
	generateLoad(p, 20*time.Second)
	for range rapid.IntRange(1, 4).Draw(t, "faults") {
		p.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait ms")) * time.Millisecond)
		end := injectFault(t, p)
		p.Run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "length ms")) * time.Millisecond)
		if rapid.Bool().Draw(t, "overlap") {
			other := injectFault(t, p)
			p.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "length ms")) * time.Millisecond)
			other()
		}
		end()
	}
	p.Run(90 * time.Second)
}

// requestTimeLine returns the trace events of the requests that a violation names.
func requestTimeLine(p *fake.Simulation, violation string) string {
	var b strings.Builder
	for _, e := range p.Log {
		if e.Request != "" && strings.Contains(violation, e.Request) {
			at := time.Unix(0, e.At.Wall).Sub(fake.Epoch)
			fmt.Fprintf(&b, "%v %s %s %s.%d %s %s %s\n", at, e.VM, e.Kind, e.Request, e.Attempt, e.Stage, e.Peer, e.Detail)
		}
	}
	return b.String()
}

// TestGuaranteesHoldUnderFaults checks the guarantees that are listed at the function
// violations while agents and entries restart, freeze or lose messages.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimulation(rapid.Uint64().Draw(t, "seed"), networkDelays)
		runUnderFaults(t, p)
		if v := violations(p); v != "" {
			t.Fatalf("%s\n%s", v, requestTimeLine(p, v))
		}
	})
}

// TestNoFailuresWithoutFaults checks that no request fails if no fault is injected.
func TestNoFailuresWithoutFaults(t *testing.T) {
	p := newSimulation(1, networkDelays)
	generateLoad(p, 20*time.Second)
	p.Run(60 * time.Second)
	if v := violations(p); v != "" {
		t.Fatalf("%s\n%s", v, requestTimeLine(p, v))
	}
	for _, c := range p.Callers {
		if c.Err != nil {
			t.Errorf("%s failed: %v\n%s", c.Name, c.Err, requestTimeLine(p, c.Name))
		}
	}
	if len(p.Log) == 0 || p.Log[0].Kind != trace.Arrived {
		t.Error("the first trace event is not the arrival of a request")
	}
}
