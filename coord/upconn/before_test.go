package upconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
)

// TestAnswerBeforeRequestIsNone lets an upstream send bytes on a connection before the request: on one that is kept after an answer, and on a
// new one. They must not answer the request, whatever follows them; on a kept connection they are seen before it is sent.
func TestAnswerBeforeRequestIsNone(t *testing.T) {
	const (
		foreign = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 7\r\n\r\nforeign"
		unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"
		part    = "HTTP/1.1 200 OK\r\nId: 1"
	)
	ends := map[string]func(c *net.TCPConn){
		"closed":      func(*net.TCPConn) {},
		"reset":       reset,
		"half-closed": stall,
	}
	for name, early := range map[string]string{"another one's": foreign, "one without a name": unnamed, "a part of one": part, "a byte": "\n", "nothing": ""} {
		for end, f := range ends {
			for _, kept := range []bool{false, true} {
				sent := make(chan bool, 2)
				address, stop, err := fake.Raw(func(c *net.TCPConn) {
					if kept {
						r := bufio.NewReader(c)
						q, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, q.Body)
						_, _ = io.WriteString(c, okResponse("first", "first"))
						if q.Header.Get("Id") != "first" {
							return
						}
						time.Sleep(2 * time.Millisecond)
					}
					_, _ = io.WriteString(c, early)
					f(c)
					sent <- true
				})
				if err != nil {
					t.Fatal(err)
				}
				p := newPool(t)
				if kept {
					if s, b := status(t, p, address, newRequest("first")); s != http.StatusOK {
						t.Fatalf("first request: %d %s", s, b)
					}
					<-sent
					time.Sleep(2 * time.Millisecond)
				}
				if s, b := status(t, p, address, newRequest("1")); s != 0 {
					t.Errorf("%s, %s, kept %t: status %d, %q", name, end, kept, s, b)
				}
				stop()
			}
		}
	}
}
