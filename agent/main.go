// Command agent is the process beside one upstream.
package main

import (
	"os"

	"cranberrypoint.example/agent/host"
	"cranberrypoint.example/coord/cmdln"
)

func main() {
	os.Exit(cmdln.Main("agent", &host.Command{}))
}
