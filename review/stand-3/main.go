// Command stand-3 plays the cases of the third review: it starts the programs of the deploy file as processes on
// loopback addresses, with small stand-ins of the platform's store, of runners and of clients, and checks one rule by
// what clients and runners have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the function that plays each case.
var cases = map[string]func(w *world) (verdict, error){
	"extra":    playExtra,
	"versions": playVersions,
	"dark":     playDark,
	"stale":    playStale,
}

func main() {
	title := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "false to leave the disruption out")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/platform", "the program of the deploy file")
	flag.Parse()
	os.Exit(play(*title, *path, *program, *trouble))
}

// play plays a case and returns its exit code.
func play(title, path, program string, trouble bool) int {
	f, ok := cases[title]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", title)
		return exitNotRun
	}
	w, err := newWorld(program, trouble)
	defer w.close()
	var v verdict
	if err == nil {
		v, err = f(w)
	}
	if e := w.record.write(path, v); err == nil {
		err = e
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitNotRun
	}
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
