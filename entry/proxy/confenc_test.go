package proxy

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestConfigIsCompressedForThoseWhoReadIt checks what callers of this and of an earlier release get of a large and of a small
// configuration, and that both decode it.
func TestConfigIsCompressedForThoseWhoReadIt(t *testing.T) {
	large, small := largeRules(t, 7), mustRules(t, 7)
	for _, c := range []struct {
		name    string
		rules   calls.Listing
		accepts bool
		want    bool
	}{
		{"large, this release", calls.Listing{Rules: large, Revision: 1}, true, true},
		{"large, an earlier release", calls.Listing{Rules: large, Revision: 1}, false, false},
		{"small, this release", calls.Listing{Rules: small, Revision: 1}, true, false},
	} {
		e := newSimEntry(t)
		mustAdopt(t, e, time.Now(), c.rules)
		a, err := e.List(t.Context(), &wire.ListRequest{Version: 6, AcceptsCompressed: c.accepts})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeConfig(a)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.rules.Rules.Config(), got); d != "" {
			t.Errorf("%s: configuration (-want +got):\n%s", c.name, d)
		}
		if a.ConfigCompressed != c.want {
			t.Errorf("%s: compressed %t, want %t", c.name, a.ConfigCompressed, c.want)
		}
		if v := e.snapshot.Load(); c.want && len(a.Config) > len(v.config.json)/4 {
			t.Errorf("%s: %d bytes of %d", c.name, len(a.Config), len(v.config.json))
		}
	}
}

// TestSpoiltConfigIsNotAdopted checks that a compressed configuration that is cut, spoilt or none changes nothing.
func TestSpoiltConfigIsNotAdopted(t *testing.T) {
	whole := &encodedConfig{json: []byte(`{"Version":9}`)}
	whole.compress()
	for _, b := range [][]byte{nil, []byte("x"), whole.json, whole.compressed[:len(whole.compressed)/2], append([]byte{0, 1}, whole.compressed...)} {
		if c, err := decodeConfig(&wire.ListReply{ConfigCompressed: true, Config: b}); err == nil {
			t.Errorf("%q: configuration %v, want an error", b, c)
		}
	}
}
