package router

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// RequestID identifies a caller's request within this entry. An entry is the process that
// accepts callers' requests and runs a Router.
type RequestID uint64

// RunRef identifies one run: an attempt to execute a stage of a request at an agent. An
// agent is the process in front of an upstream that opens runs and relays their data.
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
	// IdempotencyKey is chosen by the caller to deduplicate retries. Requests of a
	// workspace to the same route that share the key share their Name.
	IdempotencyKey string
	// Prompt is the input of a call to a model; unused for plain services.
	Prompt []byte
	// PromptTokens is the number of prompt tokens, estimated from the size of Prompt.
	PromptTokens int64
	// MaxTokens is the requested limit on output tokens; 0 means the route's limit.
	MaxTokens int64
	Method    string
	Path      string
	Headers   []*wire.Header
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
	Ref         RunRef
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

// Effect is an output of Router.Step that the caller carries out.
type Effect interface{ effect() }

// Accepted reports that a request passed authentication and routing, under the name that
// agents and trace events know it by.
type Accepted struct {
	ID   RequestID
	Name string
}

// Reserve asks a holder, a VM that keeps a share of the workspace's rate limit, for tokens.
type Reserve struct {
	ID        RequestID
	VM        string
	Name      string
	Workspace string
	Tokens    int64
}

// Settle ends a reservation and returns its unused tokens to the holder. It is retried
// until the holder answers.
type Settle struct {
	VM        string
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

// AckRun acknowledges to the agent all data of a run below Offset bytes.
type AckRun struct {
	Ref    RunRef
	Offset int64
}

// StopRun aborts a run whose answer is no longer needed.
type StopRun struct{ Ref RunRef }

// Cancel asks an agent to cancel a request and to report whether it was executed.
type Cancel struct {
	ID      RequestID
	VM      string
	Name    string
	Attempt uint32
	Opened  time.Time
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

// Usage counts the tokens that a request was charged for.
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
