package review

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cranberrypoint.example/coord/cmdln"
	"cranberrypoint.example/coord/lint"
	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"
)

const (
	sound = `
version: 7
services: [{name: app}]
routes: [{name: r, host: h, prefix: /, kind: safe, timeout: 4s, destinations: [{service: app, weight: 1}]}]
workspaces: [{name: w, keys: [k]}]
`
	wrong  = "version: 8\nworkspaces: [{name: w, keys: [k]}, {name: v, keys: [k]}]\n"
	broken = "version: 7\nroute: 1\n"
)

// TestExitStatus checks the exit status, and what is printed, for good, bad and unreadable configurations.
func TestExitStatus(t *testing.T) {
	d := t.TempDir()
	for n, s := range map[string]string{"sound": sound, "wrong": wrong, "broken": broken} {
		if err := os.WriteFile(filepath.Join(d, n), []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args []string
		want subcommands.ExitStatus
		text string
	}{
		{[]string{"sound"}, cmdln.Success, "ok: nothing found\n"},
		{[]string{"wrong"}, cmdln.Failure, "error  workspaces/v  its key 1 is held by workspace w too\n"},
		{[]string{"-json", "wrong"}, cmdln.Failure, `{"findings":[{"severity":"error","item":"workspaces/v","text":"its key 1 is held by workspace w too"}],"changes":[]}` + "\n"},
		{[]string{"-in-force", "sound", "wrong"}, cmdln.Failure, "change  services/app   present -> absent"},
		{[]string{"broken"}, cmdln.Usage, "line 2"},
		{[]string{"-in-force", "broken", "sound"}, cmdln.Usage, "line 2"},
		{[]string{"missing"}, cmdln.Usage, "missing"},
		{nil, cmdln.Usage, "one file must be given"},
	} {
		t.Chdir(d)
		var b bytes.Buffer
		x := New(lint.Parse)
		x.out, x.errOut = &b, &b
		f := flag.NewFlagSet("check-config", flag.ContinueOnError)
		x.SetFlags(f)
		if err := f.Parse(c.args); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.want, x.Execute(t.Context(), f)); d != "" || !strings.Contains(b.String(), c.text) {
			t.Errorf("%v printed %q, want %q in it; status (-want +got):\n%s", c.args, b.String(), c.text, d)
		}
	}
}
