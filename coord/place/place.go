// Package place is the reducer that hands out the places of one model engine: a slot of
// its batch, and memory up to the end of the run.
//
// It answers the load pattern that costs streams most: answers are much longer than
// prompts, so an engine that admits by free slots runs out of memory seconds later and
// preempts. A run is admitted only if the sum of all runs, each growing to its end, stays
// within memory until the last has ended, in nearly all of some futures. Runs at different
// points of their answers peak at different times, which the plan counts, so no memory is
// kept for sums that can't occur; how long answers get is learned from those that ended.
//
// In a burst, requests that can still begin in time go first, the earliest deadline
// before the others; those that have become late take what is left, in order of arrival.
// A request that can't get a place within its patience is refused at once, with the time
// at which a place is likely.
package place

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// unseen is how long a granted run may be missing from the engine's reports.
	unseen = 5 * time.Second
	// vanished is how long a run that was seen may be missing before it counts as ended.
	vanished = 300 * time.Millisecond
	// firstStep is the time of a step before one was observed.
	firstStep = time.Millisecond
	// firstMost is the answer's length, in tokens, that is expected before one was asked for.
	firstMost = 1024
	// firstSlots is the size of the batch before an entry told it.
	firstSlots = 8
	// smooth is the weight of a new sample in an average.
	smooth = 0.2
)

// Request is a request for a place.
type Request struct {
	ID string
	// PromptTokens is in tokens.
	PromptTokens int64
	// MaxTokens is the longest answer in tokens.
	MaxTokens int64
	// Priority 0 is served first.
	Priority int
	// StartBy is when the place must be there for the answer to begin in time; zero if it
	// is late already.
	StartBy time.Time
	// ExpiresAt is when the place is of no use any more.
	ExpiresAt time.Time
}

// Outcome is the answer to an Ask.
type Outcome struct {
	RequestID string
	Granted bool
	// Reason says why a place was refused.
	Reason string
	// RetryAt is when a place is likely, after a refusal.
	RetryAt time.Time
}

// Reasons of refusals.
const (
	ReasonTooLarge = "larger than the engine's memory"
	ReasonNoPlace   = "no place is expected in time"
	ReasonWaitExpired    = "no place came free in time"
)

// RunUsage is a run that an engine reports.
type RunUsage struct {
	RequestID string
	// Tokens is the memory that it holds.
	Tokens int64
}

// Report is what an engine says of itself.
type Report struct {
	// MemoryTokens is the engine's KV cache in tokens.
	MemoryTokens int64
	Runs   []RunUsage
	// StartUnixMillis is the Unix time in milliseconds of the engine's start.
	StartUnixMillis int64
}

type run struct {
	prompt int64
	tokens int64
	most   int64
	fate   fate
	// seen is when the engine last reported the run; zero if it never did.
	seen    time.Time
	granted time.Time
}

// Scheduler is the reducer. Use New.
type Scheduler struct {
	memory int64
	slots  int
	born   int64
	runs   map[string]*run
	queue  []Request
	// lengths are those of ended answers.
	lengths lengths
	rand    *rand.Rand
	// usual is the fate of a run that isn't there yet.
	usual fate
	// step is the average time of a step of the batch.
	step time.Duration
	// most and prompt are averages of what was asked for, in tokens.
	most     float64
	prompt   float64
	reported time.Time
}

// New returns a ledger that grants nothing before the engine has reported its memory.
func New() *Scheduler {
	r := rand.New(rand.NewPCG(1, 2))
	return &Scheduler{
		slots:   firstSlots,
		runs:    map[string]*run{},
		lengths: newLengths(),
		rand:    r,
		usual:   newFate(r),
		step:    firstStep,
		most:    firstMost,
		prompt:  firstMost,
	}
}

// SetSlots sets the size of the engine's batch.
func (l *Scheduler) SetSlots(n int) {
	if n > 0 {
		l.slots = n
	}
}

// Submit takes in a request for a place. Its outcome may come from a later call.
func (l *Scheduler) Submit(now time.Time, a Request) []Outcome {
	l.most += smooth * (float64(a.MaxTokens) - l.most)
	l.prompt += smooth * (float64(a.PromptTokens) - l.prompt)
	if l.memory > 0 && peak([]growth{{a.PromptTokens, a.MaxTokens}}) > l.memory {
		return []Outcome{{RequestID: a.ID, Reason: ReasonTooLarge, RetryAt: now}}
	}
	if w := l.wait(l.candidate(a), l.ahead(now, a)); now.Add(w).After(a.ExpiresAt) {
		return []Outcome{{RequestID: a.ID, Reason: ReasonNoPlace, RetryAt: now.Add(w)}}
	}
	l.queue = append(l.queue, a)
	return l.Tick(now)
}

// ahead returns the number of waiting requests that go before a.
func (l *Scheduler) ahead(now time.Time, a Request) (n int) {
	for _, q := range l.queue {
		if before(now, q, a) <= 0 {
			n++
		}
	}
	return n
}

// wait returns the time after which a run is expected to fit.
func (l *Scheduler) wait(c candidate, ahead int) time.Duration {
	p := l.plan()
	if ahead == 0 && p.fits(c) {
		return 0
	}
	return time.Duration(p.stepsUntil(c, ahead)) * l.step
}

// median is the quantile of the lengths that is expected.
const median = 0.5

