package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
	"github.com/rotisserie/eris"
)

// Options are those of one run.
type Options struct {
	Profile Profile
	Policy  router.Policy
	// Label names the policy in reports.
	Label string
	// Factor multiplies the nominal load.
	Factor float64
	// Greedy multiplies the arrivals of one workspace by Greed; empty for none.
	Greedy string
	Greed  float64
	Length time.Duration
	Seed   uint64
	// Fault is brought about at FaultAt, a part of Length.
	Fault   Fault
	FaultAt float64
	// Progress is called about every second.
	Progress func(done, sent int)
}

// Fault is what goes wrong in a run.
type Fault string

// Faults of a run.
const (
	NoFault Fault = "none"
	// KillDecode stops an engine and its agent at once.
	KillDecode Fault = "kill-decode"
	// KillPrefill stops a prefill engine and its agent at once.
	KillPrefill Fault = "kill-prefill"
	// PlatformDown fails all reads of the platform.
	PlatformDown Fault = "platform-down"
	// PlatformStale answers reads with what was in force at the fault.
	PlatformStale Fault = "platform-stale"
)

// Faults are all faults of a run.
func Faults() []Fault {
	return []Fault{NoFault, KillDecode, KillPrefill, PlatformDown, PlatformStale}
}

// Outcome is what a run gave.
type Outcome struct {
	Options Options
	Results []Result
	// Prefilled and Wasted are in prompt tokens.
	Prefilled, Wasted int64
	// Best is the rate of generated requests a second that the engines can serve.
	Best float64
}

const (
	readyTimeout = time.Minute
	// settle is how long the shares of limits fill before the load.
	settle = 8 * time.Second
)

// Run starts a deployment, drives it and stops it.
func Run(ctx context.Context, o Options) (r *Outcome, err error) {
	defer fault.Annotate(&err, "load %s", o.Label)
	p := o.Profile.World()
	p.Policy = &o.Policy
	w, stop, err := world.Start(p, world.Quiet())
	if err != nil {
		return nil, err
	}
	defer stop()
	end := time.Now().Add(readyTimeout)
	for !w.Ready() {
		if time.Now().After(end) || ctx.Err() != nil {
			return nil, eris.New("the deployment does not become ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(settle)
	results := drive(ctx, w, o)
	r = &Outcome{Options: o, Results: results, Best: o.Profile.best()}
	for _, e := range w.Engines {
		c := e.Counts()
		r.Prefilled += c.Prefilled
		r.Wasted += c.Wasted
	}
	return r, nil
}

// best returns the rate of requests a second at which prefill or decode is full.
func (p Profile) best() float64 {
	prefill, decode := 0, 0
	for _, c := range p.Centres {
		prefill += c.Prefill
		decode += c.Decode
	}
	prompt := float64(p.MinPrompt+p.MaxPrompt) / 2
	tokens := float64(p.MinTokens+p.MaxTokens) / 2
	byPrefill := float64(prefill) * float64(p.Engine.PrefillRate) / prompt
	byDecode := float64(decode*p.Engine.Slots) / (tokens * p.Engine.TokenPeriod.Seconds())
	return min(byPrefill, byDecode)
}

func drive(ctx context.Context, w *world.World, o Options) []Result {
	c := &caller{start: time.Now(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for _, n := range w.Order {
		c.entries = append(c.entries, w.Entries[n].CallersAddress())
	}
	timer := time.AfterFunc(time.Duration(o.FaultAt*float64(o.Length)), func() { bringAbout(w, o) })
	defer timer.Stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []Result
	sent := 0
	last := time.Now()
	arrivals(o, func(at time.Duration, q question) bool {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(time.Until(c.start.Add(at)))
		sent++
		wg.Go(func() {
			r := c.ask(ctx, q)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		if o.Progress != nil && time.Since(last) >= time.Second {
			last = time.Now()
			mu.Lock()
			o.Progress(len(results), sent)
			mu.Unlock()
		}
		return true
	})
	wg.Wait()
	return results
}

// bringAbout causes the run's fault, at the first data centre.
func bringAbout(w *world.World, o Options) {
	first := o.Profile.Centres[0].Name
	switch o.Fault {
	case KillDecode:
		w.Stop("upstream-" + first + "-decode-0")
		w.Stop(first + "-decode-0")
	case KillPrefill:
		w.Stop("upstream-" + first + "-prefill-0")
		w.Stop(first + "-prefill-0")
	case PlatformDown:
		w.Platform.SetMode(stand.Down)
	case PlatformStale:
		w.Platform.SetMode(stand.Stale)
	}
}

// arrivals calls f for each arrival of a Poisson process, in order, until f returns
// false or the run is over.
func arrivals(o Options, f func(time.Duration, question) bool) {
	r := rand.New(rand.NewPCG(o.Seed, o.Seed))
	p := o.Profile
	total := 0.0
	greed := func(w Workspace) float64 {
		if w.Name == o.Greedy {
			return w.Share * o.Greed
		}
		return w.Share
	}
	for _, w := range p.Workspaces {
		total += greed(w)
	}
	rate := (p.Rate + p.PlainRate) * o.Factor * total
	at := time.Duration(0)
	for serial := 0; ; serial++ {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at > o.Length {
			return
		}
		q := question{serial: serial, generated: r.Float64()*(p.Rate+p.PlainRate) < p.Rate}
		x := r.Float64() * total
		for _, w := range p.Workspaces {
			q.workspace = w.Name
			if x -= greed(w); x < 0 {
				break
			}
		}
		q.tokens = p.MinTokens + r.Int64N(p.MaxTokens-p.MinTokens+1)
		q.prompt = prompt(r, p, serial)
		if !f(at, q) {
			return
		}
	}
}

// prompt returns a text of a random size. Its first half is shared with others.
func prompt(r *rand.Rand, p Profile, serial int) string {
	size := 4 * int(p.MinPrompt+r.Int64N(p.MaxPrompt-p.MinPrompt+1))
	head := fmt.Sprintf("report %d: ", r.IntN(p.Prefixes))
	tail := fmt.Sprintf("request %d, ", serial)
	shared := strings.Repeat(head, size/2/len(head)+1)[:size/2]
	return shared + strings.Repeat(tail, size/2/len(tail)+1)[:size-size/2]
}
