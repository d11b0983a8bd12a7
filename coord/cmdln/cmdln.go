// Package cmdln runs the subcommands of a program.
package cmdln

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cranberrypoint.example/coord/conf"
	"github.com/google/subcommands"
)

// Version is that of the whole project.
const Version = "0.1.0"

// Exit codes.
const (
	// Success means that the command did what it was asked to do.
	Success = subcommands.ExitSuccess
	// Failure means that the command could not do it.
	Failure = subcommands.ExitFailure
	// Usage means that a flag, variable or argument is wrong.
	Usage = subcommands.ExitUsageError
)

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(program string, commands ...subcommands.Command) int {
	f := flag.NewFlagSet(program, flag.ContinueOnError)
	c := subcommands.NewCommander(f, program)
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&version{program: program}, "")
	for _, x := range commands {
		c.Register(x, "")
	}
	if err := f.Parse(os.Args[1:]); err != nil {
		return int(Usage)
	}
	return int(c.Execute(context.Background()))
}

// Signals returns a context that ends at SIGINT or SIGTERM, and a function that lets
// a second signal end the process.
func Signals(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// ParseEnvAndCheck sets flags from the environment and checks them. It prints the error.
func ParseEnvAndCheck(f *flag.FlagSet, check func() error) subcommands.ExitStatus {
	err := conf.Env(f)
	if err == nil && f.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q; flags alone would be right", f.Arg(0))
	}
	if err == nil {
		err = check()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return Usage
	}
	return Success
}

type version struct{ program string }

func (*version) Name() string             { return "version" }
func (*version) Synopsis() string         { return "print the version" }
func (*version) Usage() string            { return "version:\n  Print the version of the program and of Go.\n" }
func (*version) SetFlags(_ *flag.FlagSet) {}

func (v *version) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	toolchain := ""
	if b, ok := debug.ReadBuildInfo(); ok {
		toolchain = b.GoVersion
	}
	fmt.Println(v.program, Version, toolchain)
	return Success
}
