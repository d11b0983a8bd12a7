// Command entry runs the process that accepts the HTTP requests of callers and forwards
// them to upstreams.
package main

import (
	"os"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/entry/edge"
)

func main() {
	os.Exit(cmdln.Main("entry", &edge.Command{}))
}
