// Package place implements admission control for one model engine. A place is a slot in the
// engine's batch together with KV cache memory until the run ends. A run is a granted request
// while the engine processes it. The Scheduler is a deterministic state machine: it does no
// I/O and reads no clock; the caller passes the time and carries out the outcomes.
//
// Answers are much longer than prompts, so an engine that admits by free slots runs out of
// memory seconds later and preempts runs. A run is admitted only if the memory that all runs
// hold together is predicted to fit at every step until all have ended, in nearly all of a
// number of scenarios with random answer lengths. Runs reach their largest size at different
// times, so the predicted peak is lower than the sum of these sizes, and no memory is reserved
// for the difference. The distribution of answer lengths is learned from completed answers.
//
// In a burst, requests that can still start in time go first, by priority and then by
// StartBy. Late requests get the places that remain, by priority and then by
// expiry, which is their order of arrival if all may wait equally long. A request that is
// not expected to get a place before it expires is refused at once, with the time at which
// a place is likely.
//
// Where several workspaces compete, those that have had more than their share come after the
// others of their priority, and where several priorities do, each keeps a least share.
package place

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// initialStepTime is the assumed duration of a step of the batch until one is observed.
	initialStepTime = time.Millisecond
	// initialAvgTokens is the initial value of two averages: of the maximum answer lengths that
	// requests set, and of the prompt lengths.
	initialAvgTokens = 1024
	// defaultSlots is the size of the batch until SetSlots is called.
	defaultSlots = 8
	// ewmaWeight is the weight of a new sample in an exponentially weighted average.
	ewmaWeight = 0.2
)

// Request is a request for a place.
type Request struct {
	ID           string
	PromptTokens int64
	// MaxTokens bounds the length of the answer.
	MaxTokens int64
	// Priority orders requests that are equally timely; a lower number goes first.
	Priority int
	// StartBy is the latest time of the grant at which the answer can still begin when the
	// caller wants it. The request is late if it is zero or has passed.
	StartBy time.Time
	// ExpiresAt is when the request is refused if it has no place yet.
	ExpiresAt time.Time
	// Workspace is charged with the run; empty if that isn't known.
	Workspace string
	// Weight is the workspace's relative share when places are short; values below 1 count as 1. Without a
	// Workspace, 0 marks a request of an earlier release: all those share one account that weighs as much as
	// all others.
	Weight int64
}

// cost is the work that a request is charged with, in the unit of rate limits.
func (r Request) cost() float64 { return float64(max(1, r.PromptTokens+r.MaxTokens)) }

// weight returns the relative share of the workspace; 0 for an anonymous request.
func (r Request) weight() float64 {
	if r.isAnonymous() {
		return 0
	}
	return float64(max(1, r.Weight))
}

// isAnonymous reports whether the request names neither a workspace nor a weight, as those of entries
// of an earlier release.
func (r Request) isAnonymous() bool { return r.Workspace == "" && r.Weight <= 0 }

// isTimely reports whether the answer can still begin when the caller wants it.
func (r Request) isTimely(now time.Time) bool { return r.StartBy.After(now) }

// Outcome is the decision on a Request.
type Outcome struct {
	RequestID string
	Granted   bool
	// Reason is why a place was refused.
	Reason string
	// RetryAt is set if the request was refused: the time at which a place is likely, or the
	// current time with ReasonTooLarge, as such a request never gets one.
	RetryAt time.Time
	// ShareState is that of the request's workspace when the decision was made.
	ShareState ShareState
}

// Reasons for refusals, as callers receive them.
const (
	ReasonTooLarge    = "larger than the engine's memory"
	ReasonNoPlace     = "no place is expected in time"
	ReasonWaitExpired = "no place came free in time"
	ReasonOverShare   = "the workspace has had its share, and no place is expected in time"
)

// run is a granted request that the engine processes.
type run struct {
	promptTokens int64
	// usedTokens is the memory that the run holds, its prompt included.
	usedTokens int64
	// maxTokens bounds the length of the answer.
	maxTokens       int64
	lengthQuantiles quantiles
	// lastReported is when the engine last reported the run; zero if it never did.
	lastReported time.Time
	grantedAt    time.Time
}

