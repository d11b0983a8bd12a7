package spread

import (
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Ticked lets time pass.
type Ticked struct{}

// ReadAnswered is the platform's answer to a Read effect.
type ReadAnswered struct {
	Revision uint64
	Changes  []*wire.Change
	// More says that the answer is cut off at Revision.
	More bool
	Err  error
}

// ExchangeRequested is an exchange that a peer began.
type ExchangeRequested struct {
	// ExchangeID names the question in the effect that answers it.
	ExchangeID    uint64
	Digest *wire.Digest
}

// ExchangeAnswered is a peer's answer to an Exchange effect; Digest is nil when it failed.
type ExchangeAnswered struct {
	Address string
	Digest  *wire.Digest
	SentAt      time.Time
}

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Read asks the platform for what is newer than a revision.
type Read struct {
	After uint64
	// Watch holds the read until something is new or WatchWait is over.
	Watch bool
}

// Exchange sends a digest to a peer.
type Exchange struct {
	Address string
	Digest  *wire.Digest
	// SentAt is the time of the question, which comes back in Answered.
	SentAt time.Time
}

// Authorization says until when the VM may act on the list it adopted, and before which
// epoch nobody acts any more.
type Authorization struct {
	Until  time.Time
	SealedEpoch uint64
}

// AnswerExchange answers an Asked event.
type AnswerExchange struct {
	ExchangeID    uint64
	Digest *wire.Digest
}

// Adopt puts a tree and a list in force.
type Adopt struct {
	Tree *tree.Tree
	List *fleet.List
}

// Reject says that the newest settings don't check and the last good ones stay.
type Reject struct{ Err error }

func (Ticked) event()       {}
func (ReadAnswered) event() {}
func (ExchangeRequested) event()        {}
func (ExchangeAnswered) event()     {}

func (Read) effect()       {}
func (Exchange) effect()   {}
func (AnswerExchange) effect()     {}
func (Adopt) effect()      {}
func (Reject) effect()     {}
func (Authorization) effect() {}
