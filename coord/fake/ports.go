package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports that the system does not hand out to outgoing connections: one of those may be
// taken between its choice and its use.
const (
	firstPort = 10000
	lastPort  = 32000
)

// portStep is the distance between the first ports of two test runs.
const portStep = 101

// nextPort counts through the ports, from a start that differs between test runs.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStep) }

// errNoPort means that all ports are taken.
var errNoPort = errors.New("no port is free")

// Address returns a loopback address that nobody listens on and that no other call in
// this process was given.
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
