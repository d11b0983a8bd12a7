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

// Hash is the subcommand that prints hashes of API keys. Settings documents hold these hashes
// in place of the keys.
type Hash struct{}

// Name returns the name of the subcommand.
func (*Hash) Name() string { return "hash" }

// Synopsis returns a one-line description of the subcommand.
func (*Hash) Synopsis() string { return "print hashes of API keys for use in settings documents" }

// Usage returns the help text of the subcommand.
func (*Hash) Usage() string {
	return "hash:\n  Read API keys from standard input, one per line, and print the hash of each.\n"
}

// SetFlags does nothing: the subcommand has no flags.
func (*Hash) SetFlags(*flag.FlagSet) {}

// Execute prints the hash of each key on standard input. Blank lines are ignored.
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
