package region

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBounds checks which regions lists allow together. The region "" is that of an unknown data centre.
func TestBounds(t *testing.T) {
	regions := []string{"north", "south", "west", ""}
	for _, c := range []struct {
		name             string
		route, workspace []string
		want             []string
		text             string
	}{
		{"none given", nil, nil, regions, "any"},
		{"empty lists", []string{}, []string{}, regions, "any"},
		{"route alone", []string{"south", "north"}, nil, []string{"north", "south"}, "north, south"},
		{"workspace alone", nil, []string{"west"}, []string{"west"}, "west"},
		{"both bind", []string{"north", "south"}, []string{"south", "west"}, []string{"south"}, "south"},
		{"nothing in common", []string{"north"}, []string{"west"}, nil, "none"},
		{"unknown region", []string{"mars", "north"}, nil, []string{"north"}, "mars, north"},
		{"unknown region alone", []string{"mars"}, nil, nil, "mars"},
		{"duplicates", []string{"west", "west"}, []string{"west"}, []string{"west"}, "west"},
		{"an empty name", []string{"", "west"}, nil, []string{"west"}, "west"},
		{"an empty name alone", []string{""}, nil, nil, "none"},
	} {
		b := New(c.route, c.workspace)
		var got []string
		for _, r := range regions {
			if b.Allows(r) {
				got = append(got, r)
			}
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: allowed (-want +got):\n%s", c.name, d)
		}
		if d := cmp.Diff(c.text, b.String()); d != "" {
			t.Errorf("%s: text (-want +got):\n%s", c.name, d)
		}
	}
}

// TestFullRegionKeepsItsRequests replays a rush of requests that must stay in a region with one of three
// upstreams, each of which runs one request at a time. The idle ones elsewhere must get none; without the
// decision they get most.
func TestFullRegionKeepsItsRequests(t *testing.T) {
	const (
		requests = 300
		arrival  = 10 * time.Millisecond
		work     = 40 * time.Millisecond
	)
	b := New([]string{"north", "south"}, []string{"north"})
	upstreams := []string{"north", "south", ""}
	idleAt := map[string]time.Duration{}
	runs := map[string]int{}
	for n := range requests {
		now := time.Duration(n) * arrival
		for _, u := range upstreams {
			if b.Allows(u) && idleAt[u] <= now {
				idleAt[u] = now + work
				runs[u]++
				break
			}
		}
	}
	want := map[string]int{"north": requests * int(arrival) / int(work)}
	if d := cmp.Diff(want, runs); d != "" {
		t.Errorf("runs by region (-want +got):\n%s", d)
	}
}
