package router

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// RequestID identifies a caller's request within this entry. An entry is the process that
// accepts callers' requests and runs a Router.
type RequestID uint64

// RunRef identifies one run: an attempt to execute a stage of a request at an agent. An
// agent is the process in front of an upstream. It accepts the runs that entries open and
// relays the upstream's data to them.
type RunRef struct {
	ID      RequestID
	Attempt uint32
	Stage   wire.Stage
}

// Call is a caller's request.
type Call struct {
	// KeyHash is the hash of the API key; empty if the caller sent none.
	KeyHash string
	Route   string
	// Name identifies the request to agents and in trace events.
	Name string
	// IdempotencyKey is chosen by the caller to deduplicate retries. If the route isn't
	// idempotent, the requests of a workspace to it that share the key share their Name.
	IdempotencyKey string
	// Prompt is the input of a call to a model; unused for plain services.
	Prompt []byte
	// PromptTokens is the number of prompt tokens, estimated from the size of Prompt.
	PromptTokens int64
	// PoisonKeys name what may be at fault if upstreams end under the request.
	PoisonKeys []poison.Key
	// MaxTokens is the requested limit on output tokens; 0 means the route's limit.
	MaxTokens int64
	Method    string
	// Path is the HTTP path of a call to a plain service. For a call to a model the router
	// sets it to the name of the model.
	Path    string
	Headers []*wire.Header
	// Digest is the digest of the content of a request that has an idempotency key.
	Digest string
}

// Event is an input of Router.Step.
type Event interface{ event() }

// Configured carries a new settings tree and a new list of VMs.
type Configured struct {
	Tree *tree.Tree
	List *fleet.List
}

// Arrived starts a new request.
type Arrived struct {
	ID   RequestID
	Call Call
}

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct{ ID RequestID }

// Written reports that all bytes of the answer below Offset were written to the caller.
type Written struct {
	ID     RequestID
	Offset int64
}

// ReserveAnswered is a holder's answer to a Reserve effect.
type ReserveAnswered struct {
	ID    RequestID
	VM    string
	Reply *wire.ReserveReply
	Err   error
}

// RunGranted reports that a run was given a slot, the capacity for one run at an upstream.
type RunGranted struct {
	Ref RunRef
	// Incarnation identifies the start of the agent's process. The router doesn't use it.
	Incarnation uint64
}

// RunHead carries the status and headers of the answer of a plain service.
type RunHead struct {
	Ref  RunRef
	Head *wire.Head
}

// RunData carries a chunk of an answer.
type RunData struct {
	Ref  RunRef
	Data *wire.Data
}

// RunDone reports that a run succeeded.
type RunDone struct {
	Ref  RunRef
	Done *wire.Done
}

// RunFailed reports that a run failed.
type RunFailed struct {
	Ref RunRef
	Err *fault.Error
}

// RunLost reports that the stream of a run broke, timed out or was never opened.
type RunLost struct {
	Ref RunRef
	// Sent is false if the agent can't have received the message that opens the run.
	Sent bool
}

// CancelAnswered is an agent's answer to a Cancel effect.
type CancelAnswered struct {
	ID  RequestID
	VM  string
	Ran wire.Ran
	Err error
}

// LoadReported carries an agent's load report for its upstream.
type LoadReported struct {
	VM   string
	Load *wire.Load
}

// Ticked triggers the checks that depend on time: deadlines and retries.
type Ticked struct{}

// DrainStarted makes the entry refuse new requests.
type DrainStarted struct{}

// DrainEnded makes the entry fail the requests that it hasn't finished, because its process is about to end.
type DrainEnded struct{}

func (Configured) event()         {}
func (Arrived) event()            {}
func (CallerDisconnected) event() {}
func (Written) event()            {}
func (ReserveAnswered) event()    {}
func (RunGranted) event()         {}
func (RunHead) event()            {}
func (RunData) event()            {}
func (RunDone) event()            {}
func (RunFailed) event()          {}
func (RunLost) event()            {}
func (CancelAnswered) event()     {}
func (LoadReported) event()       {}
func (Ticked) event()             {}
func (DrainStarted) event()       {}
func (DrainEnded) event()         {}

// Effect is an output of Router.Step that the caller carries out.
type Effect interface{ effect() }

// Accepted reports that a request passed authentication and routing. Name identifies it to
// agents and in trace events; see Call.IdempotencyKey for requests that share a name.
type Accepted struct {
	ID   RequestID
	Name string
}

// Reserve asks a holder, a VM that keeps a share of the workspace's rate limit, for tokens.
type Reserve struct {
	ID RequestID
	VM string
	// Name identifies the reservation to the holder. It is not the name of the request.
	Name      string
	Workspace string
	Tokens    int64
}

// Settle ends a reservation and returns its unused tokens to the holder. It is retried
// until the holder answers.
type Settle struct {
	VM string
	// Name identifies the reservation, as in Reserve.
	Name      string
	Workspace string
	Used      int64
}

// OpenRun starts a run at an agent.
type OpenRun struct {
	Ref  RunRef
	VM   string
	Open *wire.Open
}

// ResumeRun opens a new stream for a run whose previous stream was lost.
type ResumeRun struct {
	Ref    RunRef
	VM     string
	Resume *wire.Resume
}

// FeedRun tells a decode run that has a slot where to fetch its KV cache.
type FeedRun struct {
	Ref  RunRef
	Feed *wire.Feed
}

// AckRun acknowledges to the agent all data of a run below Offset bytes. The data of a
// prefill run isn't relayed; there it acknowledges that the run's Done was received.
type AckRun struct {
	Ref    RunRef
	Offset int64
}

// StopRun ends a run whose answer is no longer needed, and its stream. The agent doesn't
// report the outcome, and lets a call that has started and isn't idempotent go on.
type StopRun struct{ Ref RunRef }

// Cancel asks an agent to cancel the runs of a request and to report in CancelAnswered
// whether the request was executed. The agent lets a call that has started and isn't
// idempotent go on. Unlike StopRun, it needs no stream of a run.
type Cancel struct {
	ID   RequestID
	VM   string
	Name string
	// Attempt is the last attempt to cancel; earlier ones are cancelled too.
	Attempt uint32
	// Opened is when the run was opened. An agent that doesn't know the request reports
	// RAN_UNKNOWN if its process may have restarted since.
	Opened time.Time
}

// Head writes the status and headers of the answer to the caller.
type Head struct {
	ID   RequestID
	Head *wire.Head
}

// Write writes data at Offset of the answer to the caller.
type Write struct {
	ID     RequestID
	Offset int64
	Data   []byte
}

// Finish ends the answer to the caller. Err is nil if the answer is complete.
type Finish struct {
	ID    RequestID
	Err   *fault.Error
	Usage Usage
	// Trailers are the HTTP trailers of the answer of a plain service.
	Trailers []*wire.Header
}

// Usage holds the token counts that are reported to the caller. They may differ from the
// charge, which takes the number of prompt tokens from Call.PromptTokens.
type Usage struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Trace records a trace event.
type Trace struct{ Event trace.Event }

func (Accepted) effect()  {}
func (Reserve) effect()   {}
func (Settle) effect()    {}
func (OpenRun) effect()   {}
func (ResumeRun) effect() {}
func (FeedRun) effect()   {}
func (AckRun) effect()    {}
func (StopRun) effect()   {}
func (Cancel) effect()    {}
func (Head) effect()      {}
func (Write) effect()     {}
func (Finish) effect()    {}
func (Trace) effect()     {}
