package oper

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/tree"
	"github.com/google/subcommands"
)

// Hash is the subcommand that prints the hash of a key for the settings.
type Hash struct{}

// Name returns the name of the subcommand.
func (*Hash) Name() string { return "hash" }

// Synopsis returns a line about the subcommand.
func (*Hash) Synopsis() string { return "print the hashes of keys for the settings" }

// Usage returns the help text of the subcommand.
func (*Hash) Usage() string {
	return "hash:\n  Read keys from standard input, one a line, and print the hash of each.\n"
}

// SetFlags registers no flags.
func (*Hash) SetFlags(*flag.FlagSet) {}

// Execute prints the hashes.
func (*Hash) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s := bufio.NewScanner(os.Stdin)
	for s.Scan() {
		if k := strings.TrimSpace(s.Text()); k != "" {
			fmt.Println(tree.HashKey(k))
		}
	}
	if s.Err() != nil {
		return cmdln.Failure
	}
	return cmdln.Success
}
