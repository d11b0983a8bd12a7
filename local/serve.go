package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/local/world"
	"github.com/google/subcommands"
)

const readyPoll = 20 * time.Millisecond

// serve is the subcommand that runs the whole path in one process.
type serve struct {
	listen string
	log    conf.Common
}

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "run the whole path in one process" }
func (*serve) Usage() string {
	return "serve [flags]:\n  Run stand-ins, agents and entries over loopback until interrupted.\n"
}

func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.listen, "listen", "127.0.0.1:8080", "IP address and port of the callers' HTTP server")
	f.StringVar(&s.log.LogFormat, "log-format", "text", "format of the log: text or json")
	f.StringVar(&s.log.LogLevel, "log-level", "error", "least level of logged lines: debug, info, warning or error")
}

func (s *serve) check() error {
	if !conf.IsAddress(s.listen) {
		return conf.Invalid("listen", s.listen, "an IP address and a port, such as 127.0.0.1:8080,")
	}
	return nil
}

func (s *serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, s.check); e != cmdln.Success {
		return e
	}
	ctx, cancel := cmdln.Signals(ctx)
	defer cancel()
	w, stop, err := world.Start(world.Example(s.listen), s.log.Logger())
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return cmdln.Failure
	}
	defer stop()
	for !w.Ready() && ctx.Err() == nil {
		time.Sleep(readyPoll)
	}
	first := w.Entries[w.Order[0]]
	fmt.Printf("ready: callers http://%s key %s\n", first.CallersAddress(), world.ExampleKey)
	for _, n := range w.Order {
		fmt.Printf("  entry %s: callers http://%s, operators http://%s\n", n, w.Entries[n].CallersAddress(), w.Entries[n].OpsAddress())
	}
	<-ctx.Done()
	return cmdln.Success
}
