package cmdln

import (
	"context"
	"flag"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"
)

// testCommand is a subcommand that fails.
type testCommand struct{}

func (testCommand) Name() string             { return "test" }
func (testCommand) Synopsis() string         { return "fail" }
func (testCommand) Usage() string            { return "test:\n  Fail.\n" }
func (testCommand) SetFlags(f *flag.FlagSet) { f.Int("size", 0, "size in bytes") }
func (testCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return Failure
}

// TestExitCodes checks the exit codes of the program for help, wrong flags and the command's own.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		want subcommands.ExitStatus
	}{
		{[]string{"-help"}, Success},
		{[]string{"help", "test"}, Success},
		{[]string{"test", "-help"}, Success},
		{[]string{"test", "-h", "-size", "1"}, Success},
		{[]string{"test", "-size", "x"}, Usage},
		{[]string{"test", "-other"}, Usage},
		{[]string{"other"}, Usage},
		{[]string{"test", "-size", "1"}, Failure},
	} {
		if d := cmp.Diff(int(c.want), run("program", c.args, []subcommands.Command{testCommand{}})); d != "" {
			t.Errorf("%v: exit code (-want +got):\n%s", c.args, d)
		}
	}
}
