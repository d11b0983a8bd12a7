package mesh

import (
	"io"
	"testing"
	"time"

	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/rumor"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
)

// encoded returns the encoding of a message.
func encoded(f *testing.F, m proto.Message) []byte {
	f.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	return b
}

// FuzzGossip gives a member any request and any reply of another. It must not panic, and must keep its own
// record.
func FuzzGossip(f *testing.F) {
	rumors := &wire.Rumors{
		Suspects: []*wire.Suspect{{}, {Key: "k"}},
		Limits:   []*wire.AdvertisedLimit{{}, {Instance: "i"}},
	}
	for _, q := range []*wire.GossipRequest{
		{},
		{Self: &wire.Member{}, Seen: []*wire.Seen{{}}, Rumors: rumors},
		{Self: &wire.Member{Name: "self", Incarnation: 1<<63 - 1, Beat: 1<<64 - 1, Capacity: -1}, Rumors: &wire.Rumors{}},
	} {
		f.Add(encoded(f, q), encoded(f, &wire.GossipReply{Members: []*wire.Member{q.Self, {}}, Rumors: q.Rumors}))
	}
	l := logrus.New()
	l.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, request, reply []byte) {
		var q wire.GossipRequest
		var a wire.GossipReply
		if proto.Unmarshal(request, &q) != nil || proto.Unmarshal(reply, &a) != nil {
			return
		}
		p, closePool := link.NewPool(nil)
		defer closePool()
		r := rumor.New()
		m := New(&wire.Member{Name: "self", Role: RoleEntry, Incarnation: 1}, nil, p, l, WithRumors(r))
		if _, err := m.Gossip(t.Context(), &q); err != nil {
			t.Errorf("reply: %v", err)
		}
		now := time.Now()
		m.members.HandleReply(now, &a)
		m.mergeRumors(a.Rumors)
		m.members.Heartbeat(now)
		m.members.Request()
		r.Report(now.Add(time.Second))
		for _, role := range []string{RoleEntry, RoleAgent} {
			m.Live(role)
			m.Heard(role)
		}
		if m.Self().Name != "self" {
			t.Errorf("the member's own name is %q", m.Self().Name)
		}
	})
}
