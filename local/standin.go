package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/local/stand"
	"github.com/google/subcommands"
)

// standin is what the subcommands that run one stand-in share.
type standin struct {
	listen string
}

func (s *standin) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "IP address and port of the HTTP server")
}

func (s *standin) check() error {
	if !conf.IsAddress(s.listen) {
		return conf.Invalid("listen", s.listen, "an IP address and a port, such as 127.0.0.1:9000,")
	}
	return nil
}

func (s *standin) run(ctx context.Context, f *flag.FlagSet, h http.Handler) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, s.check); e != cmdln.Success {
		return e
	}
	ctx, cancel := cmdln.Signals(ctx)
	defer cancel()
	base, stop, err := stand.Serve(s.listen, h)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return cmdln.Failure
	}
	defer stop()
	fmt.Println("serving", base)
	<-ctx.Done()
	return cmdln.Success
}

// platform is the subcommand that runs the configuration service.
type platform struct {
	standin
	settings string
}

func (*platform) Name() string     { return "platform" }
func (*platform) Synopsis() string { return "run a stand-in of the configuration service" }
func (*platform) Usage() string    { return "platform [flags]:\n  Run until interrupted.\n" }

func (p *platform) SetFlags(f *flag.FlagSet) {
	p.standin.SetFlags(f)
	f.StringVar(&p.settings, "settings", "", "file with a settings document to begin with (default: none)")
}

func (p *platform) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := stand.NewPlatform()
	if p.settings != "" {
		b, err := os.ReadFile(p.settings)
		if err == nil {
			err = s.PutDoc(b)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			return cmdln.Failure
		}
	}
	return p.run(ctx, f, s.Handler())
}

// engineCmd is the subcommand that runs an engine.
type engineCmd struct {
	standin
	profile stand.EngineProfile
}

func (*engineCmd) Name() string     { return "engine" }
func (*engineCmd) Synopsis() string { return "run a stand-in of a model engine" }
func (*engineCmd) Usage() string    { return "engine [flags]:\n  Run until interrupted.\n" }

func (e *engineCmd) SetFlags(f *flag.FlagSet) {
	e.standin.SetFlags(f)
	p := &e.profile
	*p = stand.DefaultEngine
	f.IntVar(&p.Slots, "slots", p.Slots, "requests that decode at once")
	f.Int64Var(&p.PrefillRate, "prefill-rate", p.PrefillRate, "uncached prompt tokens a second")
	f.DurationVar(&p.TokenPeriod, "token-period", p.TokenPeriod, "time between two tokens of an answer")
	f.Int64Var(&p.LinkRate, "link-rate", p.LinkRate, "tokens of KV cache transferred a second")
	f.DurationVar(&p.Survival, "survival", p.Survival, "time that an exported KV cache is kept")
	f.StringVar(&p.Weights, "weights", p.Weights, "base URL of the weight store (default: models load at once)")
	f.BoolVar(&p.Fences, "fences", p.Fences, "refuse orders with an old fencing number")
}

func (e *engineCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return e.run(ctx, f, stand.NewEngine(e.profile).Handler())
}

// weightsCmd is the subcommand that runs the weight store.
type weightsCmd struct {
	standin
	size, rate int64
}

func (*weightsCmd) Name() string     { return "weights" }
func (*weightsCmd) Synopsis() string { return "run a stand-in of the weight store" }
func (*weightsCmd) Usage() string    { return "weights [flags]:\n  Run until interrupted.\n" }

func (c *weightsCmd) SetFlags(f *flag.FlagSet) {
	c.standin.SetFlags(f)
	f.Int64Var(&c.size, "size", 1<<20, "bytes of each model")
	f.Int64Var(&c.rate, "rate", 64<<20, "bytes given out a second, over all readers")
}

func (c *weightsCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, f, stand.NewWeights(c.size, c.rate).Handler())
}

// plainCmd is the subcommand that runs a plain service.
type plainCmd struct{ standin }

func (*plainCmd) Name() string     { return "plain" }
func (*plainCmd) Synopsis() string { return "run a stand-in of a plain service" }
func (*plainCmd) Usage() string    { return "plain [flags]:\n  Run until interrupted.\n" }

func (p *plainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return p.run(ctx, f, stand.NewService().Handler())
}
