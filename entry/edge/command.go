package edge

import (
	"context"
	"flag"
	"time"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/opsrv"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

const (
	defaultDrain  = 2 * time.Minute
	defaultNotice = 5 * time.Second
)

// Command is the subcommand that runs an entry.
type Command struct {
	settings Settings
	drain    time.Duration
	notice   time.Duration
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "serve" }

// Synopsis returns a line about the subcommand.
func (*Command) Synopsis() string { return "run the process that callers speak to" }

// Usage returns the help text of the subcommand.
func (*Command) Usage() string {
	return "serve [flags]:\n  Run until SIGTERM, then finish the requests in progress and exit.\n" +
		"  Each flag falls back to CRANBERRYPOINT_ and its name in upper case.\n"
}

// SetFlags registers the settings.
func (c *Command) SetFlags(f *flag.FlagSet) {
	s := &c.settings
	s.Register(f)
	f.StringVar(&s.CallersListen, "callers-listen", "127.0.0.1:8080", "IP address and port of the callers' HTTP server")
	f.DurationVar(&c.drain, "drain-timeout", defaultDrain, "longest time to finish requests after SIGTERM")
	f.DurationVar(&c.notice, "drain-notice", defaultNotice, "time after SIGTERM in which new requests are still served while /readyz says no")
}

func (c *Command) check() error {
	if err := c.settings.Check(); err != nil {
		return err
	}
	switch {
	case !conf.IsAddress(c.settings.CallersListen):
		return conf.Invalid("callers-listen", c.settings.CallersListen, "an IP address and a port, such as 10.0.0.5:8080,")
	case c.drain <= 0:
		return eris.Errorf("-drain-timeout is %s; a duration above 0 would be right", c.drain)
	case c.notice < 0:
		return eris.Errorf("-drain-notice is %s; a duration of 0 or more would be right", c.notice)
	}
	return nil
}

// Execute runs the entry until a signal.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.Checked(f, c.check); e != cmdln.Success {
		return e
	}
	l := c.settings.Logger()
	sig, cancel := cmdln.Signals(ctx)
	defer cancel()
	e, stop, err := Start(c.settings, l)
	if err != nil {
		l.WithError(err).Error("start")
		return cmdln.Failure
	}
	defer stop()
	opsrv.WatchInvariants(e.metrics.registry, l, e.trace)
	l.WithField("callers", e.CallersAddress()).WithField("address", e.PeerAddress()).WithField("ops", e.OpsAddress()).Info("serving")
	<-sig.Done()
	cancel()
	ctx, done := context.WithTimeout(ctx, c.drain)
	defer done()
	e.Drain(ctx, c.notice)
	return cmdln.Success
}
