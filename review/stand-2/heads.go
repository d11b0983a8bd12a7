package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["heads"] = heads }

// heads lets half of the engines answer with heads that don't end. No process may use more than its memory.
func heads(w *world) int {
	const (
		slots      = 12
		memory     = 86766
		perSecond  = 25
		length     = 60 * time.Second
		failAfter  = 6 * time.Second
		memoryMB   = 112
		streamTime = 14 * time.Second
		// headRate is how many bytes of a head come a second after the first ones.
		headRate = 1000
	)
	w.bounds, w.limits = boundsOf(3000, 2000, 2000, 8, 58), machine(0.144, memoryMB, 4100)
	var decoders []*runner
	for i := range 10 {
		c := Config{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: engines, Version: "v1", Host: 101 + i, Phase: "decode", Slots: slots, Queue: 2, Memory: memory, Gap: 50 * time.Millisecond, PerToken: 18 * time.Microsecond}
		if i < 3 {
			c.Phase = "prefill"
		}
		r, err := w.addRunner(c)
		if err != nil {
			w.record.say("error: %v", err)
			return failed
		}
		if c.Phase == "decode" {
			decoders = append(decoders, r)
		}
	}
	r := stream(route("r-aj3nr26", "/lohu930/", "streaming", engines, int(streamTime.Milliseconds()), 900, 1, 1), false)
	if err := w.start(2, config(slots, memory, 164, r)); err != nil {
		w.record.say("error: %v", err)
		return failed
	}
	if trouble() {
		time.AfterFunc(failAfter, func() {
			for _, r := range decoders[:5] {
				w.record.say("engine %s answers with heads without an end", r.ID)
				r.endless.Store(headRate)
			}
		})
	}
	w.goUntilDone(50*time.Millisecond, func() {
		for _, e := range w.entries {
			e.bound(memoryMB)
		}
	})
	w.goUntilDone(time.Second, func() {
		n := int64(0)
		for _, r := range decoders {
			n += r.streams.Load()
		}
		_, a := w.entries[0].memory()
		_, b := w.entries[1].memory()
		w.record.say("endless heads: %d; memory %d and %d MB", n, a, b)
	})
	var l calls
	l.run(w, perSecond, length, func(n int) *call {
		return &call{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", path: "/lohu930/2f", tokens: fmt.Sprintf("1000,%d", 20+rand.IntN(60)), body: "prompt", limit: streamTime, gap: 3600 * time.Millisecond}
	})
	served, cut := 0, 0
	for _, c := range l.all {
		switch {
		case c.complete && c.status == 200:
			served++
		case !c.sent.IsZero() && !c.complete && !c.left:
			cut++
		}
	}
	w.record.say("%d requests, %d served, %d cut off; peaks %d and %d MB, ended for memory %d and %d times", len(l.all), served, cut, w.entries[0].peak, w.entries[1].peak, w.entries[0].over, w.entries[1].over)
	if served == 0 {
		return failed
	}
	if w.entries[0].over >= 3 && w.entries[1].over >= 3 {
		return broken
	}
	return held
}
