package oper

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/cmdln"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

const (
	// State changes that precede the start of a request by less than lookback are shown with
	// its lines, because they may explain its outcome.
	lookback     = 6 * time.Second
	maxLineBytes = 1 << 20
)

// ExplainRequest is the subcommand that reconstructs the history of a request from the logs
// of the processes.
type ExplainRequest struct{}

// Name returns the name of the subcommand.
func (*ExplainRequest) Name() string { return "explain-request" }

// Synopsis returns a one-line description of the subcommand.
func (*ExplainRequest) Synopsis() string { return "show the history of a request from log lines" }

// Usage returns the help text of the subcommand.
func (*ExplainRequest) Usage() string {
	return "explain-request ID [FILE...]:\n  Read JSON log lines from files or standard input. Text before the first { of a line is ignored.\n"
}

// SetFlags does nothing: the subcommand has no flags.
func (*ExplainRequest) SetFlags(_ *flag.FlagSet) {}

// Execute prints the log lines that explain the request, oldest first.
func (*ExplainRequest) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "error: no request given; expected a request ID")
		return cmdln.Usage
	}
	lines, err := readLogs(f.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return cmdln.Failure
	}
	s := relatedLines(lines, f.Arg(0))
	if len(s) == 0 {
		fmt.Fprintf(os.Stderr, "error: no log line for request %s; the process may have dropped it under load, or the logs of the process that handled the request may be missing\n", f.Arg(0))
		return cmdln.Failure
	}
	for _, l := range s {
		fmt.Println(l)
	}
	return cmdln.Success
}

// line is one parsed log line.
type line struct {
	at     time.Time
	vm     string
	event  string
	fields map[string]any
}

// String formats the line as time, VM, event and the other fields as KEY=VALUE sorted by key.
// It omits the level, the message and the request ID.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.vm, l.event)
	for _, k := range slices.Sorted(maps.Keys(l.fields)) {
		switch k {
		case "time", "vm", "event", "level", "msg", "request":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}

// readLogs parses the log lines of the files, or of standard input if there are none.
func readLogs(files []string) (lines []line, err error) {
	if len(files) == 0 {
		return parseLines(os.Stdin)
	}
	for _, n := range files {
		f, err := os.Open(n)
		if err != nil {
			return nil, err
		}
		l, err := parseLines(f)
		_ = f.Close()
		if err != nil {
			return nil, eris.Wrap(err, n)
		}
		lines = append(lines, l...)
	}
	return lines, nil
}

// parseLines returns the JSON log lines that have a valid time and an event, and skips all
// other lines.
func parseLines(r io.Reader) (lines []line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		t := s.Text()
		i := strings.IndexByte(t, '{')
		if i < 0 {
			continue
		}
		l := line{fields: map[string]any{}}
		if json.Unmarshal([]byte(t[i:]), &l.fields) != nil {
			continue
		}
		l.vm, _ = l.fields["vm"].(string)
		l.event, _ = l.fields["event"].(string)
		at, _ := l.fields["time"].(string)
		if l.at, err = time.Parse(time.RFC3339Nano, at); err != nil || l.event == "" {
			continue
		}
		lines = append(lines, l)
	}
	return lines, s.Err()
}

// relatedLines returns the lines that explain the request with the given ID, ordered by time.
// These are all lines of the request, and the state changes of the VMs that logged them. State
// changes are the lines without a request ID; they are included from lookback before the start
// of the request until its last line. The took-ms field of a line is the time that the request
// took until the line was written, so the request can start before its first line.
func relatedLines(lines []line, id string) (s []line) {
	var start, last time.Time
	vms := map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		if took, ok := l.fields["took-ms"].(float64); ok {
			began := l.at.Add(-time.Duration(took) * time.Millisecond)
			if start.IsZero() || began.Before(start) {
				start = began
			}
		}
		if start.IsZero() || l.at.Before(start) {
			start = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		vms[l.vm] = true
	}
	for _, l := range lines {
		_, hasRequest := l.fields["request"]
		stateChange := !hasRequest && vms[l.vm] && l.at.After(start.Add(-lookback)) && !l.at.After(last)
		if l.fields["request"] == id || stateChange {
			s = append(s, l)
		}
	}
	slices.SortStableFunc(s, func(a, b line) int { return a.at.Compare(b.at) })
	return s
}
