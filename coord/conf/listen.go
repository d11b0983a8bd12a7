package conf

import (
	"crypto/tls"
	"net"

	"cranberrypoint.example/coord/fault"
	"github.com/sirupsen/logrus"
)

// Sockets are the listeners of a daemon and the configuration of its connections to
// other processes.
type Sockets struct {
	// TLS is nil for connections that are not encrypted.
	TLS *tls.Config
	// Peers is for other processes, Ops for operators.
	Peers, Ops net.Listener
	// More are the daemon's own, in the order of their addresses.
	More []net.Listener
}

// Open reads the certificates and opens the listeners of a daemon, those of some more
// addresses included. It opens all or none.
func (c *Common) Open(l logrus.FieldLogger, more ...string) (s *Sockets, err error) {
	defer fault.Annotate(&err, "open sockets")
	s = &Sockets{}
	if s.TLS, err = c.TLS(); err != nil {
		return nil, err
	}
	if s.TLS == nil {
		l.Warn("connections between processes are not encrypted: no -tls-cert")
	}
	var open []net.Listener
	for _, a := range append([]string{c.Listen, c.Ops}, more...) {
		x, err := net.Listen("tcp", a)
		if err != nil {
			closeAll(open)
			return nil, err
		}
		open = append(open, x)
	}
	s.Peers, s.Ops, s.More = open[0], open[1], open[2:]
	return s, nil
}

func closeAll(open []net.Listener) {
	for _, x := range open {
		_ = x.Close()
	}
}
