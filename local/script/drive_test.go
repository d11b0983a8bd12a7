package script

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cranberrypoint.example/local/stand"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// driveGap is the time between two requests of a drive.
	driveGap = 40 * time.Millisecond
	// driveTokens is the size of a driven answer.
	driveTokens = 30
)

// drive is a steady load through the entries that are ready, as behind a balancer.
type drive struct {
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	asked  int
	failed []string
}

// driveCmd starts a load, or ends it and checks that no request failed.
func driveCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 1, "drive start|end")
	f := of(s)
	if args[0] == "start" {
		f.drive = &drive{stop: make(chan struct{})}
		f.drive.done.Go(func() { f.drive.run(f) })
		return
	}
	d := f.drive
	close(d.stop)
	d.done.Wait()
	for _, x := range d.failed {
		_, _ = fmt.Fprintln(s.Stdout(), x)
	}
	_, _ = fmt.Fprintf(s.Stdout(), "%d of %d failed\n", len(d.failed), d.asked)
	if len(d.failed) > 0 || d.asked == 0 {
		s.Fatalf("%d of %d requests failed", len(d.failed), d.asked)
	}
}

func (d *drive) run(f *procs) {
	t := time.NewTicker(driveGap)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			entry := f.readyEntry(n)
			d.done.Go(func() { d.one(f, entry, n) })
		case <-d.stop:
			return
		}
	}
}

// readyEntry returns an entry that says it is ready.
func (f *procs) readyEntry(n int) string {
	var names []string
	for _, name := range f.order {
		if f.callers[name] != "" {
			names = append(names, name)
		}
	}
	for i := range names {
		name := names[(n+i)%len(names)]
		a, err := http.Get("http://" + f.vms[name].Ops + "/readyz")
		if err != nil {
			continue
		}
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return name
		}
	}
	return names[0]
}

func (d *drive) one(f *procs, entry string, n int) {
	q := question{entry: entry, key: exampleKey, method: "POST", path: fmt.Sprintf("/decisions/%d", n), body: "x"}
	want := fmt.Sprintf("POST /decisions/%d\nx", n)
	prompt := fmt.Sprintf("drive %d", n)
	generated := n%2 == 0
	if generated {
		q.path = "/v1/completions"
		q.body = fmt.Sprintf(`{"model":"chat-1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, driveTokens)
	}
	r := f.request(q)
	ok := r.err == nil && r.status == http.StatusOK && r.body == want
	if generated {
		text, whole := r.text()
		ok = r.err == nil && whole && text == stand.Answer(prompt, driveTokens)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	if !ok {
		d.failed = append(d.failed, fmt.Sprintf("%d through %s: %d %v %q", n, entry, r.status, r.err, r.body))
	}
}
