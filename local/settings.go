package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/tree"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

// settings is the subcommand that prints a settings document of a given size.
type settings struct {
	workspaces int
	models     int
}

func (*settings) Name() string     { return "settings" }
func (*settings) Synopsis() string { return "print a settings document of a given size" }
func (*settings) Usage() string {
	return "settings [flags]:\n  Print a document with many workspaces, to measure what it costs.\n"
}

func (s *settings) SetFlags(f *flag.FlagSet) {
	f.IntVar(&s.workspaces, "workspaces", 13000, "number of workspaces")
	f.IntVar(&s.models, "models", 7, "number of models")
}

func (s *settings) check() error {
	if s.workspaces < 1 || s.models < 1 {
		return eris.Errorf("-workspaces is %d and -models is %d; numbers above 0 would be right", s.workspaces, s.models)
	}
	return nil
}

func (s *settings) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e := cmdln.ParseEnvAndCheck(f, s.check); e != cmdln.Success {
		return e
	}
	w := bufio.NewWriter(os.Stdout)
	_, _ = fmt.Fprintln(w, "root: {data-centres: [east, west]}\nservices:\n  assistant: {kind: generate}\nworkspaces:")
	for i := range s.workspaces {
		_, _ = fmt.Fprintf(w, "  w%d: {rate: 1000, burst: 10000, keys: [%s]}\n", i, tree.HashKey(fmt.Sprint(i)))
	}
	_, _ = fmt.Fprintln(w, "routes:")
	for i := range s.models {
		_, _ = fmt.Fprintf(w, "  m%d: {service: assistant, model: m%d}\n", i, i)
	}
	if w.Flush() != nil {
		return cmdln.Failure
	}
	return cmdln.Success
}
