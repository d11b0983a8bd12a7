// Package oper implements the subcommands of the admin command.
//
// A settings document is YAML. Its items are the root, which holds defaults, and services,
// workspaces (the customers who are charged) and routes. The key of an item is "root" or the
// kind and name of the item, such as "routes/NAME".
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

// Check is the subcommand that validates settings documents before they are published.
type Check struct{}

// Name returns the name of the subcommand.
func (*Check) Name() string { return "check" }

// Synopsis returns a one-line description of the subcommand.
func (*Check) Synopsis() string { return "validate settings documents" }

// Usage returns the help text of the subcommand.
func (*Check) Usage() string {
	return "check FILE...:\n  Validate settings documents with the same checks as the processes.\n  Exits with 1 if a document is invalid.\n"
}

// SetFlags does nothing: the subcommand has no flags.
func (*Check) SetFlags(*flag.FlagSet) {}

// Execute validates each file. It prints a summary of each valid document to standard output
// and the error of each invalid one to standard error.
func (*Check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "error: no file given; expected the names of settings documents")
		return cmdln.Usage
	}
	status := cmdln.Success
	for _, n := range f.Args() {
		t, err := loadSettings(n)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", n, err)
			status = cmdln.Failure
			continue
		}
		fmt.Printf("%s: ok: %d workspaces, %d models\n", n, t.WorkspaceCount(), len(t.Models()))
	}
	return status
}

// loadSettings parses and validates the settings document in the named file. A file has no
// revision; the tree gets revision 1, which shows only in the texts of errors.
func loadSettings(name string) (*tree.Tree, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return tree.FromDoc(1, b)
}
