// Command agent runs beside one upstream, a model engine or a plain HTTP service. It queues
// the runs that entries, the processes that callers connect to, send to the upstream.
package main

import (
	"os"

	"cranberrypoint.example/agent/host"
	"cranberrypoint.example/coord/cmdln"
)

func main() {
	os.Exit(cmdln.Main("agent", &host.Command{}))
}
