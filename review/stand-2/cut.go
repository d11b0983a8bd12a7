package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

func init() { cases["cut"] = cut }

// cut kills an engine while it writes streams that end with their channel. None of them may look complete.
func cut(w *world) int {
	const (
		slots      = 12
		memory     = 86766
		perSecond  = 8
		length     = 12 * time.Second
		killAfter  = 7 * time.Second
		streamTime = 14 * time.Second
	)
	w.bounds, w.limits = boundsOf(3000, 2000, 2000, 8, 58), machine(0.304, 134, 4100)
	var decoders []*child
	for i := range 8 {
		c := Config{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: engines, Version: "v1", Host: 101 + i, Phase: "decode", Slots: slots, Queue: 2, Memory: memory, Gap: 100 * time.Millisecond, PerToken: 18 * time.Microsecond, Unframed: true}
		if i < 2 {
			c.Phase = "prefill"
		}
		x, err := w.addChild(c)
		if err != nil {
			w.record.say("error: %v", err)
			return failed
		}
		if c.Phase == "decode" {
			decoders = append(decoders, x)
		}
	}
	r := stream(route("r-aj3nr26", "/lohu930/", "streaming", engines, int(streamTime.Milliseconds()), 900, 1, 1), false)
	if err := w.start(2, config(slots, memory, 164, r)); err != nil {
		w.record.say("error: %v", err)
		return failed
	}
	if trouble() {
		time.AfterFunc(killAfter, func() {
			w.record.say("engine %s crashes", decoders[0].ID)
			decoders[0].kill()
		})
	}
	var l calls
	l.run(w, perSecond, length, func(n int) *call {
		return &call{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", path: "/lohu930/2f", tokens: fmt.Sprintf("1000,%d", 20+rand.IntN(30)), body: "prompt", limit: streamTime, gap: 3600 * time.Millisecond}
	})
	whole, brokenOff, wrong := 0, 0, 0
	for _, c := range l.all {
		_, out, _ := strings.Cut(c.tokens, ",")
		switch {
		case c.status != 200:
		case !c.complete:
			brokenOff++
		case c.events() == number(out):
			whole++
		default:
			wrong++
			w.record.say("ORDER: %s is a complete 200 with %d of %d events", c.id, c.events(), number(out))
		}
	}
	w.record.say("%d requests: %d whole, %d broken off, %d that look complete and aren't", len(l.all), whole, brokenOff, wrong)
	if whole == 0 {
		return failed
	}
	if wrong > 0 {
		return broken
	}
	return held
}
