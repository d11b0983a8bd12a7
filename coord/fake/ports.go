package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// The range of ports, which lies below the ephemeral ports. An outgoing connection could
// take an ephemeral port after Address returned it and before the caller listens on it.
const (
	firstPort = 10000
	lastPort  = 32000
)

// blockPorts is the number of ports in a block. The first one marks the block as taken.
const blockPorts = 100

const blockCount = (lastPort - firstPort) / blockPorts

// errNoPort means that no port of the range is free.
var errNoPort = errors.New("no port is free")

// allocator hands out ports of blocks that it owns. It owns a block while it listens on the
// block's first port, so that allocators of test processes that run at the same time never hand
// out the same port.
type allocator struct {
	mu sync.Mutex
	// nextBlock is the index of the block to try next, counted on without end.
	nextBlock int
	marks     []net.Listener
	// ports are those of the owned blocks, in the order in which they are handed out.
	ports []int
	// nextPort is an index into ports.
	nextPort int
}

// claim takes the next block that nobody owns.
func (a *allocator) claim() error {
	for range blockCount {
		first := firstPort + a.nextBlock%blockCount*blockPorts
		a.nextBlock++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		a.marks = append(a.marks, l)
		for p := first + 1; p < first+blockPorts; p++ {
			a.ports = append(a.ports, p)
		}
		return nil
	}
	return errNoPort
}

// address returns the address of a free port. It hands out the ports again only once it can claim
// no further block.
func (a *allocator) address() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range lastPort - firstPort {
		if a.nextPort == len(a.ports) {
			if err := a.claim(); err != nil && len(a.ports) == 0 {
				return "", err
			}
			a.nextPort %= len(a.ports)
		}
		s := fmt.Sprintf("127.0.0.1:%d", a.ports[a.nextPort])
		a.nextPort++
		if l, err := net.Listen("tcp", s); err == nil {
			_ = l.Close()
			return s, nil
		}
	}
	return "", errNoPort
}

// processPorts is the allocator of this process. Processes begin at different blocks, so that
// they seldom try one that is taken.
var processPorts = &allocator{nextBlock: os.Getpid() % blockCount}

// Address returns a loopback address (127.0.0.1:port) without a listener. No other test process
// that runs at the same time is given the port.
func Address() (string, error) { return processPorts.address() }
