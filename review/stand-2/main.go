// Command stand-2 runs the cases of the second review. Each case starts the project's programs as processes on loopback
// addresses, beside small stand-ins of the platform's store, of runners and of clients, and checks one rule.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns an exit status.
var cases = map[string]func(w *world) int{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		serveRunner(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and returns its exit status. What it starts has ended by then.
func run(name, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return failed
	}
	defer w.close()
	result := make(chan int, 1)
	go func() { result <- cases[name](w) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-result:
		return r
	case <-stop:
	case <-time.After(maxTime):
	}
	w.record.say("the case was stopped before its end")
	return failed
}
