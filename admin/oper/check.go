// Package oper holds the operators' subcommands.
package oper

import (
	"context"
	"flag"
	"fmt"
	"os"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/tree"
	"github.com/google/subcommands"
)

// Check is the subcommand that checks settings documents before they are published.
type Check struct{}

// Name returns the name of the subcommand.
func (*Check) Name() string { return "check" }

// Synopsis returns a line about the subcommand.
func (*Check) Synopsis() string { return "check settings documents" }

// Usage returns the help text of the subcommand.
func (*Check) Usage() string {
	return "check FILE...:\n  Check settings documents as the processes would. Exit 1 when one is wrong.\n"
}

// SetFlags registers no flags.
func (*Check) SetFlags(*flag.FlagSet) {}

// Execute checks each file and prints what is wrong.
func (*Check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "error: no file; the names of settings documents would be right")
		return cmdln.Usage
	}
	status := cmdln.Success
	for _, n := range f.Args() {
		t, err := load(n)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", n, err)
			status = cmdln.Failure
			continue
		}
		fmt.Printf("%s: ok: %d workspaces, %d models\n", n, t.WorkspaceCount(), len(t.Models()))
	}
	return status
}

func load(name string) (*tree.Tree, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return tree.FromDoc(1, b)
}
