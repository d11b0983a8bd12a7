package router

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// RequestID names one caller's request at this entry.
type RequestID uint64

// RunRef names one run of a request.
type RunRef struct {
	ID      RequestID
	Attempt uint32
	Stage   wire.Stage
}

// Call is a caller's request.
type Call struct {
	// KeyHash is the hash of the presented key; empty when none was presented.
	KeyHash string
	Route   string
	// Name identifies the request to agents and in the time line.
	Name string
	// IdempotencyKey is the caller's name for a request that it may repeat. Requests of
	// a workspace that share it share their Name.
	IdempotencyKey string
	// Prompt is the text of a generated call.
	Prompt []byte
	// PromptTokens is an estimate from the size of the prompt.
	PromptTokens int64
	// MaxTokens is the longest answer asked for; 0 is the route's longest.
	MaxTokens int64
	Method    string
	Path      string
	Headers   []*wire.Header
	// Digest identifies the content of a keyed request.
	Digest string
}

// Event is an input of the reducer.
type Event interface{ event() }

// Configured brings a new settings tree and list of VMs.
type Configured struct {
	Tree *tree.Tree
	List *fleet.List
}

// Arrived is a new request.
type Arrived struct {
	ID   RequestID
	Call Call
}

// CallerDisconnected says that nobody waits for the answer.
type CallerDisconnected struct{ ID RequestID }

// Written says that the caller was sent all data below Offset bytes.
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

// RunGranted says that a run has a slot.
type RunGranted struct {
	Ref         RunRef
	Incarnation uint64
}

// RunHead is the status and the headers of a plain answer.
type RunHead struct {
	Ref  RunRef
	Head *wire.Head
}

// RunData is a part of an answer.
type RunData struct {
	Ref  RunRef
	Data *wire.Data
}

// RunDone is the end of a run that succeeded.
type RunDone struct {
	Ref  RunRef
	Done *wire.Done
}

// RunFailed is the end of a run that failed.
type RunFailed struct {
	Ref RunRef
	Err *fault.Error
}

// RunLost says that the stream of a run broke, fell silent or was never opened.
type RunLost struct {
	Ref RunRef
	// Sent is false when the agent can't have received the run.
	Sent bool
}

// CancelAnswered is an agent's answer to an AskCancel effect.
type CancelAnswered struct {
	ID  RequestID
	VM  string
	Ran wire.Ran
	Err error
}

// LoadReported is an agent's view of its upstream.
type LoadReported struct {
	VM   string
	Load *wire.Load
}

// Ticked lets time pass.
type Ticked struct{}

// DrainStarted tells the entry to take no new requests.
type DrainStarted struct{}

func (Configured) event()     {}
func (Arrived) event()        {}
func (CallerDisconnected) event()     {}
func (Written) event()         {}
func (ReserveAnswered) event() {}
func (RunGranted) event()     {}
func (RunHead) event()        {}
func (RunData) event()        {}
func (RunDone) event()        {}
func (RunFailed) event()      {}
func (RunLost) event()        {}
func (CancelAnswered) event() {}
func (LoadReported) event()      {}
func (Ticked) event()         {}
func (DrainStarted) event()        {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Accepted says that a request passed the checks of its key and route.
type Accepted struct {
	ID   RequestID
	Name string
}

// Reserve asks a holder for tokens.
type Reserve struct {
	ID        RequestID
	VM        string
	Name      string
	Workspace string
	Tokens    int64
}

// Settle gives unused tokens back to a holder. It is repeated until answered.
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

// ResumeRun opens a new stream for a run.
type ResumeRun struct {
	Ref    RunRef
	VM     string
	Resume *wire.Resume
}

// FeedRun tells a granted decode run where its KV cache is.
type FeedRun struct {
	Ref  RunRef
	Feed *wire.Feed
}

// AckRun confirms data to the agent.
type AckRun struct {
	Ref    RunRef
	Offset int64
}

// StopRun ends a run whose answer nobody needs.
type StopRun struct{ Ref RunRef }

// Cancel asks an agent to end a request and to tell whether it ran.
type Cancel struct {
	ID      RequestID
	VM      string
	Name    string
	Attempt uint32
	Opened  time.Time
}

// Head starts the answer to the caller.
type Head struct {
	ID   RequestID
	Head *wire.Head
}

// Write passes data to the caller.
type Write struct {
	ID     RequestID
	Offset int64
	Data   []byte
}

// Finish ends the answer to the caller; Err is nil when it is whole.
type Finish struct {
	ID    RequestID
	Err   *fault.Error
	Usage Usage
	// Trailers follow a plain answer.
	Trailers []*wire.Header
}

// Usage counts the tokens that a request was charged.
type Usage struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Trace adds an event to the time line.
type Trace struct{ Event trace.Event }

func (Accepted) effect()  {}
func (Reserve) effect()   {}
func (Settle) effect()    {}
func (OpenRun) effect()   {}
func (ResumeRun) effect() {}
func (FeedRun) effect()   {}
func (AckRun) effect()    {}
func (StopRun) effect()   {}
func (Cancel) effect() {}
func (Head) effect()      {}
func (Write) effect()     {}
func (Finish) effect()    {}
func (Trace) effect()     {}
