package oper

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/tree"
	"github.com/google/subcommands"
)

// Explain is the subcommand that shows effective values and where they come from.
type Explain struct {
	file string
	json bool
}

// Name returns the name of the subcommand.
func (*Explain) Name() string { return "explain" }

// Synopsis returns a line about the subcommand.
func (*Explain) Synopsis() string { return "show each effective value of an item and its level" }

// Usage returns the help text of the subcommand.
func (*Explain) Usage() string {
	return "explain -settings FILE ITEM...:\n  ITEM is a route, or services/NAME, workspaces/NAME or routes/NAME.\n"
}

// SetFlags registers the flags.
func (e *Explain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.file, "settings", "settings.yaml", "file with the settings document")
	f.BoolVar(&e.json, "json", false, "print JSON")
}

// Execute prints the effective values of each item.
func (e *Explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "error: no item; the name of a route would be right")
		return cmdln.Usage
	}
	t, err := load(e.file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", e.file, err)
		return cmdln.Failure
	}
	for _, n := range f.Args() {
		if !tree.Owns(n) {
			n = tree.RoutePrefix + n
		}
		x, err := t.Explain(n)
		if err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			return cmdln.Failure
		}
		e.print(n, x)
	}
	return cmdln.Success
}

const tabPadding = 2

func (e *Explain) print(name string, x []tree.Explained) {
	if e.json {
		_ = json.NewEncoder(os.Stdout).Encode(x)
		return
	}
	fmt.Println(name)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tabPadding, ' ', 0)
	for _, v := range x {
		_, _ = fmt.Fprintf(w, "  %s\t%s\t%s\n", v.Name, v.Value, v.From)
	}
	_ = w.Flush()
}
