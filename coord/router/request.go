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
	// version is that of the upstream's software.
	version string
	// live reports whether events of the run are still handled.
	live bool
	// resumes counts how often the run was resumed on a new stream.
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
	// usesModel reports whether a model generates the answer, by a prefill run and a decode
	// run. Otherwise the request is a plain call with one run.
	usesModel bool
	// settings are the effective settings of the route.
	settings tree.Resolved
	weight   int64
	phase    phase
	// startBy is the time by which the request must have its slots: the end of the patience
	// that the route's settings give it, or earlier under Policy.AdmissionControl.
	// latestStart says when deadline applies instead.
	startBy  time.Time
	deadline time.Time

	// parts are the grants of the holders that together make up the reservation.
	parts []quota.Grant
	// main is the decode run, or the only run of a plain call.
	main    run
	prefill run
	// attempts and prefillAttempts count the main and the prefill runs opened so far.
	attempts        uint32
	prefillAttempts uint32
	// excluded names the VMs where the request failed.
	excluded map[string]bool
	// ran is what is known about the execution. For a plain call it is RAN_NO whenever no
	// run can have executed it, also again after a run that its agent didn't execute. For a
	// call to a model it is RAN_NO until a prefill has succeeded.
	ran wire.Ran
	// prefilled is true once a prefill has succeeded, so that the prompt tokens are charged.
	prefilled bool
	// offset is the number of bytes of the answer passed on so far in Write effects; written
	// is how many of them were reported by Written events as written to the connection.
	offset       int64
	written      int64
	outputTokens int64
	// version is that of the upstream whose data was relayed first. What two versions write doesn't fit
	// together.
	version  string
	headSent bool
	// status is that of a plain answer; 0 if none has begun.
	status int
	usage  Usage
	// failures counts the failed runs whose error is not fault.Unreachable. Runs at agents
	// that couldn't be reached or fell silent are not counted.
	failures int
	// hadLostRun is true once the stream of a run broke after the run may have reached its
	// agent, or the data of a run was incomplete.
	hadLostRun bool
	// lastErr is the error of the last run that failed.
	lastErr *fault.Error
	// pendingKVCache says where to fetch the KV cache that a finished prefill computed. It
	// is nil if there is none or a decode run has been told of it.
	pendingKVCache *wire.Feed
	// kvCacheVM is the VM of the engine that holds pendingKVCache.
	kvCacheVM string
	// recheckAt is the time of the next attempt in the phases awaitingUpstream and
	// outcomeUnknown.
	recheckAt time.Time
}

func (q *request) name() string { return q.call.Name }

// idempotent reports whether the request may be executed more than once.
func (q *request) idempotent() bool { return q.usesModel || q.settings.Idempotent }

// accepts reports whether the answer may go on at an upstream of a version.
func (q *request) accepts(version string) bool { return q.offset == 0 || version == q.version }

// deduplicated reports whether the request is deduplicated by its idempotency key. All
// retries of such a request go to the same agent, which executes it at most once. An
// idempotent request isn't deduplicated, even if it has an idempotency key.
func (q *request) deduplicated() bool { return q.call.IdempotencyKey != "" && !q.idempotent() }

// dedupWindow returns how long the caller may retry the request under its idempotency key;
// 0 if the request isn't deduplicated.
func (q *request) dedupWindow() time.Duration {
	if !q.deduplicated() {
		return 0
	}
	return q.settings.RetryWindow
}

// maxCost returns the most that the request can be charged, in tokens.
func (q *request) maxCost() int64 {
	if q.usesModel {
		return q.call.PromptTokens + q.call.MaxTokens
	}
	return q.settings.Cost
}

// charge returns what the request is charged for what it used so far, in tokens.
func (q *request) charge() int64 {
	switch {
	case q.ran == wire.Ran_RAN_NO:
		return 0
	case !q.usesModel:
		return q.settings.Cost
	case !q.prefilled:
		return 0
	default:
		return q.call.PromptTokens + q.outputTokens
	}
}

// latestStart returns the time by which the request must have the slots of its runs. That
// is startBy, the end of its patience, while it has neither lost a run nor relayed data.
// After that it may be retried until its deadline.
func (q *request) latestStart() time.Time {
	if q.offset > 0 || q.hadLostRun {
		return q.deadline
	}
	return q.startBy
}

// newMainOpen returns the message that opens the main run. A run that continues an answer
// skips the tokens that were already relayed.
func (q *request) newMainOpen(now time.Time, revision uint64) *wire.Open {
	o := q.newOpen(now, revision, q.main.ref)
	if q.usesModel {
		o.Prompt = q.call.Prompt
		o.MaxTokens = q.call.MaxTokens
		o.SkipTokens = q.outputTokens
		o.Base = q.offset
		o.Cost = q.call.MaxTokens - q.outputTokens
		return o
	}
	o.Method = q.call.Method
	o.Path = q.call.Path
	o.Headers = q.call.Headers
	o.Cost = q.settings.Cost
	return o
}

// newPrefillOpen returns the message that opens the prefill run.
func (q *request) newPrefillOpen(now time.Time, revision uint64) *wire.Open {
	o := q.newOpen(now, revision, q.prefill.ref)
	o.Prompt = q.call.Prompt
	o.Cost = q.call.PromptTokens
	o.SkipTokens = q.outputTokens
	o.MaxTokens = q.call.MaxTokens
	return o
}

// newOpen returns the fields that the messages for all kinds of runs have in common.
func (q *request) newOpen(now time.Time, revision uint64, f RunRef) *wire.Open {
	startBy := q.latestStart()
	return &wire.Open{
		Request:        q.call.Name,
		Attempt:        f.Attempt,
		Stage:          f.Stage,
		Workspace:      q.workspace,
		KeyId:          q.keyID,
		Revision:       revision,
		Route:          q.call.Route,
		LeftMicros:     max(q.deadline.Sub(now).Microseconds(), 0),
		PatienceMicros: max(startBy.Sub(now).Microseconds(), 0),
		Idempotent:     q.idempotent(),
		Batch:          q.settings.Class == tree.Batch,
		Weight:         q.weight,
		Model:          q.model(),
		Digest:         q.call.Digest,
		WindowMicros:   q.dedupWindow().Microseconds(),
	}
}

// model returns the model that the request needs; empty for a plain call.
func (q *request) model() string {
	if q.usesModel {
		return q.call.Path
	}
	return ""
}

// runByRef returns the run of a reference, or nil if a later run has replaced it.
func (q *request) runByRef(f RunRef) *run {
	switch f {
	case q.main.ref:
		return &q.main
	case q.prefill.ref:
		return &q.prefill
	}
	return nil
}

// mayHaveRun records that an upstream may have started to execute the request.
func (q *request) mayHaveRun() {
	if q.ran == wire.Ran_RAN_NO {
		q.ran = wire.Ran_RAN_UNKNOWN
	}
}

// deadlineError returns the error for a request that is past its deadline.
func (q *request) deadlineError() *fault.Error {
	return fault.NotRun(fault.DeadlineExceeded, "the deadline has passed").WithRan(q.ran)
}
