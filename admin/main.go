// Command admin is the command-line tool for operators. It validates settings documents,
// shows the effective settings, hashes API keys, queries running processes for their status
// and timelines, and traces a request through log files.
package main

import (
	"os"

	"cranberrypoint.example/admin/oper"
	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/lint"
	"cranberrypoint.example/coord/review"
)

func main() {
	os.Exit(cmdln.Main("admin", &oper.Check{}, review.New(lint.Parse), &oper.Explain{}, &oper.ExplainRequest{}, &oper.Hash{}, &oper.Status{}, &oper.Timeline{}))
}
