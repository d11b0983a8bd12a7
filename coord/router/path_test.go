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
	fake.FixRuns("20302", "100")
	os.Exit(m.Run())
}

const key = "k"

var doc = `
root: {data-centres: [a], timeout: 20s, patience: 5s, retry-window: 15s}
services:
  gen: {kind: generate}
  svc: {kind: plain}
workspaces:
  w: {rate: 1000000, burst: 10000000, keys: [` + tree.HashKey(key) + `]}
routes:
  m: {service: gen, model: m}
  once: {service: svc, path: /once, idempotent: false}
  often: {service: svc, path: /often, idempotent: true}
`

var entries = []string{"e0", "e1"}

func agents() []fleet.VM {
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

func newPath(seed uint64, f fake.Faults) *fake.Path {
	t, err := tree.FromDoc(1, []byte(doc))
	if err != nil {
		panic(err)
	}
	p := fake.NewPath(seed, f, t)
	p.AddAgents(agents(), 4)
	for _, e := range entries {
		p.StartEntry(e)
	}
	// Agents that have just started can't tell what an earlier life ran.
	p.Run(16 * time.Second)
	return p
}

const maxTokens = 40

func generated(name string) router.Call {
	return router.Call{
		KeyHash: tree.HashKey(key), Route: "m", Name: name, Prompt: []byte(name), PromptTokens: 1, MaxTokens: maxTokens,
	}
}

func plain(name, route, idempotency string) router.Call {
	return router.Call{
		KeyHash: tree.HashKey(key), Route: route, Name: name, Method: "POST", Path: "/" + name,
		IdempotencyKey: idempotency, Digest: idempotency,
	}
}

// want returns the whole answer to a call.
func want(c *fake.Caller) string {
	if c.Call.Route == "m" {
		var b strings.Builder
		for i := range int64(maxTokens) {
			b.WriteString(fake.Text(string(c.Call.Prompt), i))
		}
		return b.String()
	}
	return fake.Text(c.Call.Path, 0) + fake.Text(c.Call.Path, 1)
}

// broken returns what a run violated once it has come to rest.
func broken(p *fake.Path) string {
	var b strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	refused := map[string]int{}
	asked := map[string]int{}
	for _, c := range p.Callers {
		asked[c.Name]++
		checkCaller(c, say)
		if c.Err != nil && c.Err.Ran == wire.Ran_RAN_NO {
			refused[c.Name]++
		}
	}
	for _, n := range slices.Sorted(maps.Keys(asked)) {
		k := asked[n]
		effects := p.Effects(n)
		if effects > 1 && strings.HasPrefix(n, "k-") || effects > 1 && strings.HasPrefix(n, "once") {
			say("request %s had %d effects", n, effects)
		}
		if effects > 0 && refused[n] == k {
			say("request %s had %d effects and is said not to have run", n, effects)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(p.Reserved)) {
		if _, ok := p.Settled[n]; !ok {
			say("reservation %s is not settled", n)
		}
	}
	if h := p.Held(); len(h) > 0 {
		say("engine memory is held by %v", h)
	}
	if n := p.Active(); n > 0 {
		say("%d requests or runs are active", n)
	}
	return b.String()
}

func checkCaller(c *fake.Caller, say func(string, ...any)) {
	whole := want(c)
	if c.Lost {
		return
	}
	if !c.Gone && c.Finishes != 1 {
		say("caller of %s got %d ends", c.Name, c.Finishes)
	}
	if !strings.HasPrefix(whole, string(c.Body)) {
		say("caller of %s got %q, want a part of %q", c.Name, c.Body, whole)
	}
	if c.Finishes == 1 && c.Err == nil && string(c.Body) != whole {
		say("caller of %s got %q as the whole of %q", c.Name, c.Body, whole)
	}
}

// load makes requests of all kinds for a while.
func load(p *fake.Path, d time.Duration) {
	end := p.Now().Add(d)
	n := 0
	var next func()
	next = func() {
		if p.Now().After(end) {
			return
		}
		n++
		e := entries[p.Rand.IntN(len(entries))]
		ask(p, e, n)
		p.After(time.Duration(p.Rand.Int64N(int64(100*time.Millisecond))), next)
	}
	p.After(0, next)
}

func ask(p *fake.Path, entry string, n int) {
	var c *fake.Caller
	switch p.Rand.IntN(5) {
	case 0, 1:
		c = p.Ask(entry, generated(fmt.Sprintf("gen%d", n)))
	case 2:
		c = p.Ask(entry, plain(fmt.Sprintf("often%d", n), "often", ""))
	case 3:
		c = p.Ask(entry, plain(fmt.Sprintf("once%d", n), "once", ""))
	default:
		keyed(p, entry, n)
	}
	if c != nil && p.Rand.IntN(10) == 0 {
		p.After(time.Duration(p.Rand.Int64N(int64(400*time.Millisecond))), func() { p.HangUp(c) })
	}
}

// keyed makes a request with an idempotency key and repeats it through another entry
// until one is answered.
func keyed(p *fake.Path, entry string, n int) {
	call := plain(fmt.Sprintf("key%d", n), "once", fmt.Sprintf("i%d", n))
	var try func(left int)
	try = func(left int) {
		c := p.Ask(entry, call)
		entry = entries[p.Rand.IntN(len(entries))]
		p.After(time.Duration(1+p.Rand.IntN(4))*time.Second, func() {
			if left > 0 && (c.Finishes == 0 || c.Err != nil) {
				try(left - 1)
			}
		})
	}
	try(2)
}

// disturb brings about one fault and returns a function that ends it.
func disturb(t *rapid.T, p *fake.Path) func() {
	var names []string
	for _, v := range agents() {
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
		p.Cut = func(from, to string) bool {
			return from == agent && to == entry || from == entry && to == agent
		}
		return func() { p.Cut = func(string, string) bool { return false } }
	case "dead upstream":
		p.Upstreams[agent].Dead = true
		return func() { p.Upstreams[agent].Dead = false }
	case "lossy":
		p.Faults.Loss = 0.03
		return func() { p.Faults.Loss = 0 }
	}
	return func() {}
}

var delays = fake.Faults{MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}

// faultRun makes requests under random faults and comes to rest.
func faultRun(t *rapid.T, p *fake.Path) {
	load(p, 20*time.Second)
	for range rapid.IntRange(1, 4).Draw(t, "faults") {
		p.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait ms")) * time.Millisecond)
		end := disturb(t, p)
		p.Run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "length ms")) * time.Millisecond)
		if rapid.Bool().Draw(t, "overlap") {
			other := disturb(t, p)
			p.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "length ms")) * time.Millisecond)
			other()
		}
		end()
	}
	p.Run(90 * time.Second)
}

