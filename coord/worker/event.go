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

// StreamID identifies a stream from an entry; 0 means none.
type StreamID uint64

// RunID identifies a run at this agent.
type RunID struct {
	Request string
	Attempt uint32
	Stage   wire.Stage
}

// String returns the name by which the upstream knows the run.
func (r RunID) String() string {
	return fmt.Sprintf("%s.%d.%s", r.Request, r.Attempt, fleet.StageName(r.Stage))
}

// Event is an input of the state machine.
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

// FeedReceived is a Feed message; it names the KV cache that a granted decode run imports.
type FeedReceived struct {
	Stream StreamID
	Feed   *wire.Feed
}

// Acked is an Ack message: the entry has passed on all data below Offset, in bytes.
type Acked struct {
	Stream StreamID
	Offset int64
}

// Heartbeat is a heartbeat from an entry, or another message whose only effect on the run is
// to renew its lease, such as a part of the request's body.
type Heartbeat struct{ Stream StreamID }

// StopReceived is a Stop message; it ends a run because its caller is gone.
type StopReceived struct{ Stream StreamID }

// Closed is the end of a stream.
type Closed struct{ Stream StreamID }

// CancelRequested is a Cancel message: all attempts of Request up to Attempt are to be
// cancelled, and the sender is told whether the request ran.
type CancelRequested struct {
	// CancelID identifies this event in the AnswerCancel effect.
	CancelID uint64
	Request  string
	Attempt  uint32
	// FirstSent is the time at which the entry sent the first attempt, by the clock of this VM.
	FirstSent time.Time
}

// CallHead is the status and headers of the response to a plain call, the call of a request
// that runs in one stage, STAGE_PLAIN. Other calls have none.
type CallHead struct {
	Run  RunID
	Head *wire.Head
}

// CallData is a part of a response.
type CallData struct {
	Run    RunID
	Data   []byte
	Tokens int32
}

// CallDone is the successful end of a call.
type CallDone struct {
	Run  RunID
	Done *wire.Done
}

// CallFailed is the failure of a call.
type CallFailed struct {
	Run RunID
	Err *fault.Error
}

// AllocationsListed lists the names under which the upstream, a model engine, has memory
// allocated.
type AllocationsListed struct{ Names []string }

// Ticked is a timer tick, on which deadlines are checked.
type Ticked struct{}

// Configured is a new settings tree, with whether this VM is listed as leaving, its data centre and whether
// that is evacuated.
type Configured struct {
	Tree       *tree.Tree
	Leaving    bool
	DataCentre string
	Evacuated  bool
}

// DrainStarted makes the agent refuse new runs.
type DrainStarted struct{}

// DrainEnded makes the agent refuse the runs that haven't started, because its process is about to end.
type DrainEnded struct{}

func (Opened) event()            {}
func (Resumed) event()           {}
func (FeedReceived) event()      {}
func (Acked) event()             {}
func (Heartbeat) event()         {}
func (StopReceived) event()      {}
func (Closed) event()            {}
func (CancelRequested) event()   {}
func (CallHead) event()          {}
func (CallData) event()          {}
func (CallDone) event()          {}
func (CallFailed) event()        {}
func (AllocationsListed) event() {}
func (Ticked) event()            {}
func (Configured) event()        {}
func (DrainStarted) event()      {}
func (DrainEnded) event()        {}

// Effect is an output of the state machine.
type Effect interface{ effect() }

// Send sends a reply on a stream.
type Send struct {
	Stream StreamID
	Reply  *wire.RunReply
}

// Close ends a stream.
type Close struct{ Stream StreamID }

// StartCall starts the call to the upstream for a run.
type StartCall struct {
	Run  RunID
	Open *wire.Open
	Feed *wire.Feed
	// Deadline is the time at which the call is cancelled.
	Deadline time.Time
}

// AbortCall aborts a call and frees the resources of the upstream that it uses.
type AbortCall struct{ Run RunID }

// FreeAllocation frees the memory that the upstream has allocated under a name.
type FreeAllocation struct{ Name string }

// SetCallPaused pauses or resumes reading the response of a call.
type SetCallPaused struct {
	Run    RunID
	Paused bool
}

// AnswerCancel answers a CancelRequested event.
type AnswerCancel struct {
	CancelID uint64
	Ran      wire.Ran
}

// Trace adds an event to the process's trace log.
type Trace struct{ Event trace.Event }

func (Send) effect()           {}
func (Close) effect()          {}
func (StartCall) effect()      {}
func (AbortCall) effect()      {}
func (FreeAllocation) effect() {}
func (SetCallPaused) effect()  {}
func (AnswerCancel) effect()   {}
func (Trace) effect()          {}
