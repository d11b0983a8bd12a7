package fake

import "net"

// Raw starts a server that calls serve with each connection, and closes the connection after that.
func Raw(serve func(c *net.TCPConn)) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }, nil
}