// Scheduler grants and refuses the places of one engine. Use New.
type Scheduler struct {
	memoryTokens    int64
	slots           int
	startUnixMillis int64
	runs            map[string]*run
	// queue is in the order of service as of the last Tick or Submit.
	queue    []waiting
	accounts accounts
	classes  classes
	// lengths is learned from completed answers.
	lengths lengthModel
	rand    *rand.Rand
	// jitter spreads the returns of refused callers. Plans don't depend on it.
	jitter *rand.Rand
	// candidateQuantiles are the length quantiles of runs that aren't granted yet.
	candidateQuantiles quantiles
	// stepTime is the average duration of a step of the batch.
	stepTime time.Duration
	// avgMaxTokens and avgPromptTokens are averages over the requests.
	avgMaxTokens    float64
	avgPromptTokens float64
	lastReport      time.Time
	// silentUntil is when reports came again after the engine was last silent.
	silentUntil time.Time
	// reportLag is the age of what a report says when it arrives.
	reportLag time.Duration
	// ignoreUntil holds, for each released run, the time until which reports that list it may
	// be older than the release. It is empty without a reportLag.
	ignoreUntil map[string]time.Time
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithReportLag tells the scheduler that reports describe the engine as it was up to lag
// before they arrive. The scheduler then projects the growth of the runs up to now, and does
// not take a run for a new one that was released since.
func WithReportLag(lag time.Duration) Option {
	return func(s *Scheduler) { s.reportLag = lag }
}

// New returns a scheduler that grants nothing until the engine has reported its memory.
func New(opts ...Option) *Scheduler {
	r := rand.New(rand.NewPCG(1, 2))
	s := &Scheduler{
		slots:              defaultSlots,
		runs:               map[string]*run{},
		lengths:            newLengthModel(),
		rand:               r,
		jitter:             rand.New(rand.NewPCG(3, 4)),
		candidateQuantiles: newQuantiles(r),
		stepTime:           initialStepTime,
		avgMaxTokens:       initialAvgTokens,
		avgPromptTokens:    initialAvgTokens,
		ignoreUntil:        map[string]time.Time{},
		accounts:           accounts{byWorkspace: map[string]*account{}},
		classes:            classes{credit: map[int]float64{}},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetSlots sets the size of the engine's batch.
func (s *Scheduler) SetSlots(n int) {
	if n > 0 {
		s.slots = n
	}
}

// Submit grants, queues or refuses a request. The outcome of a queued request is returned
// by a later call; this call may return the outcomes of other requests.
func (s *Scheduler) Submit(now time.Time, r Request) []Outcome {
	s.avgMaxTokens += ewmaWeight * (float64(r.MaxTokens) - s.avgMaxTokens)
	s.avgPromptTokens += ewmaWeight * (float64(r.PromptTokens) - s.avgPromptTokens)
	if s.memoryTokens > 0 && peakTokens([]growth{{r.PromptTokens, r.MaxTokens}}) > s.memoryTokens {
		return []Outcome{{RequestID: r.ID, Reason: ReasonTooLarge, RetryAt: now}}
	}
	s.classes.observe(r)
	s.queue = append(s.queue, waiting{Request: r})
	isShared := s.sortQueue(now)
	p := s.plan(now)
	out, ok := s.checkHopeless(now, p, s.indexOf(r.ID))
	if ok {
		return []Outcome{out}
	}
	if isShared {
		return append(s.refuseDisplaced(now, p, r.ID), s.Tick(now)...)
	}
	return s.Tick(now)
}

// medianQuantile is the quantile of the answer lengths from which waits are estimated.
const medianQuantile = 0.5

// plan returns how the memory of the granted runs may grow from now on.
func (s *Scheduler) plan(now time.Time) *plan {
	p := &plan{memoryTokens: s.memoryTokens, slots: s.slots, lengths: s.survival(now)}
	for _, r := range s.runs {
		used := s.currentTokens(now, r)
		generated := used - r.promptTokens
		for i := range p.scenarios {
			p.scenarios[i] = append(p.scenarios[i], growth{used, p.lengths.remainingTokens(generated, r.maxTokens, r.lengthQuantiles[i])})
		}
		remaining := p.lengths.remainingTokens(generated, r.maxTokens, medianQuantile)
		p.expected = append(p.expected, growth{used, remaining})
		p.answerTokens += generated + remaining
	}
	return p
}

// survival returns the distribution of answer lengths, the unfinished ones considered.
func (s *Scheduler) survival(now time.Time) *survival {
	var unfinished []float64
	for _, r := range s.runs {
		unfinished = append(unfinished, float64(s.currentTokens(now, r)-r.promptTokens)/float64(max(1, r.maxTokens)))
	}
	return s.lengths.survival(unfinished)
}

// candidate returns how the memory of a request's run may grow beside the runs of a plan.
func (s *Scheduler) candidate(p *plan, r Request) (c candidate) {
	for i := range c.scenarios {
		c.scenarios[i] = growth{r.PromptTokens, p.lengths.remainingTokens(0, r.MaxTokens, s.candidateQuantiles[i])}
	}
	c.expected = growth{r.PromptTokens, p.lengths.remainingTokens(0, r.MaxTokens, medianQuantile)}
	return c
}

// compareRequests orders queued requests: those whose StartBy has not passed first, then by
// priority, then those of workspaces within their share, then by StartBy, or by ExpiresAt if both
// are late.
func compareRequests(now time.Time, a, b *waiting) int {
	timely := a.isTimely(now)
	switch {
	case timely != b.isTimely(now):
		if timely {
			return -1
		}
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.excess != b.excess:
		return cmp.Compare(a.excess, b.excess)
	case timely:
		return a.StartBy.Compare(b.StartBy)
	}
	return a.ExpiresAt.Compare(b.ExpiresAt)
}

// Tick refuses the requests that have expired. It then grants requests from the head of the
// queue until one doesn't fit; smaller ones behind that one wait.
func (s *Scheduler) Tick(now time.Time) (out []Outcome) {
	out = s.refuseExpired(now)
	isShared := s.sortQueue(now)
	for len(s.queue) > 0 {
		r := s.queue[0]
		if p := s.plan(now); !p.fits(s.candidate(p, r.Request)) {
			break
		}
		s.queue = s.queue[1:]
		s.runs[r.ID] = &run{promptTokens: r.PromptTokens, usedTokens: r.PromptTokens, maxTokens: r.MaxTokens, lengthQuantiles: newQuantiles(s.rand), grantedAt: now}
		out = append(out, Outcome{RequestID: r.ID, Granted: true, ShareState: r.share})
		s.accounts.charge(now, r.Request)
		if isShared {
			s.classes.charge(r.Request, s.queue)
			isShared = s.sortQueue(now)
		}
	}
	return out
}

// Release frees the place of a request or removes it from the queue.
func (s *Scheduler) Release(now time.Time, id string) []Outcome {
	if s.runs[id] != nil && s.reportLag > 0 {
		s.ignoreUntil[id] = now.Add(s.reportLag + cancelTime)
	}
	delete(s.runs, id)
	s.queue = slices.DeleteFunc(s.queue, func(w waiting) bool { return w.ID == id })
	return s.Tick(now)
}

// Complete frees the place of a run whose answer was complete and learns its length.
func (s *Scheduler) Complete(now time.Time, id string) []Outcome {
	if r := s.runs[id]; r != nil && (s.reportLag > 0 || !r.lastReported.IsZero()) {
		s.lengths.add(s.currentTokens(now, r)-r.promptTokens, r.maxTokens)
	}
	return s.Release(now, id)
}

// Running returns the number of runs that have a place.
func (s *Scheduler) Running() int { return len(s.runs) }

// State is a summary of the scheduler's load.
type State struct {
	Running int
	Waiting int
	// MaxPromptTokens is the largest prompt that would be admitted now if the request's
	// MaxTokens were average; 0 if requests are queued.
	MaxPromptTokens int64
	MemoryTokens    int64
	Slots           int
	// ExpectedWait is the time until a request of average size is expected to get a place.
	ExpectedWait time.Duration
}

// State returns the state at a time.
func (s *Scheduler) State(now time.Time) State {
	average := Request{PromptTokens: int64(s.avgPromptTokens), MaxTokens: int64(s.avgMaxTokens)}
	p := s.plan(now)
	st := State{
		Running:      len(s.runs),
		Waiting:      len(s.queue),
		MemoryTokens: s.memoryTokens,
		Slots:        s.slots,
	}
	if st.Waiting == 0 {
		st.MaxPromptTokens = p.maxPromptTokens(s.candidate(p, average))
	}
	if st.MaxPromptTokens < int64(s.avgPromptTokens) {
		st.ExpectedWait = s.expectedWait(p, average, len(s.queue))
	}
	return st
}
