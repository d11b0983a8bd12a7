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

// Explain is the subcommand that prints the effective settings of an item. For each value it
// prints the key of the level that sets it (the item itself or one of its ancestors up to the
// root), or tree.BuiltIn if none does.
type Explain struct {
	file string
	json bool
}

// Name returns the name of the subcommand.
func (*Explain) Name() string { return "explain" }

// Synopsis returns a one-line description of the subcommand.
func (*Explain) Synopsis() string {
	return "show the effective settings of an item and the level each comes from"
}

// Usage returns the help text of the subcommand.
func (*Explain) Usage() string {
	return "explain -settings FILE ITEM...:\n  ITEM is the name of a route, or services/NAME, workspaces/NAME or routes/NAME.\n"
}

// SetFlags registers the flags.
func (e *Explain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.file, "settings", "settings.yaml", "path of the settings document")
	f.BoolVar(&e.json, "json", false, "print JSON")
}

// Execute prints the effective settings of each item. An argument that is neither "root" nor a
// kind and a name, such as "services/NAME", is taken as the name of a route.
func (e *Explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "error: no item given; expected the name of a route, or services/NAME, workspaces/NAME or routes/NAME")
		return cmdln.Usage
	}
	t, err := loadSettings(e.file)
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

// tabPadding is the number of spaces between table columns.
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
