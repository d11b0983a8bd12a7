package oper

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/trace"
	"github.com/google/subcommands"
)

// Timeline is the subcommand that merges the timelines (recent trace events) of processes.
type Timeline struct {
	targets targets
	request string
	json    bool
}

// Name returns the name of the subcommand.
func (*Timeline) Name() string { return "timeline" }

// Synopsis returns a one-line description of the subcommand.
func (*Timeline) Synopsis() string { return "merge the timelines of processes" }

// Usage returns the help text of the subcommand.
func (*Timeline) Usage() string {
	return "timeline -ops ADDRESS,... [-request ID]:\n  Print the events of all processes, ordered by their hybrid logical clock timestamps.\n" +
		"  Exits with 1 if a process does not respond.\n"
}

// SetFlags registers the flags.
func (t *Timeline) SetFlags(f *flag.FlagSet) {
	t.targets.register(f)
	f.StringVar(&t.request, "request", "", "ID of the only request to show (default: all requests)")
	f.BoolVar(&t.json, "json", false, "print JSON")
}

// Execute prints the merged timeline of the processes that respond.
func (t *Timeline) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, t.targets.validate); e != cmdln.Success {
		return e
	}
	status := cmdln.Success
	var timelines [][]trace.Event
	for _, x := range fetchAll[[]trace.Event](ctx, t.targets.addresses(), "/timeline"+requestQuery(t.request)) {
		if x.err != nil {
			fmt.Fprintln(os.Stderr, "error:", x.err)
			status = cmdln.Failure
			continue
		}
		timelines = append(timelines, x.value)
	}
	t.print(trace.Merge(t.request, timelines...))
	return status
}

func (t *Timeline) print(events []trace.Event) {
	if t.json {
		_ = json.NewEncoder(os.Stdout).Encode(events)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tabPadding, ' ', 0)
	for _, e := range events {
		at := time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000000")
		_, _ = fmt.Fprintf(w, "%s.%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
			at, e.At.Logical, e.VM, e.Kind, e.Request, e.Attempt, e.Workspace, e.Peer, e.Detail)
	}
	_ = w.Flush()
}
