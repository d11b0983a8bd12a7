package oai

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPartIDs checks that the same messages have the same ids in different requests, and others don't.
func TestPartIDs(t *testing.T) {
	parse := func(body string, isChat bool) []string {
		r, err := Parse([]byte(body), isChat)
		if err != nil {
			t.Fatal(err)
		}
		return r.Parts
	}
	a := parse(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"x"}]}`, true)
	b := parse(`{"model":"n","messages":[{"role":"system","content":"s"},{"role":"user","content":"y"},{"role":"assistant","content":"x"}]}`, true)
	shared := map[string]bool{}
	for _, p := range a {
		shared[p] = true
	}
	got := []bool{}
	for _, p := range b {
		got = append(got, shared[p])
	}
	if d := cmp.Diff([]bool{true, false, false}, got); d != "" {
		t.Errorf("shared parts (-want +got):\n%s", d)
	}
	if d := cmp.Diff(parse(`{"model":"m","prompt":"p"}`, false), parse(`{"model":"n","prompt":"p","stream":true}`, false)); d != "" {
		t.Errorf("parts of a text completion (-first +second):\n%s", d)
	}
}
