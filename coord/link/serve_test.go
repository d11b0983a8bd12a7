package link

import (
	"context"
	"net"
	"testing"

	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// brittleMesh is a server whose handler panics on one message.
type brittleMesh struct {
	wire.DRPCMeshUnimplementedServer
}

func (*brittleMesh) Gossip(_ context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	// A request without a sender is a nil pointer here.
	return &wire.GossipReply{Members: []*wire.Member{{Name: q.Self.Name}}}, nil
}

// TestPanicEndsOnlyItsCall sends a message on which the handler panics. The call must fail, and the process
// must go on to answer others.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = ServeMesh(t.Context(), l, nil, &brittleMesh{}) }()
	p, closePool := NewPool(nil)
	defer closePool()
	if _, err := Call(t.Context(), p, l.Addr().String(), Gossip, &wire.GossipRequest{}); err == nil {
		t.Error("no error of a call whose handler panics")
	}
	got, err := Call(t.Context(), p, l.Addr().String(), Gossip, &wire.GossipRequest{Self: &wire.Member{Name: "a"}})
	if err != nil {
		t.Fatalf("the next call: %v", err)
	}
	if d := cmp.Diff("a", got.Members[0].Name); d != "" {
		t.Errorf("the next answer (-want +got):\n%s", d)
	}
}
