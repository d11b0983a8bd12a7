package conf

import (
	"crypto/tls"
	"net"

	"cranberrypoint.example/coord/fault"
	"github.com/sirupsen/logrus"
)

// Sockets holds the open listeners of a daemon and the TLS configuration of its
// connections to other processes.
type Sockets struct {
	// TLS is nil when connections between processes are not encrypted.
	TLS *tls.Config
	// Peers accepts connections of other processes on Common.Listen, and Ops those of
	// operators on Common.Ops. Common.Peers has no part in either.
	Peers, Ops net.Listener
	// More holds the listeners of the additional addresses given to Open, in their order.
	More []net.Listener
}

// Open reads the certificates and listens on c.Listen, c.Ops and the additional addresses.
// If one of them fails, it closes the listeners opened so far and returns the error.
func (c *Common) Open(l logrus.FieldLogger, more ...string) (s *Sockets, err error) {
	defer fault.Annotate(&err, "open listeners")
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

func closeAll(listeners []net.Listener) {
	for _, x := range listeners {
		_ = x.Close()
	}
}
