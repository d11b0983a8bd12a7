package world_test

import (
	"net/http"
	"sync"
	"testing"

	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
)

// maxCrashes is the number of upstreams that may crash under one request before it is refused.
const maxCrashes = 3

// startCrashing starts a deployment with one entry and several plain services, which crash under requests with a
// body and stay down. It returns a function that counts the crashes.
func startCrashing(t *testing.T, body string) (w *world.World, crashes func() int) {
	t.Helper()
	p := world.Example("")
	p.DataCentres = []world.DataCentre{{Name: "east", Entries: 1, Prefill: 1, Decode: 1, Plain: maxCrashes + 2}}
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
	n := 0
	for name, s := range w.Services {
		setCrash(w, name, s, body, func() {
			mu.Lock()
			defer mu.Unlock()
			n++
		})
	}
	return w, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// setCrash lets a service crash under requests with a body.
func setCrash(w *world.World, name string, s *stand.Service, body string, count func()) {
	var once sync.Once
	s.SetCrash(body, func() {
		once.Do(func() {
			count()
			w.Stop("upstream-" + name)
		})
	})
}

// TestPlainRequestThatCrashesUpstreamsIsRefused guards against a request to a plain service that comes again, and
// crashes each upstream that begins to run it. Others with the same path, or from another caller, are served.
func TestPlainRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	for _, path := range []string{"/status/x?a=b", "/decisions/x?a=b"} {
		t.Run(path, func(t *testing.T) {
			w, crashes := startCrashing(t, "bad")
			for range 2 * maxCrashes {
				call(t, w, "POST", path, world.ExampleKey, "bad")
			}
			if n := crashes(); n != maxCrashes {
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
