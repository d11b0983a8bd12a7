// Package cmdln runs the subcommands of a program. It provides what all programs share: the
// subcommand version, exit codes, signal handling and validation of flags.
package cmdln

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cranberrypoint.example/coord/conf"
	"github.com/google/subcommands"
)

// Version is the version of all programs of the project.
const Version = "0.1.0"

// Exit codes.
const (
	// Success means that the command succeeded.
	Success = subcommands.ExitSuccess
	// Failure means that the command failed, but not because of an invalid flag, environment
	// variable or argument.
	Failure = subcommands.ExitFailure
	// Usage means that a flag, environment variable or argument is invalid.
	Usage = subcommands.ExitUsageError
)

// Main runs the subcommand that the command line names, one of commands or the built-in help,
// flags and version, and returns the exit code of the process.
func Main(program string, commands ...subcommands.Command) int {
	return run(program, os.Args[1:], commands)
}

// run runs the subcommand that args name.
func run(program string, args []string, commands []subcommands.Command) int {
	f := flag.NewFlagSet(program, flag.ContinueOnError)
	c := subcommands.NewCommander(f, program)
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&versionCommand{program: program}, "")
	for _, x := range commands {
		c.Register(&helpCommand{Command: x}, "")
	}
	switch err := f.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return int(Success)
	case err != nil:
		return int(Usage)
	}
	return int(c.Execute(context.Background()))
}

// Signals returns a copy of ctx that SIGINT or SIGTERM cancels, and a function that
// restores the default handling of these signals, so that the next one ends the process.
func Signals(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// ParseEnvAndCheck reads the flags that are absent from the command line from environment
// variables, rejects positional arguments and calls check. It prints the first error to
// standard error and returns Usage, or returns Success.
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

// helpCommand adds -help and -h to a subcommand. Package flag handles them as well, but as an
// error, so that the process would end with the exit code of a wrong flag.
type helpCommand struct {
	subcommands.Command
	flags *flag.FlagSet
	help  bool
}

// SetFlags registers the flags of the subcommand and those for help.
func (h *helpCommand) SetFlags(f *flag.FlagSet) {
	h.flags = f
	h.Command.SetFlags(f)
	f.BoolVar(&h.help, "help", false, "print this text")
	f.BoolVar(&h.help, "h", false, "print this text")
}

// Execute prints the usage if help was asked for, and otherwise runs the subcommand.
func (h *helpCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	if !h.help {
		return h.Command.Execute(ctx, f, args...)
	}
	fmt.Print(h.Usage())
	h.flags.SetOutput(os.Stdout)
	h.flags.PrintDefaults()
	return Success
}

// versionCommand is the subcommand version.
type versionCommand struct{ program string }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version" }
func (*versionCommand) Usage() string {
	return "version:\n  Print the version of the program and of Go.\n"
}
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (v *versionCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	toolchain := ""
	if b, ok := debug.ReadBuildInfo(); ok {
		toolchain = b.GoVersion
	}
	fmt.Println(v.program, Version, toolchain)
	return Success
}
