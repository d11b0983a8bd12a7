package oper

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const logs = `
not a log line
  1.2 vm-1 {"event":"store-lost","time":"2030-01-01T00:00:01Z","vm":"vm-1","error":"timeout"}
{"event":"store-lost","time":"2029-12-31T23:59:00Z","vm":"vm-1"}
{"event":"store-lost","time":"2030-01-01T00:00:01Z","vm":"vm-2"}
{"event":"request","request":"other","time":"2030-01-01T00:00:04Z","vm":"vm-1"}
{"event":"request","request":"r1","time":"2030-01-01T00:00:05Z","vm":"vm-1","status":503,"cause":"too old","took-ms":3}
{"event":"place","request":"r1","time":"2030-01-01T00:00:04.5Z","vm":"vm-3","granted":false}
{"event":"broken
`

// TestStory merges a request's lines with what its processes came to believe shortly before.
func TestStory(t *testing.T) {
	l, err := scan(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, x := range story(l, "r1") {
		got = append(got, x.String())
	}
	want := []string{
		"00:00:01.000 vm-1 store-lost error=timeout",
		"00:00:04.500 vm-3 place granted=false",
		"00:00:05.000 vm-1 request cause=too old status=503 took-ms=3",
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("story (-want +got):\n%s", d)
	}
	if s := story(l, "none"); len(s) > 0 {
		t.Errorf("story of an unknown request: %v", s)
	}
}
