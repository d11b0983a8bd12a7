package place

import (
	"slices"
	"time"
)

// readsAtOnce is the number of prompts that an engine is given at once: one that it reads,
// and one that is there when it has.
const readsAtOnce = 2

// Reads is the reducer that orders the prompts that one engine reads. The zero value is
// ready for use.
//
// It answers more prompts than the engine can read in time: an engine takes them as they
// come, so prompts whose answers are late already would hold up those that can still begin
// in time. These go first, by their deadline.
type Reads struct {
	reading map[string]int64
	queue   []Ask
}

// Ask takes in a prompt to be read. Its outcome may come from a later call.
func (r *Reads) Ask(now time.Time, a Ask) []Outcome {
	r.queue = append(r.queue, a)
	return r.Tick(now)
}

// Release ends the reading of a prompt, or its wait.
func (r *Reads) Release(now time.Time, request string) []Outcome {
	delete(r.reading, request)
	r.queue = slices.DeleteFunc(r.queue, func(a Ask) bool { return a.Request == request })
	return r.Tick(now)
}

// Tick grants what the engine can take.
func (r *Reads) Tick(now time.Time) (out []Outcome) {
	slices.SortStableFunc(r.queue, func(a, b Ask) int { return before(now, a, b) })
	for len(r.queue) > 0 && len(r.reading) < readsAtOnce {
		a := r.queue[0]
		r.queue = r.queue[1:]
		if r.reading == nil {
			r.reading = map[string]int64{}
		}
		r.reading[a.Request] = a.Prompt
		out = append(out, Outcome{Request: a.Request, Granted: true})
	}
	return out
}

// Backlog returns the tokens that are yet to be read.
func (r *Reads) Backlog() (n int64) {
	for _, p := range r.reading {
		n += p
	}
	for _, a := range r.queue {
		n += a.Prompt
	}
	return n
}
