package oper

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/opsrv"
	"github.com/google/subcommands"
)

// Status is the subcommand that prints the status of running processes.
type Status struct{ targets targets }

// Name returns the name of the subcommand.
func (*Status) Name() string { return "status" }

// Synopsis returns a one-line description of the subcommand.
func (*Status) Synopsis() string { return "show the status of processes" }

// Usage returns the help text of the subcommand.
func (*Status) Usage() string {
	return "status -ops ADDRESS,...:\n  Exits with 1 if a process does not respond or is not ready.\n"
}

// SetFlags registers the flags.
func (s *Status) SetFlags(f *flag.FlagSet) { s.targets.register(f) }

// Execute prints one line for each process that responds.
func (s *Status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, s.targets.validate); e != cmdln.Success {
		return e
	}
	status := cmdln.Success
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tabPadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tprogram\tdata centre\trevision\tready\tdraining\tactive")
	for _, x := range fetchAll[opsrv.Status](ctx, s.targets.addresses(), "/status") {
		if x.err != nil {
			fmt.Fprintln(os.Stderr, "error:", x.err)
			status = cmdln.Failure
			continue
		}
		v := x.value
		if !v.Ready {
			status = cmdln.Failure
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%t\t%d\n",
			v.VM, v.Program, v.DataCentre, v.Revision, v.Ready, v.Draining, v.Active)
	}
	_ = w.Flush()
	return status
}