// plan returns what the runs may do.
func (l *Scheduler) plan() *plan {
	p := &plan{memory: l.memory, slots: l.slots}
	for _, r := range l.runs {
		done := r.tokens - r.prompt
		for i := range p.in {
			p.in[i] = append(p.in[i], growth{r.tokens, l.lengths.left(done, r.most, r.fate[i])})
		}
		p.likely = append(p.likely, growth{r.tokens, l.lengths.left(done, r.most, median)})
	}
	return p
}

// candidate returns what a request may do.
func (l *Scheduler) candidate(a Request) (c candidate) {
	for i := range c.in {
		c.in[i] = growth{a.PromptTokens, l.lengths.left(0, a.MaxTokens, l.usual[i])}
	}
	c.likely = growth{a.PromptTokens, l.lengths.left(0, a.MaxTokens, median)}
	return c
}

// before orders waiting requests: the timely ones first, by priority and deadline.
func before(now time.Time, a, b Request) int {
	timely := func(x Request) bool { return x.StartBy.After(now) }
	switch {
	case timely(a) != timely(b):
		if timely(a) {
			return -1
		}
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case timely(a):
		return a.StartBy.Compare(b.StartBy)
	}
	return a.ExpiresAt.Compare(b.ExpiresAt)
}

// Tick grants what fits and refuses those whose patience is over.
func (l *Scheduler) Tick(now time.Time) (out []Outcome) {
	l.queue = slices.DeleteFunc(l.queue, func(a Request) bool {
		if now.Before(a.ExpiresAt) {
			return false
		}
		w := l.wait(l.candidate(a), 0)
		out = append(out, Outcome{RequestID: a.ID, Reason: ReasonWaitExpired, RetryAt: now.Add(w)})
		return true
	})
	slices.SortStableFunc(l.queue, func(a, b Request) int { return before(now, a, b) })
	for len(l.queue) > 0 {
		a := l.queue[0]
		if !l.plan().fits(l.candidate(a)) {
			break
		}
		l.queue = l.queue[1:]
		l.runs[a.ID] = &run{prompt: a.PromptTokens, tokens: a.PromptTokens, most: a.MaxTokens, fate: newFate(l.rand), granted: now}
		out = append(out, Outcome{RequestID: a.ID, Granted: true})
	}
	return out
}

// Release ends a request's place or its wait.
func (l *Scheduler) Release(now time.Time, request string) []Outcome {
	delete(l.runs, request)
	l.queue = slices.DeleteFunc(l.queue, func(a Request) bool { return a.ID == request })
	return l.Tick(now)
}

// Complete ends the place of a run whose answer was whole.
func (l *Scheduler) Complete(now time.Time, request string) []Outcome {
	if r := l.runs[request]; r != nil && !r.seen.IsZero() {
		l.lengths.learn(r.tokens-r.prompt, r.most)
	}
	return l.Release(now, request)
}

// Observe takes in the engine's report, which is newer than what was granted.
func (l *Scheduler) Observe(now time.Time, r Report) []Outcome {
	if r.StartUnixMillis != l.born {
		// The engine has restarted: what ran there is gone.
		clear(l.runs)
		l.born = r.StartUnixMillis
	}
	l.memory = r.MemoryTokens
	l.learn(now, r)
	for _, x := range r.Runs {
		l.saw(now, x)
	}
	for n, x := range l.runs {
		if l.ended(now, x) {
			delete(l.runs, n)
		}
	}
	l.reported = now
	return l.Tick(now)
}

// saw updates a run. One that isn't known, such as that of an earlier life of the
// agent, is expected to take as long as others.
func (l *Scheduler) saw(now time.Time, x RunUsage) {
	k := l.runs[x.RequestID]
	if k == nil {
		k = &run{prompt: x.Tokens, tokens: x.Tokens, most: int64(l.most), fate: newFate(l.rand), granted: now}
		l.runs[x.RequestID] = k
	}
	k.tokens = max(k.tokens, x.Tokens)
	k.seen = now
}

func (l *Scheduler) ended(now time.Time, x *run) bool {
	if x.seen.IsZero() {
		return now.Sub(x.granted) > unseen
	}
	return now.Sub(x.seen) > vanished
}

// learn estimates the time of a step from the growth of the runs since the last report.
func (l *Scheduler) learn(now time.Time, r Report) {
	passed := now.Sub(l.reported)
	if l.reported.IsZero() || passed <= 0 {
		return
	}
	for _, x := range r.Runs {
		k := l.runs[x.RequestID]
		if k == nil || k.seen != l.reported || x.Tokens <= k.tokens {
			continue
		}
		s := passed / time.Duration(x.Tokens-k.tokens)
		l.step += time.Duration(smooth * float64(s-l.step))
	}
}

// Running returns the number of runs that have a place.
func (l *Scheduler) Running() int { return len(l.runs) }

// State is what others need to know of the ledger.
type State struct {
	Running int
	Waiting int
	// MaxPromptTokens is the largest prompt, in tokens, that would be admitted with an answer of the
	// usual length.
	MaxPromptTokens   int64
	MemoryTokens int64
	Slots  int
	// ExpectedWait is the time until a request of the usual size is expected to get a place.
	ExpectedWait time.Duration
}

// State returns the present state.
func (l *Scheduler) State() State {
	c := l.candidate(Request{PromptTokens: int64(l.prompt), MaxTokens: int64(l.most)})
	s := State{
		Running: len(l.runs),
		Waiting: len(l.queue),
		MemoryTokens:  l.memory,
		Slots:   l.slots,
	}
	if s.Waiting == 0 {
		s.MaxPromptTokens = l.plan().room(c)
	}
	if s.MaxPromptTokens < int64(l.prompt) {
		s.ExpectedWait = l.wait(c, len(l.queue))
	}
	return s
}
