package script

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cranberrypoint.example/agent/engine"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/local/stand"
	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/testscript"
)

func of(s *testscript.TestScript) *procs { return s.Value(fleetKey{}).(*procs) }

// needs ends the script unless a command has at least n arguments and is not negated.
func needs(s *testscript.TestScript, neg bool, args []string, n int, usage string) {
	if neg || len(args) < n {
		s.Fatalf("usage: %s", usage)
	}
}

// boot [CENTRE...] starts the platform and the processes of each data centre.
func boot(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 0, "boot [CENTRE...]")
	if len(args) == 0 {
		args = []string{"east", "west"}
	}
	s.Check(of(s).boot(args))
}

// start NAME starts a process again, with the settings of its first life.
func startCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "start NAME")
	s.Check(of(s).launch(args[0]))
	if v, ok := of(s).vms[args[0]]; ok {
		s.Check(of(s).reachable("http://" + v.Ops + "/readyz"))
	}
}

// signal kill|term|freeze|thaw NAME signals a process.
func signalCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 2, "signal kill|term|freeze|thaw NAME")
	n, ok := map[string]syscall.Signal{
		"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT,
	}[args[0]]
	p := of(s).all[args[1]]
	if !ok || p == nil {
		s.Fatalf("no signal %s or process %s", args[0], args[1])
	}
	s.Check(p.cmd.Process.Signal(n))
	if n == syscall.SIGKILL {
		<-p.done
	}
}

// ended NAME [CODE] waits for the end of a process and checks its exit code.
func endedCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "ended NAME [CODE]")
	p := of(s).all[args[0]]
	select {
	case <-p.done:
	case <-time.After(patience):
		s.Fatalf("%s does not end", args[0])
	}
	want := "0"
	if len(args) > 1 {
		want = args[1]
	}
	code := 0
	var x *exec.ExitError
	if errors.As(p.err, &x) {
		code = x.ExitCode()
	}
	if got := strconv.Itoa(code); got != want {
		s.Fatalf("%s ended with %s, want %s", args[0], got, want)
	}
}

// ask [flags] METHOD PATH [BODY] asks an entry and prints status, X-Request-Id and body.
// With -bg it goes on; answered waits for it.
func askCmd(s *testscript.TestScript, neg bool, args []string) {
	f := flag.NewFlagSet("ask", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	entry := f.String("entry", of(s).firstEntry(), "")
	key := f.String("key", exampleKey, "")
	idem := f.String("idem", "", "")
	bg := f.String("bg", "", "")
	s.Check(f.Parse(args))
	if neg || f.NArg() < 2 {
		s.Fatalf("usage: ask [-entry NAME] [-key KEY] [-idem KEY] [-bg NAME] METHOD PATH [BODY]")
	}
	q := question{entry: *entry, key: *key, idempotency: *idem, method: f.Arg(0), path: f.Arg(1), body: f.Arg(2)}
	r := &reply{done: make(chan struct{})}
	fl := of(s)
	go func() {
		defer close(r.done)
		x := fl.request(q)
		r.status, r.header, r.body, r.err = x.status, x.header, x.body, x.err
	}()
	if *bg != "" {
		fl.answers[*bg] = r
		return
	}
	<-r.done
	printReply(s, r)
}

func printReply(s *testscript.TestScript, r *reply) {
	if r.err != nil {
		_, _ = fmt.Fprintf(s.Stdout(), "error %v\n", r.err)
	}
	_, _ = fmt.Fprintf(s.Stdout(), "%d\n", r.status)
	for _, n := range []string{"X-Request-Id", "Retry-After"} {
		if v := r.header.Get(n); v != "" {
			_, _ = fmt.Fprintf(s.Stdout(), "%s: %s\n", n, v)
		}
	}
	_, _ = fmt.Fprint(s.Stdout(), r.body)
}

// answered NAME [PROMPT TOKENS] waits for an answer and prints it. With a prompt it
// checks that the answer is the whole one of the stand-in engine, byte by byte.
func answeredCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "answered NAME [PROMPT TOKENS]")
	r := of(s).answers[args[0]]
	if r == nil {
		s.Fatalf("nothing was asked as %s", args[0])
	}
	<-r.done
	printReply(s, r)
	if len(args) < 3 {
		return
	}
	n, err := strconv.ParseInt(args[2], 10, 64)
	s.Check(err)
	text, whole := r.text()
	if diff := cmp.Diff(stand.Answer(args[1], n), text); diff != "" || !whole {
		s.Fatalf("answer (-want +got), marked as whole %t:\n%s", whole, diff)
	}
}

// put KEY FILE publishes a value; put -d KEY removes one; put -doc FILE publishes a
// whole document.
func putCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 2, "put KEY FILE | put -d KEY | put -doc FILE")
	f := of(s)
	switch args[0] {
	case "-d":
		s.Check(f.control(http.MethodDelete, "/control/kv/"+args[1], nil))
	case "-doc":
		s.Check(f.control(http.MethodPut, "/control/doc", []byte(s.ReadFile(args[1]))))
	default:
		s.Check(f.control(http.MethodPut, "/control/kv/"+args[0], []byte(s.ReadFile(args[1]))))
	}
}

// mode MODE sets the fault of the platform.
func modeCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "mode up|down|stale|silent|slow")
	s.Check(of(s).control(http.MethodPost, "/control/mode/"+args[0], nil))
}

// listed NAME live|leaving|gone changes a VM in the platform's list.
func listedCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 2, "listed NAME live|leaving|gone")
	f := of(s)
	v, ok := f.vms[args[0]]
	if !ok {
		s.Fatalf("no VM %s", args[0])
	}
	if args[1] == "gone" {
		s.Check(f.control(http.MethodDelete, "/control/kv/vms/"+v.Name, nil))
		return
	}
	v.State = fleet.State(args[1])
	s.Check(f.list(v))
}

