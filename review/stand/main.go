// Command stand plays the scripts of the review: it starts the project's programs as separate
// processes on loopback addresses, with small stand-ins of the platform's store, runners and
// clients in this process, and judges what these have seen.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// testCase plays one case and returns errBroken, another error if it couldn't run, or nil.
type testCase func(w *world) error

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case, whose record is written to a file.
func play(c testCase, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return statusNotRun
	}
	defer r.close()
	program, err := filepath.Abs("target/platform")
	if err != nil {
		r.verdict("not run: %v", err)
		return statusNotRun
	}
	w, err := newWorld(program, r, os.Getenv("TROUBLE") != "0")
	defer w.close()
	if err == nil {
		err = c(w)
	}
	switch {
	case errors.Is(err, errBroken):
		r.verdict("broken: %v", err)
		return statusBroken
	case err != nil:
		r.verdict("not run: %v", err)
		return statusNotRun
	}
	r.verdict("held")
	return statusHeld
}
