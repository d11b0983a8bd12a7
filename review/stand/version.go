package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashTime is how long the crashed runner is down.
	crashTime = time.Second
	// versionStreams is the number of streams that clients begin.
	versionStreams = 30
	// maxTries bounds a client's attempts at one stream.
	maxTries = 6
	// streamTimeout is the time limit of clients and of the route.
	streamTimeout = 14 * time.Second
	// maxMixed is the number of streams with events of two versions that the rule allows.
	maxMixed = 2
)

// playVersion lets a runner crash and start again under its id with other software, while clients take up the streams
// that broke off.
func playVersion(w *world) error {
	w.configure(
		[]map[string]any{{
			"name": "r-digest", "host": host, "prefix": "/digest/", wire.Kind: "streaming", "timeout-ms": streamTimeout.Milliseconds(),
			"target-latency-ms": 900, "target-gap-ms": 300, "priority": 1, "service": "digest", "max-attempts": 2, "resumable": true,
		}},
		[]map[string]any{{"name": "digest", "health-path": "/healthz", "max-connections": 144}},
		[]map[string]any{{"name": "workspace", wire.Keys: []string{"key-1"}}},
	)
	newRunner := func(id, version string, number int) *runner {
		return &runner{id: id, service: "digest", version: version, slots: 12, work: 100 * time.Millisecond, events: 70, address: w.address(number, runnerPort)}
	}
	first := newRunner("i-one", "v1", 101)
	all := []*runner{first, newRunner("i-two", "v2", 102), newRunner("i-three", "v2", 103), newRunner("i-four", "v2", 104)}
	for _, r := range all {
		if err := w.startRunner(r); err != nil {
			return err
		}
	}
	if err := w.startEntries(3, memoryMB); err != nil {
		return err
	}
	var wait sync.WaitGroup
	streams := make([]streamResult, versionStreams)
	for i := range streams {
		wait.Go(func() { streams[i] = w.followStream(i) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		first.end()
		time.Sleep(crashTime)
		if err := w.startRunner(newRunner("i-one", "v2", 101)); err != nil {
			return err
		}
	}
	wait.Wait()
	mixed, whole := 0, 0
	for _, s := range streams {
		w.add("stream %s: versions %v, last event %d", s.id, s.versions, s.last)
		if len(s.versions) > 1 {
			mixed++
		}
		if s.last == first.events {
			whole++
		}
	}
	w.add("%d streams of %d hold events of two versions (at most %d are allowed), %d are whole", mixed, versionStreams, maxMixed, whole)
	if mixed > maxMixed {
		return fmt.Errorf("%w: ORDER: %d streams hold events of two versions", errBroken, mixed)
	}
	if !w.trouble && whole != versionStreams {
		return fmt.Errorf("%d streams of %d are whole without a disruption", whole, versionStreams)
	}
	return nil
}

// streamResult is what a client got of a stream over all its attempts.
type streamResult struct {
	id string
	// versions are those that made its events, in order.
	versions []string
	last     int
}

// followStream begins a stream and takes it up again when it breaks off, on a new connection to another entry.
func (w *world) followStream(number int) (s streamResult) {
	s.id = fmt.Sprintf("s-%d", number)
	deadline := time.Now().Add(streamTimeout)
	for try := range maxTries {
		q := request{method: http.MethodPost, path: "/digest" + streamPath, id: fmt.Sprintf("%s-%d", s.id, try), key: "key-1", body: []byte("prompt " + s.id), timeout: time.Until(deadline)}
		if s.last > 0 {
			q.resumes, q.lastEvent = s.id+"-0", s.last
		}
		a := w.send(w.entries[(number+try)%len(w.entries)].clients(), q)
		if a.status == http.StatusOK {
			s.add(string(a.body))
			if a.complete {
				return s
			}
		}
		if s.last == 0 && a.status == http.StatusOK {
			return s
		}
		time.Sleep(min(a.retryAfter, time.Until(deadline)/3))
	}
	return s
}

// add adds the whole events of an answer.
func (s *streamResult) add(text string) {
	events := strings.Split(text, "\n\n")
	for _, e := range events[:len(events)-1] {
		var n int
		var v string
		if _, err := fmt.Sscanf(e, "id: %d\ndata: %s", &n, &v); err != nil {
			continue
		}
		s.last = n
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] != v {
			s.versions = append(s.versions, v)
		}
	}
}
