package script

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs are built once for all scripts.
var programs = []string{"entry", "agent", "admin", "local"}

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cranberrypoint")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := watchSources(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	for _, p := range programs {
		c := exec.Command("go", "build", "-o", filepath.Join(dir, p), ".")
		c.Dir = filepath.Join("..", "..", p)
		if out, err := c.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", p, err, out)
			return 1
		}
	}
	if err := os.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH")); err != nil {
		return 1
	}
	return m.Run()
}

// watchSources looks at all source files, so that a cached result of this package's
// tests ends when one of them changes.
func watchSources() error {
	return filepath.WalkDir(filepath.Join("..", ".."), func(p string, d os.DirEntry, err error) error {
		if err != nil || filepath.Ext(p) != ".go" {
			return err
		}
		_, err = os.Stat(p)
		return err
	})
}

func TestScripts(t *testing.T) {
	settings, err := os.ReadFile(filepath.Join("..", "world", "example.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			f := newFleet(e.WorkDir)
			e.Values[fleetKey{}] = f
			e.Defer(f.stop)
			return os.WriteFile(filepath.Join(e.WorkDir, "settings.yaml"), settings, 0o600)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"boot":     boot,
			"start":    startCmd,
			"signal":   signalCmd,
			"ended":    endedCmd,
			"ask":      askCmd,
			"answered": answeredCmd,
			"put":      putCmd,
			"mode":     modeCmd,
			"listed":   listedCmd,
			"logged":   loggedCmd,
			"effects":  effectsCmd,
			"empty":    emptyCmd,
			"idle":     idleCmd,
			"ops":      opsCmd,
			"sleep":    sleepCmd,
			"engines":  enginesCmd,
			"drive":    driveCmd,
			"flood":    floodCmd,
			"metrics":  metricsCmd,
			"lag":      lagCmd,
			"adopted":  adoptedCmd,
		},
	})
}
