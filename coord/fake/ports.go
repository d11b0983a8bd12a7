package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The range of ports, which lies below the ephemeral ports. An outgoing connection could
// take an ephemeral port after Address returned it and before the caller listens on it.
const (
	firstPort = 10000
	lastPort  = 32000
)

// portStep is the distance between the first ports of processes with successive IDs.
const portStep = 101

// nextPort cycles through the ports. Its start depends on the process ID, so that test
// processes that run at the same time rarely try the same ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStep) }

// errNoPort means that every port of the range was in use.
var errNoPort = errors.New("no port is free")

// Address returns a loopback address (127.0.0.1:port) without a listener. No port is
// returned twice in a process until the range is used up.
func Address() (string, error) {
	for range lastPort - firstPort {
		p := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		a := fmt.Sprintf("127.0.0.1:%d", p)
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a, nil
		}
	}
	return "", errNoPort
}