// effects MAX checks that no request had more than MAX effects at the plain services,
// and prints all effects.
func effectsCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "effects MAX")
	limit, err := strconv.Atoi(args[0])
	s.Check(err)
	for n, u := range of(s).upstream {
		if !strings.HasSuffix(n, fleet.Plain) {
			continue
		}
		b := get(s, u+"/control/effects")
		_, _ = fmt.Fprint(s.Stdout(), b)
		for _, l := range strings.Split(strings.TrimSpace(b), "\n") {
			var id string
			var count int
			if l == "" {
				continue
			}
			if _, err := fmt.Sscan(l, &id, &count); err != nil || count > limit {
				s.Fatalf("request %s had %d effects at %s (%v)", id, count, n, err)
			}
		}
	}
}

func get(s *testscript.TestScript, url string) string {
	a, err := http.Get(url)
	s.Check(err)
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	s.Check(err)
	return string(b)
}

// empty waits until no engine holds memory for a request.
func emptyCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 0, "empty")
	end := time.Now().Add(patience)
	for {
		held := 0
		for n, u := range of(s).upstream {
			if strings.HasSuffix(n, fleet.Plain) {
				continue
			}
			var h engine.Allocations
			s.Check(json.Unmarshal([]byte(get(s, u+"/v1/held")), &h))
			held += len(h.Requests)
		}
		if held == 0 {
			return
		}
		if time.Now().After(end) {
			s.Fatalf("the engines still hold memory of %d requests", held)
		}
		time.Sleep(poll)
	}
}

// ops sets the variable OPS to the operators' addresses of all VMs.
func opsCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 0, "ops")
	var r []string
	for _, v := range of(s).vms {
		r = append(r, v.Ops)
	}
	s.Setenv("OPS", strings.Join(r, ","))
}

// sleep DURATION waits.
func sleepCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "sleep DURATION")
	d, err := time.ParseDuration(args[0])
	s.Check(err)
	time.Sleep(d)
}

// logged NAME DURATION TEXT waits until the log of a process has a text, for a time at most.
func loggedCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 3, "logged NAME DURATION TEXT")
	d, err := time.ParseDuration(args[1])
	s.Check(err)
	for end := time.Now().Add(d); !strings.Contains(s.ReadFile(args[0]+".log"), args[2]); time.Sleep(poll) {
		if time.Now().After(end) {
			s.Fatalf("the log of %s has no %q after %s", args[0], args[2], d)
		}
	}
}

// engines MODEL... waits until each engine has just these models loaded.
func enginesCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "engines MODEL...")
	end := time.Now().Add(patience)
	for n, u := range of(s).upstream {
		if strings.HasSuffix(n, fleet.Plain) {
			continue
		}
		for {
			var got []string
			s.Check(json.Unmarshal([]byte(get(s, u+"/control/models")), &got))
			diff := cmp.Diff(args, got)
			if diff == "" {
				break
			}
			if time.Now().After(end) {
				s.Fatalf("models of %s (-want +got):\n%s", n, diff)
			}
			time.Sleep(poll)
		}
	}
}

// metrics NAME PATTERN checks that a process's metrics match a regular expression.
func metricsCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 2, "metrics NAME PATTERN")
	m := get(s, "http://"+of(s).vms[args[0]].Ops+"/metrics")
	if !regexp.MustCompile(args[1]).MatchString(m) {
		s.Fatalf("the metrics of %s don't match %s", args[0], args[1])
	}
}

// idle CENTRE DURATION checks that no upstream of a data centre gets a call in a time; ! idle waits for one there.
func idleCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, false, args, 2, "[!] idle CENTRE DURATION")
	d, err := time.ParseDuration(args[1])
	s.Check(err)
	before := callsStarted(s, args[0])
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(poll) {
		switch now := callsStarted(s, args[0]); {
		case now == before:
		case neg:
			return
		default:
			s.Fatalf("calls to upstreams in %s:\n%sthen\n%s", args[0], before, now)
		}
	}
	if neg {
		s.Fatalf("no call to an upstream in %s in %s", args[0], d)
	}
}

// callsStarted returns the counters of calls to the upstreams of a data centre.
func callsStarted(s *testscript.TestScript, centre string) (lines string) {
	f := of(s)
	for _, n := range slices.Sorted(maps.Keys(f.vms)) {
		if v := f.vms[n]; v.DataCentre != centre || v.Role != fleet.Agent {
			continue
		}
		for l := range strings.Lines(get(s, "http://"+f.vms[n].Ops+"/metrics")) {
			if strings.HasPrefix(l, "cranberrypoint_agent_calls_started_total") {
				lines += n + " " + l
			}
		}
	}
	return lines
}

// lag DURATION makes the platform's list of VMs lag behind.
func lagCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "lag DURATION")
	s.Check(of(s).control(http.MethodPost, "/control/list-lag/"+args[0], nil))
}

// adopted waits until each listed process has the platform's newest revision.
func adoptedCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 0, "adopted")
	f := of(s)
	var newest uint64
	s.Check(json.Unmarshal([]byte(get(s, f.platform+"/control/revision")), &newest))
	end := time.Now().Add(patience)
	for n, v := range f.vms {
		for {
			var x opsrv.Status
			s.Check(json.Unmarshal([]byte(get(s, "http://"+v.Ops+"/status")), &x))
			if x.Revision >= newest {
				break
			}
			if time.Now().After(end) {
				s.Fatalf("%s has revision %d, want %d", n, x.Revision, newest)
			}
			time.Sleep(poll)
		}
	}
}
