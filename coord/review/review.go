// Package review is the subcommand check-config of the operators' programs, which checks a configuration before it is
// sent; see package lint.
package review

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/lint"
	"cranberrypoint.example/coord/rules"
	"github.com/google/subcommands"
)

// Parse reads a configuration in one of its formats. Its errors name the line.
type Parse func(b []byte) (rules.Config, error)

// Command is the subcommand check-config. Use New.
type Command struct {
	parse   Parse
	inForce string
	json    bool
	out     io.Writer
	errOut  io.Writer
}

// New returns the subcommand for configurations in a format.
func New(p Parse) *Command { return &Command{parse: p, out: os.Stdout, errOut: os.Stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "check-config" }

// Synopsis returns a one-line description of the subcommand.
func (*Command) Synopsis() string {
	return "check a configuration and compare it with the one in force"
}

// Usage returns the help text of the subcommand.
func (*Command) Usage() string {
	return "check-config [-in-force FILE] [-json] FILE:\n  Exits with 0 if nothing is found, 1 if something is, 2 if a file can't be read.\n"
}

// SetFlags registers the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.inForce, "in-force", "", "path of the configuration in force, to compare with")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute prints what is found in a configuration, and its differences from the one in force. Differences alone
// are no findings.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		_, _ = fmt.Fprintln(c.errOut, "error: one file must be given")
		return cmdln.Usage
	}
	r, err := c.report(f.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintln(c.errOut, "error:", err)
		return cmdln.Usage
	}
	if err := c.print(r); err != nil {
		_, _ = fmt.Fprintln(c.errOut, "error:", err)
		return cmdln.Usage
	}
	if len(r.Findings) > 0 {
		return cmdln.Failure
	}
	return cmdln.Success
}

// report reads the files and returns what there is to say.
func (c *Command) report(name string) (r lint.Report, err error) {
	n, err := c.read(name)
	if err != nil {
		return r, err
	}
	if c.inForce == "" {
		return lint.New(n, nil), nil
	}
	old, err := c.read(c.inForce)
	if err != nil {
		return r, err
	}
	return lint.New(n, &old), nil
}

func (c *Command) read(name string) (n rules.Config, err error) {
	defer fault.Annotate(&err, "%s", name)
	b, err := os.ReadFile(name)
	if err != nil {
		return n, err
	}
	return c.parse(b)
}

// tabPadding is the number of spaces between table columns.
const tabPadding = 2

// print writes a report as JSON or as text.
func (c *Command) print(r lint.Report) error {
	if c.json {
		return json.NewEncoder(c.out).Encode(r)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, tabPadding, ' ', 0)
	for _, x := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", x.Severity, x.Item, x.Text)
	}
	for _, x := range r.Changes {
		_, _ = fmt.Fprintf(w, "change\t%s\t%s\n", x.Item, changeText(x))
	}
	if len(r.Findings) == 0 {
		_, _ = fmt.Fprintln(w, "ok: nothing found")
	}
	return w.Flush()
}

func changeText(x lint.Change) string {
	if x.Field == "" {
		return x.From + " -> " + x.To
	}
	return fmt.Sprintf("%s: %s -> %s", x.Field, x.From, x.To)
}
