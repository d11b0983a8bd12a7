package edge

import (
	"context"
	"flag"
	"time"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/opsrv"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

const (
	defaultDrainTimeout = 2 * time.Minute
	defaultDrainNotice  = 5 * time.Second
)

// Command is the subcommand that runs an entry, the process that accepts the requests of
// callers.
type Command struct {
	settings Settings
	// drainTimeout bounds the whole drain, including drainNotice.
	drainTimeout time.Duration
	// drainNotice is how long new requests are still served after SIGTERM.
	drainNotice time.Duration
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run the process that accepts callers' requests" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "serve [flags]:\n  Run until SIGTERM, then finish the requests in progress and exit.\n" +
		"  The default of each flag can be set by the environment variable CRANBERRYPOINT_NAME,\n" +
		"  with the name of the flag in upper case and underscores for hyphens.\n"
}

// SetFlags implements subcommands.Command. It registers a flag for each setting.
func (c *Command) SetFlags(f *flag.FlagSet) {
	s := &c.settings
	s.Register(f)
	f.StringVar(&s.CallersListen, "callers-listen", "127.0.0.1:8080", "IP address and port of the callers' HTTP server")
	f.DurationVar(&c.drainTimeout, "drain-timeout", defaultDrainTimeout, "maximum time to finish requests after SIGTERM")
	f.DurationVar(&c.drainNotice, "drain-notice", defaultDrainNotice, "time after SIGTERM in which new requests are still served while /readyz reports not ready")
}

// check validates the settings.
func (c *Command) check() error {
	if err := c.settings.Check(); err != nil {
		return err
	}
	switch {
	case !conf.IsAddress(c.settings.CallersListen):
		return conf.Invalid("callers-listen", c.settings.CallersListen, "an IP address and a port such as 10.0.0.5:8080")
	case c.drainTimeout <= 0:
		return eris.Errorf("-drain-timeout is %s; it must be above 0", c.drainTimeout)
	case c.drainNotice < 0:
		return eris.Errorf("-drain-notice is %s; it must be 0 or more", c.drainNotice)
	}
	return nil
}

// Execute implements subcommands.Command. It runs the entry until SIGTERM or SIGINT, then
// drains it.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, c.check); e != cmdln.Success {
		return e
	}
	l := c.settings.Logger()
	intake.LimitRuntime(int64(c.settings.MemoryMB) << 20)
	sig, cancel := cmdln.Signals(ctx)
	defer cancel()
	e, stop, err := Start(c.settings, l)
	if err != nil {
		l.WithError(err).Error("the entry failed to start")
		return cmdln.Failure
	}
	defer stop()
	opsrv.WatchInvariants(e.metrics.registry, l, e.trace)
	l.WithField("callers", e.CallersAddress()).WithField("address", e.PeerAddress()).WithField("ops", e.OpsAddress()).Info("serving")
	<-sig.Done()
	cancel()
	ctx, done := context.WithTimeout(ctx, c.drainTimeout)
	defer done()
	e.Drain(ctx, c.drainNotice)
	return cmdln.Success
}
