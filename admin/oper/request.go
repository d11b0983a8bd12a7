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
	// beforeRequest is how long before a request's first line what a process came to believe
	// may explain it.
	beforeRequest = 6 * time.Second
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
)

// ExplainRequest is the subcommand that tells a request's story from the processes' logs.
type ExplainRequest struct{}

// Name returns the name of the subcommand.
func (*ExplainRequest) Name() string { return "explain-request" }

// Synopsis returns a line about the subcommand.
func (*ExplainRequest) Synopsis() string { return "tell what became of a request, from log lines" }

// Usage returns the help text of the subcommand.
func (*ExplainRequest) Usage() string {
	return "explain-request ID [FILE...]:\n  Read JSON log lines from files or standard input; what stands before a line's { is passed over.\n"
}

// SetFlags registers no flags.
func (*ExplainRequest) SetFlags(_ *flag.FlagSet) {}

// Execute prints the story.
func (*ExplainRequest) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "error: no request; the id of one would be right")
		return cmdln.Usage
	}
	lines, err := readLogs(f.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return cmdln.Failure
	}
	s := story(lines, f.Arg(0))
	if len(s) == 0 {
		fmt.Fprintf(os.Stderr, "error: no line names %s; it was dropped under load, or another process took it\n", f.Arg(0))
		return cmdln.Failure
	}
	for _, l := range s {
		fmt.Println(l)
	}
	return cmdln.Success
}

// line is one log line.
type line struct {
	at     time.Time
	vm     string
	event  string
	fields map[string]any
}

// String returns the line for a reader: its fields in order, without what stands first.
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

func readLogs(files []string) (lines []line, err error) {
	if len(files) == 0 {
		return scan(os.Stdin)
	}
	for _, n := range files {
		f, err := os.Open(n)
		if err != nil {
			return nil, err
		}
		l, err := scan(f)
		_ = f.Close()
		if err != nil {
			return nil, eris.Wrap(err, n)
		}
		lines = append(lines, l...)
	}
	return lines, nil
}

// scan returns the log lines of a text; other lines are passed over.
func scan(r io.Reader) (lines []line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// story returns the lines of a request in order of time, and those in which the processes
// that dealt with it changed what they believe shortly before or meanwhile.
func story(lines []line, id string) (s []line) {
	var first, last time.Time
	vms := map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		if took, ok := l.fields["took-ms"].(float64); ok {
			begun := l.at.Add(-time.Duration(took) * time.Millisecond)
			if first.IsZero() || begun.Before(first) {
				first = begun
			}
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		vms[l.vm] = true
	}
	for _, l := range lines {
		_, other := l.fields["request"]
		belief := !other && vms[l.vm] && l.at.After(first.Add(-beforeRequest)) && !l.at.After(last)
		if l.fields["request"] == id || belief {
			s = append(s, l)
		}
	}
	slices.SortStableFunc(s, func(a, b line) int { return a.at.Compare(b.at) })
	return s
}
