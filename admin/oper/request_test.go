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

// TestRelatedLines checks that the lines of a request are merged with the recent state changes
// of the VMs that handled it, and that older lines, other VMs and other requests are left out.
func TestRelatedLines(t *testing.T) {
	l, err := parseLines(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, x := range relatedLines(l, "r1") {
		got = append(got, x.String())
	}
	want := []string{
		"00:00:01.000 vm-1 store-lost error=timeout",
		"00:00:04.500 vm-3 place granted=false",
		"00:00:05.000 vm-1 request cause=too old status=503 took-ms=3",
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("relatedLines (-want +got):\n%s", d)
	}
	if s := relatedLines(l, "none"); len(s) > 0 {
		t.Errorf("relatedLines of an unknown request: %v", s)
	}
}
