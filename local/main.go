// Command local runs the whole path over loopback, and stand-ins of the systems that it
// meets.
package main

import (
	"os"

	"cranberrypoint.example/coord/cmdln"
)

func main() {
	os.Exit(cmdln.Main("local", &serve{}, &platform{}, &engineCmd{}, &plainCmd{}, &weightsCmd{}, &loadCmd{}, &settings{}))
}
