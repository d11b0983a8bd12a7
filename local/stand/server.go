package stand

import (
	"net"
	"net/http"
	"time"

	"cranberrypoint.example/coord/fault"
)

const headerTimeout = 10 * time.Second

// Serve serves a stand-in at an address and returns its base URL and a function that
// stops it at once.
func Serve(address string, h http.Handler) (base string, stop func(), err error) {
	defer fault.Annotate(&err, "serve stand-in")
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), func() { _ = s.Close() }, nil
}
