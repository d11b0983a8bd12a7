// Command entry is the process on an entry VM that callers speak to.
package main

import (
	"os"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/entry/edge"
)

func main() {
	os.Exit(cmdln.Main("entry", &edge.Command{}))
}
