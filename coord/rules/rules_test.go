package rules

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func config() Config {
	return Config{
		Version:  3,
		Services: []Service{{Name: "app"}, {Name: "llm"}},
		Routes: []Route{
			{Name: "short", Host: "A.example", Prefix: "/x/", Destinations: []Destination{{"app", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Destinations: []Destination{{"app", 90}, {"llm", 10}}},
			{Name: "other", Host: "b.example", Prefix: "/x/", Destinations: []Destination{{"llm", 1}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	}
}

func TestRoute(t *testing.T) {
	r, err := New(config())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"},
		{"a.EXAMPLE", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/z", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if t := r.Route(c.host, c.path); t != nil {
			got = t.Name
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s%s (-want +got):\n%s", c.host, c.path, d)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r, err := New(config())
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	for n := range 200 {
		got[r.Route("a.example", "/x/y/").Pick(n)]++
	}
	if d := cmp.Diff(map[string]int{"app": 180, "llm": 20}, got); d != "" {
		t.Errorf("picks (-want +got):\n%s", d)
	}
}

func TestKeys(t *testing.T) {
	r, err := New(config())
	if err != nil {
		t.Fatal(err)
	}
	if w := r.Workspace("k2"); w == nil || w.Name != "w" {
		t.Errorf("Workspace(\"k2\") = %v, want workspace w", w)
	}
	if w := r.Workspace(""); w != nil {
		t.Errorf("Workspace(\"\") = %v, want nil", w)
	}
}

func TestInvalidRouteIsNamedInError(t *testing.T) {
	badPrefix := config()
	badPrefix.Routes[0].Prefix = "x"
	unknownService := config()
	unknownService.Routes[1].Destinations[0].Service = "none"
	for want, c := range map[string]Config{"route short": badPrefix, "route long": unknownService} {
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New: error %v, want one that contains %q", err, want)
		}
	}
}
