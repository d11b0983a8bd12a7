package proxy

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/digest"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
)

// FuzzListReply gives an entry any configuration and list of upstreams from another. It must not panic, and must be
// able to pass on what it adopts and to look up its routes.
func FuzzListReply(f *testing.F) {
	f.Add([]byte(`null`), []byte(`null`), int64(0), uint64(0))
	f.Add([]byte(`[null,{"Instance":"i","Service":"a","Address":"","Slots":-1}]`), []byte(`{"Routes":[null]}`), int64(-1), uint64(1)<<63)
	f.Add([]byte(`[{"Instance":"i","Service":"a","Stage":2,"Slots":9223372036854775807}]`),
		[]byte(`{"Version":18446744073709551615,"Services":[{"Name":"a","Engine":{}}],`+
			`"Routes":[{"Prefix":"/","Kind":"streaming","Shares":[{"Service":"a","Weight":1}]}],"Workspaces":[{"Keys":["k","k"],"Rate":-1}]}`), int64(1)<<62, uint64(1))
	f.Fuzz(func(t *testing.T, upstreams, config []byte, age int64, revision uint64) {
		var l []roster.Upstream
		if json.Unmarshal(upstreams, &l) != nil {
			return
		}
		list := digest.New()
		list.Set(l)
		delta, err := json.Marshal(digest.Delta{Full: true, Changed: l, Hash: list.Hash()})
		if err != nil {
			t.Fatal(err)
		}
		a := &wire.ListReply{Known: true, AgeMicros: age, Epoch: revision, Revision: revision, Delta: delta, Config: config, Departures: []*wire.Departure{{HiddenMicros: age}}, Leaving: []string{""}}
		p := newTestProxy(t.Context(), t)
		now := present()
		_ = p.adoptReply(now, p.listRequest(nil), nil, a, clock.Now().Add(-micros(age)))
		if v := p.snapshot.Load(); v != nil {
			checkAdopted(t, p, v, now)
		}
	})
}

// checkAdopted uses a snapshot as requests and other entries do.
func checkAdopted(t *testing.T, p *Proxy, v *snapshot, now moment) {
	for _, r := range v.rules.Config().Routes {
		q := httptest.NewRequest("GET", "/", nil)
		q.Host = r.Host
		x := &exchange{r: q, path: r.Prefix, arrived: now.time}
		if e := p.resolve(x, v); e == nil && x.route.Kind == rules.Streaming {
			p.priority(x)
			p.checkStillAllowed(x)
		}
	}
	if _, err := p.listAt(now.time.Add(time.Second), &wire.ListRequest{}); err != nil {
		t.Errorf("the list can't be passed on: %v", err)
	}
}
