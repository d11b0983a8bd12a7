package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/local/load"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

// policies are the names that -policy takes.
var policies = map[string]router.Policy{
	"default":     router.DefaultPolicy,
	"round-robin": {Choice: router.RoundRobin},
	"least":       {Choice: router.LeastLoaded},
	"no-prefix":   {Choice: router.TwoChoices, ReserveDecode: true, AdmissionControl: true},
	"no-reserve":  {Choice: router.TwoChoices, PrefixAffinity: true, AdmissionControl: true},
	"no-admit":    {Choice: router.TwoChoices, PrefixAffinity: true, ReserveDecode: true},
}

// loadCmd is the subcommand that runs experiments.
type loadCmd struct {
	profile string
	policy  string
	factor  float64
	greedy  string
	greed   float64
	length  time.Duration
	seed    uint64
	slots   int
	fault   string
	faultAt float64
	json    bool
	plots   string
	quiet   bool
}

func (*loadCmd) Name() string     { return "load" }
func (*loadCmd) Synopsis() string { return "drive a deployment with load and measure it" }
func (*loadCmd) Usage() string {
	return "load [flags]:\n  Run each policy in turn over the same arrivals and print the measures.\n"
}

func (c *loadCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.profile, "profile", "review", "deployment: review or ravenal")
	f.StringVar(&c.policy, "policy", "default", "policies to compare, separated by commas: "+strings.Join(policyNames(), ", "))
	f.Float64Var(&c.factor, "load", 1, "load in parts of the nominal one")
	f.StringVar(&c.greedy, "greedy", "", "workspace that sends -greed times its load (default: none)")
	f.Float64Var(&c.greed, "greed", 4, "factor of -greedy")
	f.DurationVar(&c.length, "length", 30*time.Second, "time of arrivals")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the arrivals")
	f.IntVar(&c.slots, "slots", 0, "decode slots of each engine (default: those of the profile)")
	f.StringVar(&c.fault, "fault", string(load.NoFault), "fault: none, kill-decode, kill-prefill, platform-down or platform-stale")
	f.Float64Var(&c.faultAt, "fault-at", 0.4, "time of the fault as a part of -length")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.plots, "plots", "", "directory for a plot of each run as SVG (default: none)")
	f.BoolVar(&c.quiet, "quiet", false, "show no progress")
}

func policyNames() []string {
	var r []string
	for n := range policies {
		r = append(r, n)
	}
	slices.Sort(r)
	return r
}

func (c *loadCmd) check() error {
	for _, n := range strings.Split(c.policy, ",") {
		if _, ok := policies[n]; !ok {
			return conf.Invalid("policy", n, "one of "+strings.Join(policyNames(), ", "))
		}
	}
	switch {
	case c.find() == nil:
		return conf.Invalid("profile", c.profile, "review or ravenal")
	case !slices.Contains(load.Faults(), load.Fault(c.fault)):
		return conf.Invalid("fault", c.fault, "none, kill-decode, kill-prefill, platform-down or platform-stale")
	case c.factor <= 0:
		return eris.Errorf("-load is %g; a number above 0 would be right", c.factor)
	case c.length < time.Second:
		return eris.Errorf("-length is %s; a second or more would be right", c.length)
	}
	return nil
}

func (c *loadCmd) find() *load.Profile {
	for _, p := range load.Profiles() {
		if p.Name == c.profile {
			return &p
		}
	}
	return nil
}

func (c *loadCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, c.check); e != cmdln.Success {
		return e
	}
	ctx, cancel := cmdln.Signals(ctx)
	defer cancel()
	var ms []load.Measures
	for _, n := range strings.Split(c.policy, ",") {
		o, err := load.Run(ctx, c.options(n))
		if err == nil && c.plots != "" {
			err = load.Plot(filepath.Join(c.plots, fmt.Sprintf("%s-%s-%s.svg", c.profile, n, c.fault)), o)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			return cmdln.Failure
		}
		ms = append(ms, load.Measure(o))
	}
	if c.json {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		_ = e.Encode(ms)
		return cmdln.Success
	}
	load.Print(os.Stdout, ms)
	return cmdln.Success
}

func (c *loadCmd) options(policy string) load.Options {
	o := load.Options{
		Profile: *c.find(),
		Policy:  policies[policy],
		Label:   policy,
		Factor:  c.factor,
		Greedy:  c.greedy,
		Greed:   c.greed,
		Length:  c.length,
		Seed:    c.seed,
		Fault:   load.Fault(c.fault),
		FaultAt: c.faultAt,
	}
	if c.slots > 0 {
		o.Profile.Engine.Slots = c.slots
	}
	if !c.quiet {
		o.Progress = func(done, sent int) { fmt.Fprintf(os.Stderr, "\r%s: %d of %d answered", policy, done, sent) }
	}
	return o
}
