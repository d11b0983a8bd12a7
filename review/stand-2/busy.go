package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["busy"] = busy }

// busy lets a runner fail with 503 requests that it has run, without the header that says that it didn't run them. The
// statuses that promise that a request hasn't run must not reach the client.
func busy(w *world) int {
	const (
		runners   = 7
		perSecond = 77
		length    = 12 * time.Second
		failAfter = 4 * time.Second
		failTime  = 5 * time.Second
	)
	w.bounds, w.limits = boundsOf(3000, 2000, 2000, 8, 58), machine(0.304, 134, 4100)
	var first *runner
	for i := range runners {
		r, err := w.addRunner(Config{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: portal, Version: "v1", Host: 101 + i, Slots: 6, Queue: 24, Work: 15 * time.Millisecond})
		if err != nil {
			w.record.say("error: %v", err)
			return failed
		}
		if i == 0 {
			first = r
		}
	}
	if err := w.start(2, config(12, 86766, 110, route("r-portal", "/pule252/", "unsafe", portal, 600, 100, 2, 1))); err != nil {
		w.record.say("error: %v", err)
		return failed
	}
	if trouble() {
		time.AfterFunc(failAfter, func() {
			w.record.say("runner %s fails with 503 two in five of the requests that it has run", first.ID)
			first.fails.Store(http.StatusServiceUnavailable)
			time.AfterFunc(failTime, func() { first.fails.Store(0) })
		})
	}
	// Clients retry unsafe requests after a promise, once, as an attempt with an id of its own.
	l := calls{retry: func(c *call) *call {
		if c.status != http.StatusServiceUnavailable && c.status != http.StatusTooManyRequests {
			return nil
		}
		n := *c
		n.id, n.status, n.complete, n.got = fmt.Sprintf("%016x", rand.Uint64()), 0, false, ""
		return &n
	}}
	l.run(w, perSecond, length, func(n int) *call {
		return &call{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", path: "/pule252/2f", body: fmt.Sprintf("decision %d", n), limit: 600 * time.Millisecond}
	})
	served, wrong := 0, 0
	runs := map[string]int{}
	for _, c := range l.all {
		runs[c.body] += w.ledger.count(c.id, "runs")
		switch {
		case c.complete && c.status == 200:
			served++
		case c.status == 503 && w.ledger.count(c.id, "runs") > 0:
			if wrong++; wrong <= 3 {
				w.record.say("REFUSED: %s is answered 503, and has run", c.id)
			}
		}
	}
	twice := 0
	for d, n := range runs {
		if n > 1 {
			twice++
			w.record.say("%s has run %d times, over its client's attempts", d, n)
		}
	}
	w.record.say("%d requests: %d served, %d answered 503 that have run; %d decisions were run twice", len(l.all), served, wrong, twice)
	if served == 0 {
		return failed
	}
	if wrong > 0 {
		return broken
	}
	return held
}
