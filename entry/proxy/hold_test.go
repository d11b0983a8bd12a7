package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// confirmDelay is the time that a grantingAgent takes to confirm the end of a reservation.
const confirmDelay = 10 * time.Millisecond

// grantingAgent is an agent that grants each request for a reservation and confirms its end late.
type grantingAgent struct {
	wire.DRPCMeshUnimplementedServer
}

func (*grantingAgent) Hold(s wire.DRPCMesh_HoldStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	if err := s.Send(&wire.HoldReply{Granted: true}); err != nil {
		return err
	}
	for {
		if _, err := s.Recv(); err != nil {
			time.Sleep(confirmDelay)
			return nil
		}
	}
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// TestReservationAfterBrokenOffRequestIsNotCancelled guards against a refusal for want of a place right after another request
// was broken off: the end of that request closed the connection on which its reservation was just ending, and the next
// reservation could take that connection.
func TestReservationAfterBrokenOffRequestIsNotCancelled(t *testing.T) {
	p := newTestProxy(t.Context(), t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: n}
	go func() { _ = link.ServeMesh(t.Context(), l, nil, &grantingAgent{}) }()
	sub := &subscription{manager: engineManager{process: "agent", address: l.Addr().String()}}
	q := &wire.HoldRequest{Request: "r", PatienceMicros: time.Second.Microseconds()}
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		_, release, err := p.reserve(ctx, sub, q)
		if err != nil {
			t.Fatalf("reservation: %v", err)
		}
		release(false)
		cancel()
		p.tasks.Close() // The reservation has ended.
		p.tasks = tasks.Group{}
	}
	if d := cmp.Diff(int64(1), l.accepted.Load()); d != "" {
		t.Errorf("connections to the agent, one reservation after the other (-want +got):\n%s", d)
	}
}
