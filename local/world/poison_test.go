package world_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
)

// maxCrashes is the number of upstreams that may crash under one request before it is refused.
const maxCrashes = 3

// startCrashing starts a deployment with some entries and plain services, which crash under requests with a body and
// stay down. It returns a function that returns when they crashed.
func startCrashing(t *testing.T, body string, entries, plain int) (w *world.World, crashes func() []time.Time) {
	t.Helper()
	p := world.Example("")
	p.DataCentres = []world.DataCentre{{Name: "east", Entries: entries, Prefill: 1, Decode: 1, Plain: plain}}
	w, stop, err := world.Start(p, world.Quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	await(t, "all processes are ready", w.Ready)
	await(t, "the limit has tokens", func() bool {
		return call(t, w, "POST", "/decisions/warm", world.ExampleKey, "").status == http.StatusOK
	})
	var mu sync.Mutex
	var l []time.Time
	for name, s := range w.Services {
		setCrash(s, body, func() {
			mu.Lock()
			defer mu.Unlock()
			l = append(l, time.Now())
			w.Stop("upstream-" + name)
		})
	}
	return w, func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(l)
	}
}

// setCrash lets a service crash, once, under requests with a body.
func setCrash(s *stand.Service, body string, crash func()) {
	var once sync.Once
	s.SetCrash(body, func() { once.Do(crash) })
}

// TestPlainRequestThatCrashesUpstreamsIsRefused guards against a request to a plain service that comes again, and
// crashes each upstream that begins to run it. Others with the same path, or from another caller, are served.
func TestPlainRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	for _, path := range []string{"/status/x?a=b", "/decisions/x?a=b"} {
		t.Run(path, func(t *testing.T) {
			w, crashes := startCrashing(t, "bad", 1, maxCrashes+2)
			for range 2 * maxCrashes {
				call(t, w, "POST", path, world.ExampleKey, "bad")
			}
			if n := len(crashes()); n != maxCrashes {
				t.Errorf("%d upstreams crashed, want %d", n, maxCrashes)
			}
			if a := call(t, w, "POST", path, world.ExampleKey, "bad"); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
				t.Errorf("status %d, %v; want %d with Retry-After", a.status, a.header, http.StatusServiceUnavailable)
			}
			if a := call(t, w, "POST", path, world.ExampleKey, "good"); a.status != http.StatusOK {
				t.Errorf("another body: status %d %s", a.status, a.body)
			}
		})
	}
}

const (
	// contactTime is the time that processes have to learn from each other.
	contactTime = 3 * time.Second
	// repeatPause is the time from one request to the next.
	repeatPause = 800 * time.Millisecond
	// maxLateCrashes is the number of upstreams that may crash from contactTime after the third crash.
	maxLateCrashes = 3
)

// TestEntriesShareWhatCrashesUpstreams sends a request that crashes upstreams to one entry after the other. Each of
// them alone would have to see three crashes.
func TestEntriesShareWhatCrashesUpstreams(t *testing.T) {
	const entries = 4
	w, crashes := startCrashing(t, "bad", entries, 2*entries*maxCrashes)
	for range maxCrashes {
		for _, n := range w.Order {
			sendTo(t, w.Entries[n].CallersAddress(), "/decisions/x", "bad")
			time.Sleep(repeatPause)
		}
	}
	l := crashes()
	if len(l) < maxCrashes {
		t.Fatalf("%d upstreams crashed; the request does nothing", len(l))
	}
	late := 0
	for _, c := range l {
		if c.After(l[maxCrashes-1].Add(contactTime)) {
			late++
		}
	}
	if late > maxLateCrashes {
		t.Errorf("%d of %d upstreams crashed later than %s after the third, want at most %d", late, len(l), contactTime, maxLateCrashes)
	}
}

// sendTo sends a request to an entry, whatever comes of it.
func sendTo(t *testing.T, entry, path, body string) {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+world.ExampleKey)
	if a, err := http.DefaultClient.Do(q); err == nil {
		_ = a.Body.Close()
	}
}
