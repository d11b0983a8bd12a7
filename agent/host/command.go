package host

import (
	"context"
	"flag"
	"time"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/worker"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

const defaultDrainTimeout = 2 * time.Minute

// Command is the subcommand that runs an agent.
type Command struct {
	settings     Settings
	drainTimeout time.Duration
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "serve" }

// Synopsis returns a one-line description of the subcommand.
func (*Command) Synopsis() string { return "run the agent of one upstream" }

// Usage returns the help text of the subcommand.
func (*Command) Usage() string {
	return "serve [flags]:\n  Run until SIGTERM, then finish the runs in progress and exit.\n" +
		"  The default of each flag can be set by the environment variable CRANBERRYPOINT_NAME,\n" +
		"  with the name of the flag in upper case and underscores for hyphens.\n"
}

// SetFlags registers the flags of the settings.
func (c *Command) SetFlags(f *flag.FlagSet) {
	s := &c.settings
	s.Register(f)
	f.StringVar(&s.Upstream, "upstream", "", "base URL of the upstream, such as http://127.0.0.1:9000 (required)")
	f.StringVar(&s.Kind, "kind", KindEngine, "kind of the upstream: engine or plain")
	f.IntVar(&s.Slots, "slots", worker.DefaultSlots, "number of runs that the upstream processes at once")
	f.DurationVar(&c.drainTimeout, "drain-timeout", defaultDrainTimeout, "time limit for runs in progress after SIGTERM")
}

// check returns an error for the first setting that is invalid.
func (c *Command) check() error {
	s := &c.settings
	if err := s.Check(); err != nil {
		return err
	}
	switch {
	case !conf.IsURL(s.Upstream):
		// The text ends with a comma because Invalid continues the sentence.
		return conf.Invalid("upstream", s.Upstream, "an http or https URL, such as http://127.0.0.1:9000,")
	case s.Kind != KindEngine && s.Kind != KindPlain:
		return conf.Invalid("kind", s.Kind, "engine or plain")
	case s.Slots < 1:
		return eris.Errorf("-slots is %d; a number above 0 would be right", s.Slots)
	case c.drainTimeout <= 0:
		return eris.Errorf("-drain-timeout is %s; a duration above 0 would be right", c.drainTimeout)
	}
	return nil
}

// Execute runs the agent until a signal and then drains it.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, c.check); e != cmdln.Success {
		return e
	}
	l := c.settings.Logger()
	intake.LimitRuntime(int64(c.settings.MemoryMB) << 20)
	sig, stopCatching := cmdln.Signals(ctx)
	defer stopCatching()
	h, stop, err := Start(c.settings, l)
	if err != nil {
		l.WithError(err).Error("agent failed to start")
		return cmdln.Failure
	}
	defer stop()
	opsrv.WatchInvariants(h.metrics.registry, l, h.trace)
	l.WithField("address", h.Address()).WithField("ops", h.OpsAddress()).Info("serving")
	<-sig.Done()
	// From here on a second signal ends the process at once.
	stopCatching()
	ctx, cancel := context.WithTimeout(ctx, c.drainTimeout)
	defer cancel()
	h.Drain(ctx)
	return cmdln.Success
}
