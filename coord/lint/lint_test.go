package lint

import (
	"reflect"
	"strings"
	"testing"

	"cranberrypoint.example/coord/rules"
	"github.com/google/go-cmp/cmp"
)

const sound = `
version: 7
services:
- {name: llm, max-connections: 20, engine: {slots: 12, memory-tokens: 80000, hold-time: 500ms}}
- {name: app}
routes:
- {name: chat, host: h, prefix: /chat/, kind: streaming, timeout: 14s, target-latency: 900ms, target-gap: 300ms, max-attempts: 1, destinations: [{service: llm, weight: 1}]}
- {name: app, host: h, prefix: /, kind: safe, timeout: 4s, target-latency: 100ms, max-attempts: 2, destinations: [{service: app, weight: 1}]}
workspaces:
- {name: w, keys: [secret-1], rate: 1000, burst: 2000, default-tokens: 20}
limits: {max-body-bytes: 1000}
`

// mustParse returns the configuration sound with replacements, given as old and new texts in turn.
func mustParse(t *testing.T, replace ...string) rules.Config {
	t.Helper()
	c, err := Parse([]byte(strings.NewReplacer(replace...).Replace(sound)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestFindings makes one mistake at a time in a sound configuration. Each must be found, and nothing else.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		name    string
		replace []string
		want    []Finding
	}{
		{"sound", nil, []Finding{}},
		{"hidden route", []string{"prefix: /,", "prefix: /chat/,"}, []Finding{{Error, "routes/app", "it can never match: route chat before it has the same host and prefix"}}},
		{"no weight", []string{"{service: app, weight: 1}", "{service: app}"}, []Finding{
			{Error, "routes/app", "no service of it has a weight, so all its requests are refused"}, {Warning, "services/app", "no route leads to it"},
		}},
		{"two names", []string{"name: app, host", "name: chat, host"}, []Finding{{Error, "routes/chat", "the name stands twice"}}},
		{"unknown kind", []string{"kind: safe", "kind: Safe"}, []Finding{{Error, "routes/app", `its kind "Safe" is unknown`}}},
		{"unknown service", []string{"{service: app, weight: 1}", "{service: ap, weight: 1}"}, []Finding{
			{Error, configItem, `the processes would refuse it: configuration version 7: route app: service "ap" is not configured`}, {Warning, "services/app", "no route leads to it"},
		}},
		{"timeout", []string{"timeout: 4s", "timeout: 50ms"}, []Finding{{Error, "routes/app", "its timeout 50ms is below its target-latency 100ms"}}},
		{"no timeout", []string{"timeout: 4s, ", ""}, []Finding{{Warning, "routes/app", "it has no timeout; the entries' default applies"}}},
		{"gap", []string{"target-gap: 300ms", "target-gap: 15s"}, []Finding{{Error, "routes/chat", "its timeout 14s is below its target-gap 15s"}}},
		{"attempts", []string{"kind: safe", "kind: unsafe"}, []Finding{{Warning, "routes/app", "max-attempts 2 has no effect, since its requests run at most once"}}},
		{"resumable", []string{"max-attempts: 2", "max-attempts: 2, resumable: true"}, []Finding{{Warning, "routes/app", "only streams are resumable"}}},
		{"hold time", []string{"hold-time: 500ms", "hold-time: 20s"}, []Finding{{Warning, "routes/chat", "engines of service llm hold KV caches for 20s, longer than its requests last (14s)"}}},
		{"no hold time", []string{", hold-time: 500ms", ""}, []Finding{{Warning, "services/llm", "without a hold-time no KV cache lasts until it is fetched"}}},
		{"engine", []string{"slots: 12", "slots: 0"}, []Finding{{Error, "services/llm", "an engine without slots or memory-tokens runs nothing"}}},
		{"connections", []string{"max-connections: 20", "max-connections: 5"}, []Finding{{Warning, "services/llm", "max-connections 5 is below the 12 slots, which can't all be used"}}},
		{"no keys", []string{"keys: [secret-1]", "keys: []"}, []Finding{{Warning, "workspaces/w", "it has no keys, so nobody can use it"}}},
		{"shared key", []string{"limits:", "- {name: v, keys: [k, secret-1]}\nlimits:"}, []Finding{{Error, "workspaces/v", "its key 2 is held by workspace w too"}}},
		{"empty key", []string{"[secret-1]", `["", secret-1]`}, []Finding{{Error, "workspaces/w", "its key 1 is empty"}}},
		{"burst", []string{"burst: 2000", "burst: 10"}, []Finding{{Error, "workspaces/w", "its burst 10 is below the 20 tokens of one request, which is never let through"}}},
		{"no burst", []string{"burst: 2000, ", ""}, []Finding{{Error, "workspaces/w", "its rate lets nothing through without a burst"}}},
		{"no rate", []string{"rate: 1000, ", ""}, []Finding{{Warning, "workspaces/w", "its burst has no effect without a rate"}}},
		{"negative", []string{"rate: 1000", "rate: -1"}, []Finding{{Error, "workspaces/w", "its rate, burst or default-tokens are negative"}}},
		{"limits", []string{"max-body-bytes: 1000", "max-body-bytes: -1"}, []Finding{{Error, configItem, "a limit is negative"}}},
	} {
		if d := cmp.Diff(c.want, New(mustParse(t, c.replace...), nil).Findings); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}

// TestChanges compares two configurations. Keys must not be told.
func TestChanges(t *testing.T) {
	old := mustParse(t)
	c := mustParse(t, "version: 7", "version: 8", "timeout: 14s", "timeout: 12s", "[secret-1]", "[secret-2, secret-3]", "- {name: app}\n", "- {name: app}\n- {name: new}\n", "max-body-bytes: 1000", "idle-timeout: 1m")
	r := New(c, &old)
	want := []Change{
		{configItem, "version", "7", "8"},
		{"limits", "max-body-bytes", "1000", "0"},
		{"limits", "idle-timeout", "0s", "1m0s"},
		{"services/new", "", absent, present},
		{"routes/chat", "timeout", "14s", "12s"},
		{"workspaces/w", "keys", "1 keys", "2 keys, not the same"},
	}
	if d := cmp.Diff(want, r.Changes); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
	old.Version = 8
	if f := New(c, &old).Findings; len(f) == 0 || f[0].Item != configItem {
		t.Errorf("a version that isn't above the one in force is not found: %v", f)
	}
}

// TestParseNamesLine checks that what can't be read is named by its line.
func TestParseNamesLine(t *testing.T) {
	for text, want := range map[string]string{
		"version: 7\nroutes:\n- {name: r, prefx: /}":   "line 3",
		"version: 7\nroutes:\n- {name: r, timeout: x}": "line 3",
		"version: 7\nroutes: [":                        "line 2",
		"":                                             "line 1",
		"{\"version\": 7,\n\"routes\": 5}":             "line 2",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v; want one that names %s", text, err, want)
		}
	}
}

// TestFieldsHaveNames checks that each field of a configuration has a name in documents and changes.
func TestFieldsHaveNames(t *testing.T) {
	for _, v := range []any{rules.Config{}, rules.Route{}, rules.Destination{}, rules.Service{}, rules.Engine{}, rules.Workspace{}, rules.Limits{}} {
		x := reflect.TypeOf(v)
		for i := range x.NumField() {
			if f := x.Field(i); f.Tag.Get("yaml") == "" {
				t.Errorf("%s.%s has no yaml tag", x.Name(), f.Name)
			}
		}
	}
}
