package router

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

type phase int

const (
	// reserving waits for holders to grant tokens.
	reserving phase = iota
	// placing waits for a slot of the main run.
	placing
	// prefilling waits for the KV cache.
	prefilling
	// answering receives the answer.
	answering
	// parked waits for an upstream that can be reached.
	parked
	// unclear asks the agent whether the request ran.
	unclear
)

// target is one run of a request and the agent that has it.
type target struct {
	ref RunRef
	vm  string
	// live is false when no stream belongs to the run.
	live    bool
	resumes int
	opened  time.Time
	granted time.Time
}

type request struct {
	id        RequestID
	call      Call
	workspace string
	keyID     string
	service   string
	generated bool
	values    tree.Resolved
	weight    int64
	phase     phase
	startBy   time.Time
	deadline  time.Time

	parts    []quota.Part
	main     target
	prefill  target
	attempts uint32
	prefills uint32
	avoid    map[string]bool
	// ran is the truth so far: no until a run may have started.
	ran wire.Ran
	// fed is true once prompt tokens were spent.
	fed      bool
	offset   int64
	passed   int64
	tokens   int64
	headSent bool
	usage    Usage
	failures int
	// faulted is true once a run was lost after it had been given to an agent.
	faulted bool
	// last is why the last run failed.
	last *fault.Error
	// feed is the KV cache that waits for a decode slot.
	feed *wire.Feed
	// again is when a parked or unclear request is looked at next.
	again time.Time
}

func (r *request) name() string { return r.call.Name }

// idempotent reports whether the request may run more than once.
func (r *request) idempotent() bool { return r.generated || r.values.Idempotent }

// keyed reports whether repetitions of the request must meet at one agent.
func (r *request) keyed() bool { return r.call.IdempotencyKey != "" && !r.idempotent() }

// window is how long the caller may repeat the request; 0 if it can't.
func (r *request) window() time.Duration {
	if !r.keyed() {
		return 0
	}
	return r.values.RetryWindow
}

// cost is what the request is charged at most, in tokens.
func (r *request) cost() int64 {
	if r.generated {
		return r.call.PromptTokens + r.call.MaxTokens
	}
	return r.values.Cost
}

// used is what the request is charged in the end, in tokens.
func (r *request) used() int64 {
	switch {
	case r.ran == wire.Ran_RAN_NO:
		return 0
	case !r.generated:
		return r.values.Cost
	case !r.fed:
		return 0
	default:
		return r.call.PromptTokens + r.tokens
	}
}

// startLimit is the time at which a run of the request must have started. A request
// whose run was lost, or that has passed data on, may go on until its deadline; one that
// found no slot may not.
func (r *request) startLimit() time.Time {
	if r.offset > 0 || r.faulted {
		return r.deadline
	}
	return r.startBy
}

// openMain returns the first message of the request's main run.
func (r *request) openMain(now time.Time, revision uint64) *wire.Open {
	o := r.openAny(now, revision, r.main.ref)
	if r.generated {
		o.Prompt = r.call.Prompt
		o.MaxTokens = r.call.MaxTokens
		o.SkipTokens = r.tokens
		o.Base = r.offset
		o.Cost = r.call.MaxTokens - r.tokens
		return o
	}
	o.Method = r.call.Method
	o.Path = r.call.Path
	o.Headers = r.call.Headers
	o.Cost = r.values.Cost
	return o
}

func (r *request) openPrefill(now time.Time, revision uint64) *wire.Open {
	o := r.openAny(now, revision, r.prefill.ref)
	o.Prompt = r.call.Prompt
	o.Cost = r.call.PromptTokens
	o.SkipTokens = r.tokens
	o.MaxTokens = r.call.MaxTokens
	return o
}

func (r *request) openAny(now time.Time, revision uint64, f RunRef) *wire.Open {
	startBy := r.startLimit()
	return &wire.Open{
		Request:        r.call.Name,
		Attempt:        f.Attempt,
		Stage:          f.Stage,
		Workspace:      r.workspace,
		KeyId:          r.keyID,
		Revision:       revision,
		Route:          r.call.Route,
		LeftMicros:     max(r.deadline.Sub(now).Microseconds(), 0),
		PatienceMicros: max(startBy.Sub(now).Microseconds(), 0),
		Idempotent:     r.idempotent(),
		Batch:          r.values.Class == tree.Batch,
		Weight:         r.weight,
		Model:          r.model(),
		Digest:         r.call.Digest,
		WindowMicros:   r.window().Microseconds(),
	}
}

func (r *request) model() string {
	if r.generated {
		return r.call.Path
	}
	return ""
}

// target returns the run that a reference names, if it is current.
func (r *request) target(f RunRef) *target {
	switch f {
	case r.main.ref:
		return &r.main
	case r.prefill.ref:
		return &r.prefill
	}
	return nil
}

// mayHaveRun records that a run can have started.
func (r *request) mayHaveRun() {
	if r.ran == wire.Ran_RAN_NO {
		r.ran = wire.Ran_RAN_UNKNOWN
	}
}

func (r *request) tooLate() *fault.Error {
	return fault.NotRun(fault.TooLate, "the deadline has passed").WithRan(r.ran)
}
