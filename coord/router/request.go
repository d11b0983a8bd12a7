package router

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// phase is the state of a request.
type phase int

const (
	// reserving: waits for holders of the workspace's rate limit to grant tokens.
	reserving phase = iota
	// awaitingSlot: waits for a slot, the capacity for one run at an upstream, for the main
	// run.
	awaitingSlot
	// prefilling: waits for the prefill run to compute the KV cache.
	prefilling
	// relaying: receives the answer and passes it to the caller.
	relaying
	// awaitingUpstream: waits until an upstream can be reached.
	awaitingUpstream
	// outcomeUnknown: waits for the agent to report whether the request was executed.
	outcomeUnknown
)

// run is the state of one run of a request at an agent.
type run struct {
	ref RunRef
	vm  string
	// live reports whether events of the run are still handled.
	live bool
	// resumes counts the streams opened for the run after the first.
	resumes   int
	openedAt  time.Time
	grantedAt time.Time
}

// request is the state of a caller's request.
type request struct {
	id        RequestID
	call      Call
	workspace string
	keyID     string
	service   string
	// generated reports whether a model generates the answer, by a prefill run and a decode
	// run. Otherwise the request is a plain call with one run.
	generated bool
	values    tree.Resolved
	weight    int64
	phase     phase
	// startBy is the time by which the request must have its slots. See latestStart.
	startBy  time.Time
	deadline time.Time

	parts []quota.Grant
	// main is the decode run, or the only run of a plain call.
	main    run
	prefill run
	// attempts and prefillAttempts count the main and the prefill runs opened so far.
	attempts        uint32
	prefillAttempts uint32
	// excluded names the VMs where the request failed.
	excluded map[string]bool
	// ran is what is known about the execution: RAN_NO until a run may have started.
	ran wire.Ran
	// prefilled is true once a prefill has succeeded, so that the prompt tokens are charged.
	prefilled bool
	// offset is the number of bytes of the answer relayed so far; written is how many of
	// them the caller was sent.
	offset       int64
	written      int64
	outputTokens int64
	headSent     bool
	usage        Usage
	// failures counts the failed runs that had reached their agent.
	failures int
	// hadLostRun is true once a run was lost after it may have reached its agent.
	hadLostRun bool
	// lastErr is the error of the last run that failed.
	lastErr *fault.Error
	// pendingFeed locates a KV cache whose decode run has no slot yet; nil if there is none.
	pendingFeed *wire.Feed
	// recheckAt is the time of the next attempt in the phases awaitingUpstream and
	// outcomeUnknown.
	recheckAt time.Time
}

func (r *request) name() string { return r.call.Name }

// idempotent reports whether the request may be executed more than once.
func (r *request) idempotent() bool { return r.generated || r.values.Idempotent }

// keyed reports whether the request is deduplicated by its idempotency key. All retries of
// such a request go to the same agent, which executes it at most once.
func (r *request) keyed() bool { return r.call.IdempotencyKey != "" && !r.idempotent() }

// dedupWindow returns how long the caller may retry the request under its idempotency key;
// 0 if the request isn't keyed.
func (r *request) dedupWindow() time.Duration {
	if !r.keyed() {
		return 0
	}
	return r.values.RetryWindow
}

// maxCost returns the most that the request can be charged, in tokens.
func (r *request) maxCost() int64 {
	if r.generated {
		return r.call.PromptTokens + r.call.MaxTokens
	}
	return r.values.Cost
}

// charge returns what the request is charged for what it used so far, in tokens.
func (r *request) charge() int64 {
	switch {
	case r.ran == wire.Ran_RAN_NO:
		return 0
	case !r.generated:
		return r.values.Cost
	case !r.prefilled:
		return 0
	default:
		return r.call.PromptTokens + r.outputTokens
	}
}

// latestStart returns the time by which a run of the request must have started. A request
// that lost a run or has relayed data may be retried until its deadline; one that found no
// slot must not wait longer than its patience.
func (r *request) latestStart() time.Time {
	if r.offset > 0 || r.hadLostRun {
		return r.deadline
	}
	return r.startBy
}

// newMainOpen returns the message that opens the main run. A run that continues an answer
// skips the tokens that were already relayed.
func (r *request) newMainOpen(now time.Time, revision uint64) *wire.Open {
	o := r.newOpen(now, revision, r.main.ref)
	if r.generated {
		o.Prompt = r.call.Prompt
		o.MaxTokens = r.call.MaxTokens
		o.SkipTokens = r.outputTokens
		o.Base = r.offset
		o.Cost = r.call.MaxTokens - r.outputTokens
		return o
	}
	o.Method = r.call.Method
	o.Path = r.call.Path
	o.Headers = r.call.Headers
	o.Cost = r.values.Cost
	return o
}

// newPrefillOpen returns the message that opens the prefill run.
func (r *request) newPrefillOpen(now time.Time, revision uint64) *wire.Open {
	o := r.newOpen(now, revision, r.prefill.ref)
	o.Prompt = r.call.Prompt
	o.Cost = r.call.PromptTokens
	o.SkipTokens = r.outputTokens
	o.MaxTokens = r.call.MaxTokens
	return o
}

// newOpen returns the fields that the messages for all kinds of runs have in common.
func (r *request) newOpen(now time.Time, revision uint64, f RunRef) *wire.Open {
	startBy := r.latestStart()
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
		WindowMicros:   r.dedupWindow().Microseconds(),
	}
}

// model returns the model that the request needs; empty for a plain call.
func (r *request) model() string {
	if r.generated {
		return r.call.Path
	}
	return ""
}

// runByRef returns the run of a reference, or nil if a later run has replaced it.
func (r *request) runByRef(f RunRef) *run {
	switch f {
	case r.main.ref:
		return &r.main
	case r.prefill.ref:
		return &r.prefill
	}
	return nil
}

// mayHaveRun records that an upstream may have started to execute the request.
func (r *request) mayHaveRun() {
	if r.ran == wire.Ran_RAN_NO {
		r.ran = wire.Ran_RAN_UNKNOWN
	}
}

// deadlineError returns the error for a request that is past its deadline.
func (r *request) deadlineError() *fault.Error {
	return fault.NotRun(fault.TooLate, "the deadline has passed").WithRan(r.ran)
}
