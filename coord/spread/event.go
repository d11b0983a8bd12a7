package spread

import (
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Ticked is sent periodically, so that the reducer sees time pass.
type Ticked struct{}

// ReadAnswered is the outcome of a Read effect.
type ReadAnswered struct {
	// Revision is the revision up to which Changes is complete.
	Revision uint64
	Changes  []*wire.Change
	// More is true when the platform has changes after Revision that did not fit.
	More bool
	// Err is the reason why the read failed. The other fields are then zero.
	Err error
}

// ExchangeRequested is an exchange that a peer began.
type ExchangeRequested struct {
	// ExchangeID identifies the exchange in the AnswerExchange effect that answers it.
	ExchangeID uint64
	Digest     *wire.Digest
}

// ExchangeAnswered is a peer's answer to an Exchange effect.
type ExchangeAnswered struct {
	Address string
	// Digest is nil when the exchange failed.
	Digest *wire.Digest
	// SentAt is that of the Exchange effect.
	SentAt time.Time
}

// Effect is an output of the reducer, which its caller executes.
type Effect interface{ effect() }

// Read asks the platform for the changes after a revision.
type Read struct {
	After uint64
	// Watch asks the platform to hold the read until there is a change or WatchWait is
	// over.
	Watch bool
}

// Exchange sends a digest to a peer.
type Exchange struct {
	Address string
	Digest  *wire.Digest
	// SentAt is the time of the request, which ExchangeAnswered returns. The epoch that the
	// peer's answer confirms counts as confirmed for a term from then.
	SentAt time.Time
}

// Authorization tells until when the VM may act on the list that it adopted, and the
// newest sealed epoch of its data centre. An epoch is the revision of a change of the data
// centre's membership; sealed means that no VM acts on an earlier list of VMs any more.
type Authorization struct {
	Until       time.Time
	SealedEpoch uint64
}

// AnswerExchange answers an ExchangeRequested event.
type AnswerExchange struct {
	ExchangeID uint64
	Digest     *wire.Digest
}

// Adopt puts a tree of settings and a list of VMs in force.
type Adopt struct {
	Tree *tree.Tree
	List *fleet.List
}

// Reject tells that the newest settings are invalid, so the last valid ones stay in
// force.
type Reject struct{ Err error }

func (Ticked) event()            {}
func (ReadAnswered) event()      {}
func (ExchangeRequested) event() {}
func (ExchangeAnswered) event()  {}

func (Read) effect()           {}
func (Exchange) effect()       {}
func (AnswerExchange) effect() {}
func (Adopt) effect()          {}
func (Reject) effect()         {}
func (Authorization) effect()  {}
