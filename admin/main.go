// Command admin is the operators' tool: it checks and explains settings, and asks the
// processes for their status and their time lines.
package main

import (
	"os"

	"cranberrypoint.example/admin/oper"
	"cranberrypoint.example/coord/cmdln"
)

func main() {
	os.Exit(cmdln.Main("admin", &oper.Check{}, &oper.Explain{}, &oper.ExplainRequest{}, &oper.Hash{}, &oper.Status{}, &oper.Timeline{}))
}