// report returns the merged time line of the requests that a violation names.
func report(p *fake.Path, violation string) string {
	var b strings.Builder
	for _, e := range p.Log {
		if e.Request != "" && strings.Contains(violation, e.Request) {
			at := time.Unix(0, e.At.Wall).Sub(fake.Epoch)
			fmt.Fprintf(&b, "%v %s %s %s.%d %s %s %s\n", at, e.VM, e.Kind, e.Request, e.Attempt, e.Stage, e.Peer, e.Detail)
		}
	}
	return b.String()
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPath(rapid.Uint64().Draw(t, "seed"), delays)
		faultRun(t, p)
		if v := broken(p); v != "" {
			t.Fatalf("%s\n%s", v, report(p, v))
		}
	})
}

func TestNoFaultNoFailure(t *testing.T) {
	p := newPath(1, delays)
	load(p, 20*time.Second)
	p.Run(60 * time.Second)
	if v := broken(p); v != "" {
		t.Fatalf("%s\n%s", v, report(p, v))
	}
	for _, c := range p.Callers {
		if c.Err != nil {
			t.Errorf("%s failed: %v\n%s", c.Name, c.Err, report(p, c.Name))
		}
	}
	if len(p.Log) == 0 || p.Log[0].Kind != trace.Arrived {
		t.Error("the time line does not begin with an arrival")
	}
}
