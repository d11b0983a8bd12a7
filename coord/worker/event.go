package worker

import (
	"fmt"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// StreamID names one stream from an entry. 0 is none.
type StreamID uint64

// RunID names one run of a request at this agent.
type RunID struct {
	Request string
	Attempt uint32
	Stage   wire.Stage
}

// String returns the name under which the upstream knows the run.
func (r RunID) String() string {
	return fmt.Sprintf("%s.%d.%s", r.Request, r.Attempt, fleet.StageName(r.Stage))
}

// Event is an input of the reducer.
type Event interface{ event() }

// Opened is the first message of a stream that starts a run.
type Opened struct {
	Stream StreamID
	Open   *wire.Open
}

// Resumed is the first message of a stream that resumes a run.
type Resumed struct {
	Stream StreamID
	Resume *wire.Resume
}

// FeedReceived names the KV cache that a granted decode run imports.
type FeedReceived struct {
	Stream StreamID
	Feed   *wire.Feed
}

// Acked says that the entry passed on all data below Offset bytes.
type Acked struct {
	Stream StreamID
	Offset int64
}

// Heartbeat is a heartbeat of a stream.
type Heartbeat struct{ Stream StreamID }

// StopReceived ends a run because its caller is gone.
type StopReceived struct{ Stream StreamID }

// Closed says that a stream has ended.
type Closed struct{ Stream StreamID }

// CancelRequested asks to end a request and to tell whether it ran.
type CancelRequested struct {
	// CancelID names the question in the effect that answers it.
	CancelID     uint64
	Request string
	Attempt uint32
	// FirstSent is the time at which the entry sent the first attempt.
	FirstSent time.Time
}

// CallHead is the status and the headers of a plain call.
type CallHead struct {
	Run  RunID
	Head *wire.Head
}

// CallData is a part of an answer.
type CallData struct {
	Run    RunID
	Data   []byte
	Tokens int32
}

// CallDone is the end of a call that succeeded.
type CallDone struct {
	Run  RunID
	Done *wire.Done
}

// CallFailed is the end of a call that failed.
type CallFailed struct {
	Run RunID
	Err *fault.Error
}

// AllocationsListed lists the runs that the engine holds memory for.
type AllocationsListed struct{ Names []string }

// Ticked lets time pass.
type Ticked struct{}

// Configured brings a new settings tree and the state of this VM.
type Configured struct {
	Tree    *tree.Tree
	Leaving bool
}

// DrainStarted tells the agent to take no new work.
type DrainStarted struct{}

func (Opened) event()      {}
func (Resumed) event()    {}
func (FeedReceived) event()         {}
func (Acked) event()       {}
func (Heartbeat) event()        {}
func (StopReceived) event()     {}
func (Closed) event()      {}
func (CancelRequested) event() {}
func (CallHead) event()    {}
func (CallData) event()    {}
func (CallDone) event()    {}
func (CallFailed) event()  {}
func (AllocationsListed) event()  {}
func (Ticked) event()      {}
func (Configured) event()  {}
func (DrainStarted) event()     {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Send passes a reply to a stream.
type Send struct {
	Stream StreamID
	Reply  *wire.RunReply
}

// Close ends a stream.
type Close struct{ Stream StreamID }

// StartCall calls the upstream for a run.
type StartCall struct {
	Run  RunID
	Open *wire.Open
	Feed *wire.Feed
	// Deadline is the time at which the call is given up.
	Deadline time.Time
}

// AbortCall stops a call and frees what the upstream holds for it.
type AbortCall struct{ Run RunID }

// FreeAllocation frees what the engine holds under a name.
type FreeAllocation struct{ Name string }

// Throttle stops or goes on reading a call's answer.
type Throttle struct {
	Run RunID
	Paused  bool
}

// AnswerCancel answers a CancelAsked event.
type AnswerCancel struct {
	CancelID uint64
	Ran wire.Ran
}

// Trace adds an event to the time line.
type Trace struct{ Event trace.Event }

func (Send) effect()         {}
func (Close) effect()        {}
func (StartCall) effect()    {}
func (AbortCall) effect()    {}
func (FreeAllocation) effect()     {}
func (Throttle) effect()     {}
func (AnswerCancel) effect() {}
func (Trace) effect()        {}
