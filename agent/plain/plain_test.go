package plain

import (
	"fmt"
	"net/http"
	"testing"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestSecondCopyReachesNoOtherCaller guards against a late second copy of an answer that reaches the caller of the next
// request on the connection.
func TestSecondCopyReachesNoOtherCaller(t *testing.T) {
	address, stop, err := fake.Repeater(func(q *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%s", q.Header.Get(RequestIDHeader))
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	c := New("http://" + address)
	for _, id := range []string{"1", "2"} {
		var got []byte
		s := Sink{
			Head:  func(*wire.Head) {},
			Data:  func(b []byte) error { got = append(got, b...); return nil },
			Ended: func(frame.Framing, frame.End) {},
		}
		if _, err := c.Call(t.Context(), &wire.Open{Method: "GET", Path: "/", Request: id, Idempotent: true}, http.NoBody, s); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(id, string(got)); d != "" {
			t.Errorf("answer (-want +got):\n%s", d)
		}
	}
}
